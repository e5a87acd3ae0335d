#include "daemon/dispatch/dispatch_entry_process.h"

#include "daemon/dispatch/dispatch_status.h"
#include "daemon/start_listening.h"
#include "transport/event_log.h"

namespace greengage::daemon {

using namespace coordination;
using state::DispatchOutcome;
using state::DispatchReason;
using state::DispatchResult;
using state::ProcessId;
using std::chrono::milliseconds;
using transport::HttpRequest;
using transport::HttpResponder;
using transport::HttpResponse;
using transport::LogEvent;
namespace events = transport::events;

namespace {

/** Encoding and sockets need much less than a core on a host. */
constexpr unsigned kTrafficThreads = 1;
constexpr milliseconds kTickPeriod{ 25 };
/** Membership has a tick period of 50 ms. */
constexpr unsigned kTicksPerMembershipTick = 2;
/**
 * The balancer checks once per second and removes the entry after two failed
 * checks, so requests arrive for about 2 s after the entry reports that it is
 * not ready.
 */
constexpr milliseconds kBalancerRemovalTime{ 2500 };
/** Maximum time to stop after a stop signal; the platform kills after 6 s. */
constexpr milliseconds kStopTimeout{ 5300 };
/**
 * Submissions that arrive later than this after a stop signal are rejected:
 * they might not be answered before the stop timeout.
 */
constexpr milliseconds kSubmissionCutoff{ 3000 };
constexpr milliseconds kRetryAfterStopping{ 1000 };
constexpr milliseconds kRetryAfterNotConfigured{ 1000 };
constexpr milliseconds kRetryAfterUnsupported{ 3000 };
/** The queue is empty again within this time, or the process is behind. */
constexpr milliseconds kRetryAfterQueueFull{ 1000 };
constexpr std::size_t kMaxCallerBodyBytes = 512 * 1024;
constexpr milliseconds kCallerIdleTimeout{ 60'000 };

transport::HttpServerLimits
CallerLimits(const transport::ConnectionLimits& aLimits)
{
  transport::HttpServerLimits limits;
  limits.maxBodyBytes = kMaxCallerBodyBytes;
  limits.idleTimeout = kCallerIdleTimeout;
  limits.maxConnections = aLimits.callerConnections;
  return limits;
}

/** Part of the memory for clients that jobs may use; the rest is for others. */
constexpr std::size_t kJobMemoryDivisor = 2;
/** Part of it for requests that wait for the control thread. */
constexpr std::size_t kQueueMemoryDivisor = 8;

JobDispatcherSettings
DispatcherSettings(const DispatchEntrySettings& aSettings)
{
  return { aSettings.peer.dataCentre,
           aSettings.remoteRackFactor,
           aSettings.processorCores,
           aSettings.admission,
           aSettings.connections.processBytes / kJobMemoryDivisor };
}

}

DispatchEntryProcess::DispatchEntryProcess(
  const DispatchEntrySettings& aSettings,
  CallerHooks aCallerHooks)
  : settings_(aSettings)
  , callerHooks_(std::move(aCallerHooks))
  , traffic_(kTrafficThreads, aSettings.connections)
  , jobMemory_(traffic_.Guard().Bytes().Open(nullptr))
  , queuedRequests_(traffic_.Guard().Bytes(),
                    aSettings.connections.processBytes / kQueueMemoryDivisor)
  , peers_(traffic_, control_, clock_, MakePeerHooks())
  , dispatcher_(DispatcherSettings(aSettings), clock_, MakeDispatcherHooks())
  , callerServer_(
      traffic_,
      [this](HttpRequest aRequest, HttpResponder aRespond) {
        OnHttpRequest(std::move(aRequest), std::move(aRespond));
      },
      CallerLimits(aSettings.connections),
      [this](std::uint64_t aRequestNumber) {
        control_.Post([this, aRequestNumber] { OnAbandoned(aRequestNumber); });
      })
  , readinessServer_(
      traffic_,
      [this](const HttpRequest&, const HttpResponder& aRespond) {
        HttpResponse response;
        response.status = isReady_ ? 200 : 503;
        aRespond(std::move(response));
      },
      transport::ServiceLimits(aSettings.connections))
  , statusServer_(
      traffic_,
      MakeStatusHooks(control_,
                      metrics_,
                      [this] {
                        return DescribeDispatcher(
                          dispatcher_, evacuation_.State(), isReady_);
                      }))
  , documents_(peers_,
               clock_,
               [this](const ProcessId& aFrom,
                      std::uint64_t,
                      const std::string& aDocument) {
                 OnConfigurationDocument(aDocument, aFrom.ToString());
               })
  , newsRelay_(clock_,
               [this](const ProcessId& aEntry, const EntryNews& aNews) {
                 peers_.Send(aEntry, aNews);
               })
  , evacuation_(clock_, MakeEvacuationHooks())
  , cancellations_(peers_, clock_, dispatcher_.Cancelled(), metrics_, [this] {
    dispatcher_.Resume();
  })
{
  traffic_.Guard().SetLimitedHook([this](transport::ConnectionLimit aLimit) {
    dispatchMetrics_.OnConnectionLimited(aLimit);
  });
}

DispatchEntryProcess::~DispatchEntryProcess()
{
  control_.Stop();
  traffic_.Stop();
}

tl::expected<void, DaemonError>
DispatchEntryProcess::Start()
{
  auto joined = peers_.Start(settings_.peer);
  if (!joined) {
    return joined;
  }
  auto listening =
    StartListening(callerServer_, settings_.callerAddress)
      .and_then([&] {
        return StartListening(readinessServer_, settings_.readyAddress);
      })
      .and_then([&] {
        return StartListening(statusServer_, settings_.metricsAddress);
      });
  if (!listening) {
    return listening;
  }
  documents_.Exchange().SetSelf(peers_.Self());
  newsRelay_.SetSelf(peers_.Self().id);
  evacuation_.SetSelf(peers_.Self().id);
  control_.Every(kTickPeriod, [this] { OnTick(); });
  control_.Every(transport::kMemoryCheckPeriod, [this] {
    memoryTrimmer_.Check();
    dispatchMetrics_.OnClientMemory(traffic_.Guard().Bytes().HeldBytes());
  });
  control_.Start();
  traffic_.Start();
  traffic_.Guard().LogLimits();
  LogEvent(events::kProcessStarted,
           "peer={} http={} ready={} metrics={} data_centre={}",
           peers_.Self().peerAddress,
           settings_.callerAddress,
           settings_.readyAddress,
           settings_.metricsAddress,
           settings_.peer.dataCentre);
  return {};
}

void
DispatchEntryProcess::Reload(const DispatchEntrySettings& aSettings)
{
  peers_.SetSeeds(aSettings.peer.seeds);
  dispatcher_.SetSettings(DispatcherSettings(aSettings));
  auto running = settings_;
  running.peer.seeds = aSettings.peer.seeds;
  running.remoteRackFactor = aSettings.remoteRackFactor;
  running.processorCores = aSettings.processorCores;
  running.admission = aSettings.admission;
  settings_ = running;
  if (running != aSettings) {
    LogEvent(events::kSettingsWaitForStart,
             "peer={} data_centre={}",
             aSettings.peer.address,
             aSettings.peer.dataCentre);
  }
}

void
DispatchEntryProcess::Stop(std::function<void()> aDone)
{
  control_.Post([this, done = std::move(aDone)] {
    LogEvent(events::kProcessStopping,
             "jobs={} requests={}",
             dispatcher_.JobCount(),
             callerServer_.RequestsInProgress());
    onStopped_ = done;
    stopRequestedAt_ = clock_.MonotonicNow();
    callerServer_.CloseAfterResponses();
    UpdateReady();
  });
}

void
DispatchEntryProcess::OnHttpRequest(HttpRequest aRequest,
                                    HttpResponder aRespond)
{
  auto decoded = callerHooks_.decode(aRequest);
  if (!decoded) {
    LogEvent(events::kRequestRefused,
             "method={} target={} status={} reason={}",
             aRequest.method,
             transport::QuoteValue(aRequest.target),
             decoded.error().status,
             transport::QuoteValue(decoded.error().body));
    aRespond(std::move(decoded.error()));
    return;
  }
  decoded->readAt = aRequest.readAt;
  std::size_t bytes = MemoryOf(*decoded);
  if (!queuedRequests_.TryAdd(bytes)) {
    LogEvent(events::kRequestRefused,
             "method={} target={} reason={} waiting_bytes={}",
             aRequest.method,
             transport::QuoteValue(aRequest.target),
             ToString(DispatchReason::eNoMemory),
             queuedRequests_.HeldBytes());
    aRespond(callerHooks_.encodeOutcome({ DispatchResult::eRejected,
                                          DispatchReason::eNoMemory,
                                          kRetryAfterQueueFull }));
    return;
  }
  control_.Post([this,
                 bytes,
                 request = *std::move(decoded),
                 requestNumber = aRequest.requestNumber,
                 respond = std::move(aRespond)]() mutable {
    OnRequest(std::move(request), requestNumber, respond);
    queuedRequests_.Remove(bytes);
  });
}

void
DispatchEntryProcess::OnRequest(CallerRequest aRequest,
                                std::uint64_t aRequestNumber,
                                const HttpResponder& aRespond)
{
  if (!IsConfigured()) {
    Refuse({ DispatchResult::eRejected,
             DispatchReason::eNotConfigured,
             kRetryAfterNotConfigured },
           aRequest,
           aRespond);
    return;
  }
  const state::WorkQueue* queue = queues_.Find(aRequest.host, aRequest.path);
  if (!queue) {
    Refuse({ DispatchResult::eUnknownQueue, DispatchReason::eNone, {} },
           aRequest,
           aRespond);
    return;
  }
  std::string rest = aRequest.path.substr(queue->pathPrefix.size());
  if (rest.empty() && aRequest.kind == CallerRequest::Kind::eRead) {
    aRespond(callerHooks_.encodePending(dispatcher_.PendingJobs(queue->name)));
    return;
  }
  auto id = callerHooks_.decodeJobId(rest);
  if (!id) {
    Refuse({ DispatchResult::eUnknownQueue, DispatchReason::eNone, {} },
           aRequest,
           aRespond);
    return;
  }
  switch (aRequest.kind) {
    case CallerRequest::Kind::eRead:
      aRespond(callerHooks_.encodeState(dispatcher_.IsKnown(*id)));
      return;
    case CallerRequest::Kind::eCancel:
      if (dispatcher_.Cancelled().IsFull() && !dispatcher_.IsKnown(*id)) {
        // The record of an acknowledged cancellation would be removed for it.
        Refuse({ DispatchResult::eRejected,
                 DispatchReason::eNoMemory,
                 kRetryAfterQueueFull },
               aRequest,
               aRespond);
        return;
      }
      cancellations_.Cancel(
        *id, dispatcher_.Cancel(*id), [this, aRespond](CancelAnswer aAnswer) {
          aRespond(callerHooks_.encodeCancelled(aAnswer));
        });
      return;
    case CallerRequest::Kind::eSubmit:
      break;
  }
  if (onStopped_ &&
      clock_.MonotonicNow() - stopRequestedAt_ > kSubmissionCutoff) {
    Refuse({ DispatchResult::eRejected,
             DispatchReason::eStopping,
             kRetryAfterStopping },
           aRequest,
           aRespond);
    return;
  }
  std::size_t maxBytes = dispatcher_.Configuration().maxBodyBytes;
  if (maxBytes > 0 && aRequest.bodyBytes > maxBytes) {
    Refuse({ DispatchResult::eRejected, DispatchReason::eTooLarge, {} },
           aRequest,
           aRespond);
    return;
  }
  if (aRequest.unsupported || queue->needsApproval) {
    Refuse({ DispatchResult::eRejected,
             DispatchReason::eUnsupported,
             kRetryAfterUnsupported },
           aRequest,
           aRespond);
    return;
  }
  aRequest.job.id = *id;
  Submit(std::move(aRequest), *queue, aRequestNumber, aRespond);
}

void
DispatchEntryProcess::Submit(CallerRequest aRequest,
                             const state::WorkQueue& aQueue,
                             std::uint64_t aRequestNumber,
                             const HttpResponder& aRespond)
{
  SubmissionId submission = nextSubmission_++;
  pendingSubmissions_[submission] = { aRespond, aRequestNumber };
  submissionByRequestNumber_[aRequestNumber] = submission;
  auto age = std::chrono::duration_cast<milliseconds>(clock_.MonotonicNow() -
                                                      aRequest.readAt);
  auto timeout = aRequest.callerTimeout;
  if (onStopped_) {
    timeout = std::min(TimeLimit(aQueue, timeout), StopTimeLeft());
  }
  dispatcher_.Submit(submission, aQueue, std::move(aRequest.job), timeout, age);
}

milliseconds
DispatchEntryProcess::StopTimeLeft() const
{
  return std::chrono::duration_cast<milliseconds>(
    stopRequestedAt_ + kStopTimeout - clock_.MonotonicNow());
}

void
DispatchEntryProcess::Refuse(const DispatchOutcome& aOutcome,
                             const CallerRequest& aRequest,
                             const HttpResponder& aRespond)
{
  dispatchMetrics_.OnRefused(aOutcome);
  LogEvent(events::kRequestRefused,
           "host={} path={} result={} reason={} configuration={}",
           transport::QuoteValue(aRequest.host),
           transport::QuoteValue(aRequest.path),
           ToString(aOutcome.result),
           ToString(aOutcome.reason),
           documents_.Exchange().Version());
  aRespond(callerHooks_.encodeOutcome(aOutcome));
}

void
DispatchEntryProcess::OnAbandoned(std::uint64_t aRequestNumber)
{
  auto submission = submissionByRequestNumber_.find(aRequestNumber);
  if (submission == submissionByRequestNumber_.end()) {
    return;
  }
  SubmissionId id = submission->second;
  submissionByRequestNumber_.erase(submission);
  auto pending = pendingSubmissions_.extract(id);
  dispatcher_.Abandon(id);
  // The session ends only after a response, although the caller has closed the
  // connection.
  pending.mapped().respond(callerHooks_.encodeOutcome(
    state::FailedOutcome(DispatchReason::eAbandoned)));
}

void
DispatchEntryProcess::OnConfigurationDocument(const std::string& aDocument,
                                              const std::string& aOrigin)
{
  auto decoded = callerHooks_.decodeConfiguration(aDocument);
  if (!decoded) {
    LogEvent(events::kConfigurationRefused,
             "origin={} reason={}",
             aOrigin,
             transport::QuoteValue(decoded.error()));
    return;
  }
  std::uint64_t version = decoded->version;
  std::uint64_t before = documents_.Exchange().Version();
  if (version <= before) {
    return;
  }
  LogEvent(events::kConfigurationApplied,
           "version={} before={} origin={} queues={}",
           version,
           before,
           aOrigin,
           decoded->queues.size());
  if (!configuredAt_) {
    configuredAt_ = clock_.MonotonicNow();
  }
  documents_.Exchange().SetDocument(version, aDocument);
  dispatcher_.SetConfiguration(*std::move(decoded));
  queues_ = state::QueueIndex(dispatcher_.Configuration());
  UpdateReady();
}

void
DispatchEntryProcess::OnStoreAvailability(bool aAvailable)
{
  documents_.Exchange().SetStoreAvailable(aAvailable);
}

void
DispatchEntryProcess::OnTick()
{
  dispatcher_.Tick();
  documents_.Exchange().Tick();
  newsRelay_.Tick();
  evacuation_.Tick();
  cancellations_.Exchange().Tick();
  if (++ticks_ % kTicksPerMembershipTick == 0) {
    peers_.Tick(documents_.Exchange().AdvertisedVersion());
    CheckContactTimeouts();
    UpdateReady();
  }
  if (onStopped_) {
    FinishStop();
  }
}

void
DispatchEntryProcess::UpdateReady()
{
  // While all servers are evacuated, the callers get true rejections.
  const ServerPool& servers = dispatcher_.Servers();
  bool ready = IsConfigured() && !onStopped_ &&
               (servers.ReadyServers() > 0 || servers.HasEvacuatedServer());
  if (isReady_.exchange(ready) != ready) {
    LogEvent(events::kReadyChanged,
             "ready={} servers={} configuration={} stopping={}",
             ready,
             dispatcher_.Servers().ReadyServers(),
             documents_.Exchange().Version(),
             static_cast<bool>(onStopped_));
  }
}

void
DispatchEntryProcess::FinishStop()
{
  auto elapsed = clock_.MonotonicNow() - stopRequestedAt_;
  if (elapsed >= kBalancerRemovalTime) {
    callerServer_.StopAccepting();
    callerServer_.CloseIdle();
  }
  bool idle = callerServer_.RequestsInProgress() == 0;
  if (elapsed < kBalancerRemovalTime || (!idle && elapsed < kStopTimeout)) {
    return;
  }
  if (!leaveAnnounced_) {
    leaveAnnounced_ = true;
    peers_.Leave();
    return;
  }
  // Requests can arrive on open connections until the process ends, so it ends
  // in the same tick in which no request is in progress.
  auto onStopped = std::exchange(onStopped_, nullptr);
  peers_.Stop();
  LogEvent(events::kProcessStopped, "reason=request");
  onStopped();
}

}
