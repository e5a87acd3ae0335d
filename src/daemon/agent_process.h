#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "coordination/execution/task_runner.h"
#include "coordination/ownership/lease_member.h"
#include "daemon/agent_metrics.h"
#include "daemon/backend_client.h"
#include "daemon/configuration_service.h"
#include "daemon/daemon_error.h"
#include "daemon/membership_service.h"
#include "daemon/settings.h"
#include "daemon/status_server.h"
#include "protocol/operator_json.h"
#include "transport/control_thread.h"
#include "transport/metrics.h"
#include "transport/peer_network.h"
#include "transport/peer_traffic.h"
#include "transport/system_clock.h"
#include "transport/traffic_pool.h"

namespace greengage::daemon {

/** Agent process: connects the layers and owns their objects. */
class AgentProcess
{
public:
  explicit AgentProcess(const AgentSettings& aSettings);
  ~AgentProcess();

  /** Binds the address and starts the threads. */
  tl::expected<void, DaemonError> Start();

  /**
   * Refuses new tasks, waits for the running ones, then calls aDone once.
   */
  void Stop(std::function<void()> aDone);

private:
  void OnCapacity(const BackendCapacity& aCapacity);
  void OnPeerMessage(const coordination::ProcessInfo& aFrom,
                     const coordination::PeerMessage& aMessage);
  void OnEntry(const coordination::ProcessInfo& aEntry);
  void OnEntryLost(const state::ProcessId& aEntry);
  tl::expected<void, DaemonError> StartStatusServer();
  protocol::ProcessStatus Status() const;
  /** Refuses new tasks from now on and announces that to the entries. */
  void Drain();
  void OnTick();
  void Announce();

  AgentSettings settings_;
  transport::SystemClock clock_;
  state::MonotonicTime startedAt_ = clock_.MonotonicNow();
  coordination::ProcessInfo self_;
  transport::MetricsRegistry metrics_{ clock_ };
  AgentMetrics agentMetrics_{ metrics_ };
  transport::PeerTraffic sentTraffic_{ metrics_, "sent" };
  transport::PeerTraffic receivedTraffic_{ metrics_, "received" };
  transport::TrafficPool traffic_;
  transport::ControlThread control_;
  transport::PeerNetwork network_;
  BackendClient backend_;
  ConfigurationService configuration_;
  MembershipService membership_;
  /** Null until the capacity of the backend server is known. */
  std::unique_ptr<coordination::TaskRunner> runner_;
  std::set<state::ProcessId> entries_;
  state::MonotonicTime nextStatusAt_;
  /** Memberships of this agent in ownership groups, by shard. */
  std::map<std::uint32_t, coordination::LeaseMember> leaseMembers_;
  std::function<void()> onStopped_;
  /** Null if no metrics address is set. */
  std::unique_ptr<StatusServer> statusServer_;
  std::string metricsAddress_ = "none";
};

}
