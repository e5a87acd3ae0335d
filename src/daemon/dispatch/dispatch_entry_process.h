#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "coordination/dispatch/job_dispatcher.h"
#include "coordination/evacuation/evacuation_exchange.h"
#include "coordination/subset/news_relay.h"
#include "daemon/daemon_error.h"
#include "daemon/dispatch/caller_request.h"
#include "daemon/dispatch/cancellation_service.h"
#include "daemon/dispatch/dispatch_metrics.h"
#include "daemon/dispatch/document_service.h"
#include "daemon/dispatch/peer_node.h"
#include "daemon/dispatch/queued_requests.h"
#include "daemon/status_server.h"
#include "state/dispatch/queue_index.h"
#include "transport/control_thread.h"
#include "transport/http_server.h"
#include "transport/memory_trimmer.h"
#include "transport/metrics.h"
#include "transport/system_clock.h"
#include "transport/traffic_pool.h"
#include "transport/traffic_probe.h"

namespace greengage::daemon {

struct DispatchEntrySettings
{
  PeerNodeSettings peer;
  /** `ip:port` for callers. */
  std::string callerAddress;
  /** `ip:port` on which the balancer checks whether this entry is ready. */
  std::string readyAddress;
  /** `ip:port` of the metrics; not served if empty. */
  std::string metricsAddress;
  /** Factor on the run time of a task outside the rack of its data. */
  double remoteRackFactor = 1;
  /** Number of cores that this process may use; 0: unknown. */
  double processorCores = 0;
  /** Limits for the connections that others open, and for their requests. */
  transport::ConnectionLimits connections;
  coordination::AdmissionSettings admission;

  auto operator<=>(const DispatchEntrySettings&) const = default;
};

/**
 * Protocol between the entry and its callers: decodes requests and encodes
 * answers. All decisions are made in DispatchEntryProcess and JobDispatcher.
 */
struct CallerHooks
{
  /** Runs on a traffic thread; an error is sent as the response. */
  std::function<tl::expected<CallerRequest, transport::HttpResponse>(
    const transport::HttpRequest&)>
    decode;
  /** Returns the job ID in the rest of a path; empty if malformed. */
  std::function<std::optional<state::DispatchJobId>(const std::string&)>
    decodeJobId;
  std::function<transport::HttpResponse(const state::DispatchOutcome&)>
    encodeOutcome;
  /** Answers a read of one job. */
  std::function<transport::HttpResponse(bool aKnown)> encodeState;
  std::function<transport::HttpResponse(CancelAnswer)> encodeCancelled;
  /** Answers a read of a queue with its number of pending jobs. */
  std::function<transport::HttpResponse(std::size_t)> encodePending;
  std::function<tl::expected<state::DispatchConfiguration, std::string>(
    const std::string&)>
    decodeConfiguration;
};

/**
 * Entry process that dispatches jobs from memory: connects the callers, the
 * dispatcher and the peers.
 */
class DispatchEntryProcess
{
public:
  DispatchEntryProcess(const DispatchEntrySettings& aSettings,
                       CallerHooks aCallerHooks);
  ~DispatchEntryProcess();

  tl::expected<void, DaemonError> Start();
  /**
   * Answers the requests in progress until the stop timeout, then calls aDone
   * once.
   */
  void Stop(std::function<void()> aDone);

  /**
   * Applies the settings that can change while the process runs. All others
   * take effect at its next start. Control thread only.
   */
  void Reload(const DispatchEntrySettings& aSettings);

  /**
   * Applies an operator's document if its version is newer. Control thread
   * only.
   */
  void OnConfigurationDocument(const std::string& aDocument,
                               const std::string& aOrigin);
  /**
   * Records whether the operator's documents can be read. Control thread only.
   */
  void OnStoreAvailability(bool aAvailable);
  /** Handles the evacuations in the operator's log. Control thread only. */
  void OnEvacuationState(const state::EvacuationState& aState);

  transport::TrafficPool& Traffic() { return traffic_; }
  transport::ControlThread& Control() { return control_; }

private:
  struct PendingSubmission
  {
    transport::HttpResponder respond;
    std::uint64_t requestNumber = 0;
  };

  coordination::JobDispatcherHooks MakeDispatcherHooks();
  PeerNodeHooks MakePeerHooks();
  coordination::EvacuationExchangeHooks MakeEvacuationHooks();
  void OnReport(const coordination::ProcessInfo& aAgent,
                const coordination::ServerReport& aReport);
  /**
   * Returns true if jobs can be placed: the configuration is known, and the
   * evacuations are too or have been waited for.
   */
  bool IsConfigured() const;

  void OnHttpRequest(transport::HttpRequest aRequest,
                     transport::HttpResponder aRespond);
  void OnRequest(CallerRequest aRequest,
                 std::uint64_t aRequestNumber,
                 const transport::HttpResponder& aRespond);
  void Submit(CallerRequest aRequest,
              const state::WorkQueue& aQueue,
              std::uint64_t aRequestNumber,
              const transport::HttpResponder& aRespond);
  void Refuse(const state::DispatchOutcome& aOutcome,
              const CallerRequest& aRequest,
              const transport::HttpResponder& aRespond);
  void OnAbandoned(std::uint64_t aRequestNumber);
  void OnPeerMessage(const coordination::ProcessInfo& aFrom,
                     const coordination::PeerMessage& aMessage);
  void OnPeerAlive(const coordination::ProcessInfo& aPeer);
  void OnTick();
  void CheckContactTimeouts();
  void UpdateReady();
  /**
   * Returns the time until a process that is stopping ends. A job that needs
   * longer is rejected, since its caller would get no answer.
   */
  std::chrono::milliseconds StopTimeLeft() const;
  void FinishStop();

  DispatchEntrySettings settings_;
  CallerHooks callerHooks_;
  transport::SystemClock clock_;
  transport::MetricsRegistry metrics_{ clock_ };
  DispatchMetrics dispatchMetrics_{ metrics_ };
  transport::TrafficPool traffic_;
  transport::MemoryTrimmer memoryTrimmer_{ traffic_.Guard().Bytes(),
                                           transport::ReleaseFreeMemory };
  transport::TrafficProbe probe_{ traffic_ };
  /** Memory of the jobs in the budget of the process. */
  std::unique_ptr<transport::ByteBudget::Account> jobMemory_;
  QueuedRequests queuedRequests_;
  transport::ControlThread control_;
  PeerNode peers_;
  coordination::JobDispatcher dispatcher_;
  transport::HttpServer callerServer_;
  transport::HttpServer readinessServer_;
  StatusServer statusServer_;
  std::atomic<bool> isReady_{ false };

  std::map<coordination::SubmissionId, PendingSubmission> pendingSubmissions_;
  std::map<std::uint64_t, coordination::SubmissionId>
    submissionByRequestNumber_;
  coordination::SubmissionId nextSubmission_ = 1;
  DocumentService documents_;
  coordination::NewsRelay newsRelay_;
  coordination::EvacuationExchange evacuation_;
  /** Time of the first configuration. */
  std::optional<state::MonotonicTime> configuredAt_;
  CancellationService cancellations_;
  state::QueueIndex queues_;
  std::function<void()> onStopped_;
  state::MonotonicTime stopRequestedAt_;
  /** True once peers_.Leave() has been called. */
  bool leaveAnnounced_ = false;
  /** Earliest time of the next check; a new connection needs time before it. */
  state::MonotonicTime nextContactCheckAt_;
  unsigned ticks_ = 0;
};

}
