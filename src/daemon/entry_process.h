#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "coordination/execution/request_router.h"
#include "coordination/execution/shard_controller.h"
#include "daemon/caller_metrics.h"
#include "daemon/configuration_service.h"
#include "daemon/daemon_error.h"
#include "daemon/entry_routes.h"
#include "daemon/membership_service.h"
#include "daemon/owner_metrics.h"
#include "daemon/settings.h"
#include "daemon/worker_table.h"
#include "transport/control_thread.h"
#include "transport/http_server.h"
#include "transport/metrics.h"
#include "transport/peer_network.h"
#include "transport/peer_traffic.h"
#include "transport/system_clock.h"
#include "transport/traffic_pool.h"

namespace greengage::daemon {

/** Entry process: connects the layers and owns their objects. */
class EntryProcess
{
public:
  explicit EntryProcess(const EntrySettings& aSettings);
  ~EntryProcess();

  /** Binds the addresses and starts the threads. */
  tl::expected<void, DaemonError> Start();

  /** Finishes the requests in progress, then calls aDone once. */
  void Stop(std::function<void()> aDone);

  /** Returns the address for callers; valid after Start(). */
  const boost::asio::ip::tcp::endpoint& HttpEndpoint() const
  {
    return httpEndpoint_;
  }

private:
  EntryRouteHooks MakeRouteHooks();
  /** Sets the hooks of the routes for operators. */
  void AddOperatorHooks(EntryRouteHooks& aHooks);
  void DrainWorker(const std::string& aProcessId,
                   const transport::HttpResponder& aRespond);
  void RecoverShard(std::uint32_t aShard,
                    const transport::HttpResponder& aRespond);
  protocol::ProcessStatus Status() const;
  std::vector<protocol::ProcessVersion> ProcessVersions();
  void UpdateGauges();
  void UpdateOwnerTotals();
  /** Updates the worker table from the owners' data on backend servers. */
  void UpdateWorkers();
  /** Logs changes of shard owners and shards without an owner. */
  void LogOwnerChanges();
  void OnHttpRequest(transport::HttpRequest aRequest,
                     const transport::HttpResponder& aRespond);
  /** Stores the responder until the router has the answer. */
  void AwaitAnswer(std::uint64_t aSubmission,
                   transport::HttpResponder aRespond);
  void OnConfigurationChanged(const state::ConfigurationChange& aChange);
  void OnPeerLost(const state::ProcessId& aPeer, bool aReachable);
  coordination::ShardHooks MakeShardHooks();
  /** Returns the shard that a message concerns, or null if there is none. */
  coordination::ShardController* FindShard(
    const coordination::PeerMessage& aMessage);
  void OnProcessSeen(const coordination::ProcessInfo& aProcess);
  void OnProcessLost(const state::ProcessId& aProcess);
  void OnProcessReplaced(const state::ProcessId& aDead);
  void UpdateProcesses();
  /**
   * Adds the processes that membership lists as alive and that are missing
   * here, except those that could not be connected a short time ago.
   */
  void ReconcileProcesses();
  void ConnectSeeds();
  void OnPeerMessage(const coordination::ProcessInfo& aFrom,
                     const coordination::PeerMessage& aMessage);
  void OnTick();
  /**
   * Returns true while callers wait for answers after a stop request, and
   * shortly after it, when they may still send requests.
   */
  bool IsServingAfterStop() const;
  /**
   * Releases the shards so that another entry can take them over. Does nothing
   * while this is the only entry and still serves its own callers.
   */
  void ReleaseShards();
  void FinishStop();

  /** State of a shard owner that was last logged. */
  struct LoggedOwner
  {
    state::OwnershipToken token;
    std::optional<state::MonotonicTime> missingSince;
    bool isAbsenceLogged = false;
  };

  EntrySettings settings_;
  transport::SystemClock clock_;
  state::MonotonicTime startedAt_ = clock_.MonotonicNow();
  coordination::ProcessInfo self_;
  transport::MetricsRegistry metrics_{ clock_ };
  CallerMetrics callerMetrics_{ metrics_, clock_ };
  OwnerMetrics ownerMetrics_{ metrics_ };
  transport::PeerTraffic sentTraffic_{ metrics_, "sent" };
  transport::PeerTraffic receivedTraffic_{ metrics_, "received" };
  WorkerTable workers_;
  transport::TrafficPool traffic_;
  transport::ControlThread control_;
  transport::PeerNetwork network_;
  transport::HttpServer http_;
  boost::asio::ip::tcp::endpoint httpEndpoint_;
  EntryRoutes routes_;
  coordination::RequestRouter router_;
  ConfigurationService configuration_;
  MembershipService membership_;
  std::vector<std::unique_ptr<coordination::ShardController>> shards_;
  std::map<std::uint32_t, LoggedOwner> loggedOwners_;
  /** Other processes whose last known state is alive. */
  std::map<state::ProcessId, coordination::ProcessInfo> processes_;
  /** Processes that could not be connected, with the time of the failure. */
  std::map<state::ProcessId, state::MonotonicTime> unreachableSince_;
  std::map<std::uint64_t, transport::HttpResponder> responders_;
  std::atomic<bool> stopping_{ false };
  state::MonotonicTime stopRequestedAt_;
  /** True once the process is about to end and serves no further requests. */
  std::atomic<bool> isRefusing_{ false };
  bool shardsReleased_ = false;
  std::function<void()> onStopped_;
};

}
