#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

#include "coordination/membership/membership.h"
#include "daemon/daemon_error.h"
#include "transport/control_thread.h"
#include "transport/datagram_socket.h"
#include "transport/traffic_pool.h"

namespace greengage::daemon {

/** Callbacks of a MembershipService; they run on the control thread. */
struct MembershipServiceHooks
{
  /** Called when a process is new or its attributes changed. */
  std::function<void(const coordination::ProcessInfo&)> alive;
  /** Called when a process is dead or has left. */
  std::function<void(const state::ProcessId&)> lost;
  /** Called when a process is dead because another one uses its address. */
  std::function<void(const state::ProcessId&)> replaced;
  /** Called with the configuration version in effect at a process. */
  std::function<void(const state::ProcessId&, std::uint64_t)> versionReceived;
  /** Called when a packet of any process has arrived; may be empty. */
  std::function<void()> heard;
};

/** Membership of one process: connects Membership to its UDP socket. */
class MembershipService
{
public:
  MembershipService(transport::TrafficPool& aTraffic,
                    transport::ControlThread& aControl,
                    const state::Clock& aClock,
                    MembershipServiceHooks aHooks);

  /**
   * Binds the UDP port that has the number of the TCP port in the peer address,
   * and joins through the seeds. Call before the control thread starts, or on
   * it.
   */
  tl::expected<void, DaemonError> Start(const coordination::ProcessInfo& aSelf,
                                        const std::vector<std::string>& aSeeds);

  /** Returns null before Start(). Control thread only. */
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
  std::uint64_t configurationVersion_ = 0;
  /** Received datagrams that wait for the control thread. */
  std::atomic<unsigned> queuedPackets_{ 0 };
  /** Earliest time of the next log event about a clock difference. */
  state::MonotonicTime nextClockReportAt_;
};

}
