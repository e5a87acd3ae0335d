#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "coordination/messages.h"
#include "daemon/daemon_error.h"
#include "daemon/membership_service.h"
#include "state/clock.h"
#include "transport/control_thread.h"
#include "transport/peer_network.h"
#include "transport/traffic_pool.h"

namespace greengage::daemon {

/** Role, address and seeds of a process in the peer network. */
struct PeerNodeSettings
{
  coordination::ProcessRole role = coordination::ProcessRole::eEntry;
  /** `ip:port`, used over TCP and UDP. */
  std::string address;
  std::vector<std::string> seeds;
  std::string dataCentre;

  auto operator<=>(const PeerNodeSettings&) const = default;
};

/** Callbacks of a PeerNode; they run on the control thread. */
struct PeerNodeHooks
{
  /** Called when a peer is new or its attributes changed. */
  std::function<void(const coordination::ProcessInfo&)> alive;
  /** Called with the configuration version that a peer advertises. */
  std::function<void(const state::ProcessId&, std::uint64_t)> versionReceived;
  /** Called when a peer is dead, has left or cannot be reached. */
  std::function<void(const state::ProcessId&)> lost;
  /**
   * Called when a connection was lost. Messages may be lost with it, but the
   * peer may still be alive.
   */
  std::function<void(const state::ProcessId&)> disconnected;
  std::function<void(const coordination::ProcessInfo& aFrom,
                     const coordination::PeerMessage&)>
    received;
  /**
   * Called when anything of any process has arrived, before the other
   * callbacks; may be empty. The membership sends each 500 ms at least.
   */
  std::function<void()> heard;
};

/**
 * Connections, membership and identity of one process in the peer network, for
 * entries and agents. Methods are called on the control thread, or before it
 * starts.
 */
class PeerNode
{
public:
  PeerNode(transport::TrafficPool& aTraffic,
           transport::ControlThread& aControl,
           const state::Clock& aClock,
           PeerNodeHooks aHooks);

  tl::expected<void, DaemonError> Start(const PeerNodeSettings& aSettings);

  void SetSeeds(const std::vector<std::string>& aSeeds);
  void Send(const state::ProcessId& aPeer, coordination::PeerMessage aMessage);
  void Disconnect(const state::ProcessId& aPeer);

  /**
   * Call every 50 ms.
   * @param aConfigurationVersion is advertised to the peers
   */
  void Tick(std::uint64_t aConfigurationVersion);

  /**
   * Announces to the peers that this process leaves. Call Stop() later, so that
   * the announcement can be sent.
   */
  void Leave();
  void Stop();

  const coordination::ProcessInfo& Self() const { return self_; }
  /** Returns a peer that is alive; null if there is none with this id. */
  const coordination::ProcessInfo* Find(const state::ProcessId& aPeer) const;

private:
  void OnAlive(const coordination::ProcessInfo& aPeer);
  void OnLost(const state::ProcessId& aPeer);
  void OnHeard() const;
  void OnReceived(const coordination::ProcessInfo& aFrom,
                  const coordination::PeerMessage& aMessage);

  const state::Clock& clock_;
  PeerNodeHooks hooks_;
  PeerNodeSettings settings_;
  coordination::ProcessInfo self_;
  transport::PeerNetwork network_;
  MembershipService membership_;
  std::map<state::ProcessId, coordination::ProcessInfo> alivePeers_;
};

}
