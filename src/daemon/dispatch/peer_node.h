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

/** Where a process is found by its peers. */
struct PeerNodeSettings
{
  coordination::ProcessRole role = coordination::ProcessRole::eEntry;
  /** `ip:port`, used over TCP and UDP. */
  std::string address;
  std::vector<std::string> seeds;
  std::string dataCentre;

  auto operator<=>(const PeerNodeSettings&) const = default;
};

/** Events of a PeerNode; all run on the control thread. */
struct PeerNodeHooks
{
  /** A peer is new, or its attributes changed. */
  std::function<void(const coordination::ProcessInfo&)> alive;
  /** The peer's process has ended. */
  std::function<void(const state::ProcessId&)> gone;
  /** A connection was lost, and messages with it; the peer may live. */
  std::function<void(const state::ProcessId&)> disconnected;
  std::function<void(const coordination::ProcessInfo& aFrom,
                     const coordination::PeerMessage&)>
    received;
};

/**
 * One process among its peers: connections, membership and identity, wired
 * together once for entries and agents. Methods are called on the control
 * thread, or before it starts.
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

  /** Call every 50 ms. */
  void Tick();

  /** Tells the peers that this process ends; call Stop() a little later. */
  void Leave();
  void Stop();

  const coordination::ProcessInfo& Self() const { return self_; }

private:
  void OnAlive(const coordination::ProcessInfo& aPeer);
  void OnGone(const state::ProcessId& aPeer);
  void OnReceived(const coordination::ProcessInfo& aFrom,
                  const coordination::PeerMessage& aMessage);

  const state::Clock& clock_;
  PeerNodeHooks hooks_;
  PeerNodeSettings settings_;
  coordination::ProcessInfo self_;
  transport::PeerNetwork network_;
  MembershipService membership_;
  std::map<state::ProcessId, coordination::ProcessInfo> alive_;
};

}
