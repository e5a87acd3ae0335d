#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "coordination/membership/membership.h"
#include "daemon/daemon_error.h"
#include "transport/control_thread.h"
#include "transport/datagram_socket.h"
#include "transport/traffic_pool.h"

namespace greengage::daemon {

/** Events of a MembershipService; all run on the control thread. */
struct MembershipServiceHooks
{
  /** A process is new, or its attributes changed. */
  std::function<void(const coordination::ProcessInfo&)> alive;
  /** A process is dead or has left. */
  std::function<void(const state::ProcessId&)> gone;
  /** The process is dead: another one has taken over its address. */
  std::function<void(const state::ProcessId&)> replaced;
  /** Version of the configuration in force at a process. */
  std::function<void(const state::ProcessId&, std::uint64_t)> version;
};

/** Membership of one process: the decisions together with their socket. */
class MembershipService
{
public:
  MembershipService(transport::TrafficPool& aTraffic,
                    transport::ControlThread& aControl,
                    const state::Clock& aClock,
                    MembershipServiceHooks aHooks);

  /**
   * Binds the UDP port with the number of the peer address and joins through
   * the seeds. Call before the control thread starts, or on it.
   */
  tl::expected<void, DaemonError> Start(const coordination::ProcessInfo& aSelf,
                                        const std::vector<std::string>& aSeeds);

  /** Control thread only; null before Start(). */
  coordination::Membership* Members() { return membership_.get(); }
  const coordination::Membership* Members() const { return membership_.get(); }

  /** Call every 50 ms on the control thread. */
  void Tick(std::uint64_t aConfigurationVersion);

  void Stop();

private:
  coordination::MembershipHooks MakeHooks();
  void OnChanged(const coordination::MemberUpdate& aUpdate);

  transport::ControlThread& control_;
  const state::Clock& clock_;
  MembershipServiceHooks hooks_;
  transport::DatagramSocket socket_;
  std::unique_ptr<coordination::Membership> membership_;
  std::uint64_t version_ = 0;
  /** Clock differences are reported at most once in a while. */
  state::MonotonicTime nextClockReport_;
};

}
