#include "coordination/dispatch/job_dispatcher.h"

#include <algorithm>

namespace greengage::coordination {

using state::DispatchOutcome;
using state::DispatchReason;
using state::DispatchResult;
using state::DispatchStep;
using state::MonotonicTime;
using state::ProcessId;
using state::RunKey;
using std::chrono::milliseconds;

namespace {

/** Time after the start in which the first agents are discovered. */
constexpr milliseconds kDiscoveryTime{ 1000 };
/** Bounds of the retry delay sent to rejected callers. */
constexpr milliseconds kMinRetryAfter{ 200 };
constexpr milliseconds kMaxRetryAfter{ 3000 };
/**
 * Maximum time between reading a request and accepting it. Its caller may have
 * disconnected since it was read, and submits again 1,300 ms later at the
 * earliest; the runs started here must have been stopped by then.
 */
constexpr milliseconds kMaxRequestAge{ 400 };

/** Returns true if the callers may submit the job again after this answer. */
bool
IsBroken(const DispatchOutcome& aOutcome)
{
  return aOutcome.result == DispatchResult::eFailed &&
         (aOutcome.reason == DispatchReason::eTooLate ||
          aOutcome.reason == DispatchReason::eServerLost);
}

}

JobDispatcher::JobDispatcher(const JobDispatcherSettings& aSettings,
                             const state::Clock& aClock,
                             JobDispatcherHooks aHooks)
  : settings_(aSettings)
  , clock_(aClock)
  , hooks_(std::move(aHooks))
  , pauses_(aClock, hooks_.paused)
  , lag_(aClock, hooks_.probe, hooks_.lagChanged)
  , servers_(aSettings.dataCentre, aClock)
  , crashHistory_(aClock)
  , isolation_(aClock)
  , orders_(aClock,
            [this](const ProcessId& aAgent, DispatchOrders aOrders) {
              RecordPlacements(aAgent, aOrders);
              aOrders.confirmedAtMs =
                reportTimes_.Confirmed(aAgent, IsBehind());
              auto evacuation = unsentEvacuations_.extract(aAgent);
              if (!evacuation.empty()) {
                aOrders.evacuation = std::move(evacuation.mapped());
              }
              hooks_.send(aAgent, std::move(aOrders));
            })
  , pendingStops_(aClock)
  , placer_(servers_,
            orders_,
            crashHistory_,
            holds_,
            aSettings.remoteRackFactor,
            aClock)
  , monitor_(servers_, placer_, aClock)
  , admission_(servers_, placer_, aSettings.admission, aClock)
  , cancelled_(aClock)
  , memory_(aSettings.maxJobBytes, hooks_.jobMemoryChanged)
  , createdAt_(aClock.MonotonicNow())
{
}

void
JobDispatcher::SetConfiguration(state::DispatchConfiguration aConfiguration)
{
  configuration_ = std::move(aConfiguration);
}

void
JobDispatcher::SetSettings(const JobDispatcherSettings& aSettings)
{
  settings_.remoteRackFactor = aSettings.remoteRackFactor;
  settings_.processorCores = aSettings.processorCores;
  settings_.admission = aSettings.admission;
  admission_.SetSettings(aSettings.admission);
  placer_.SetRemoteRackFactor(aSettings.remoteRackFactor);
  SetReportPeriod();
}

void
JobDispatcher::Submit(SubmissionId aSubmission,
                      const state::WorkQueue& aQueue,
                      state::DispatchJob aJob,
                      std::optional<milliseconds> aCallerTimeout,
                      milliseconds aAge)
{
  state::DispatchJobId id = aJob.id;
  auto known = jobs_.find(id);
  if (known != jobs_.end()) {
    known->second->submissions.push_back(aSubmission);
    submissions_[aSubmission] = id;
    RecordSubmission(*known->second, aAge);
    return;
  }
  // The caller has been waiting since before the request was read, and may have
  // been cut off without a notice, so its runs must not outlive its timeout.
  milliseconds timeLeft = TimeLimit(aQueue, aCallerTimeout) - aAge;
  auto job =
    std::make_unique<DispatchedJob>(MakeDispatchedJob(std::move(aJob),
                                                      aQueue,
                                                      servers_.Model(),
                                                      clock_.MonotonicNow(),
                                                      timeLeft));
  job->submissions.push_back(aSubmission);
  ContinueRunNumbers(*job);
  pauses_.Check();
  DispatchReason reject = ReasonToReject(*job, aAge);
  DispatchedJob& reference = *job;
  jobs_[id] = std::move(job);
  submissions_[aSubmission] = id;
  if (cancelled_.Contains(id)) {
    End(id, FailedOutcome(DispatchReason::eCancelled));
    return;
  }
  if (crashHistory_.HasGivenUpTask(id)) {
    End(id, FailedOutcome(DispatchReason::eCrashedServers));
    return;
  }
  if (reject == DispatchReason::eNone && !MakeRoomFor(reference)) {
    reject = DispatchReason::eNoMemory;
  }
  if (reject != DispatchReason::eNone) {
    auto retryAfter = reject == DispatchReason::eEvacuated
                        ? kMaxRetryAfter
                        : RetryAfter(reference);
    End(id, { DispatchResult::eRejected, reject, retryAfter });
    return;
  }
  memory_.Add(reference);
  RecordSubmission(reference, aAge);
  Enqueue(reference);
  PlaceNewJob(reference);
  AdmitNewJob(id);
  orders_.Send();
}

DispatchReason
JobDispatcher::ReasonToReject(const DispatchedJob& aJob,
                              milliseconds aAge) const
{
  if (pauses_.HasJustPaused() || aAge > kMaxRequestAge) {
    return DispatchReason::ePaused;
  }
  if (ExceedsIsolation(aJob)) {
    return DispatchReason::eOverload;
  }
  for (std::size_t i = 0; i < aJob.steps.size(); ++i) {
    PlacementRequest request = placer_.RequestFor(aJob, i);
    auto shortest = servers_.ShortestRunTime(request);
    if (!shortest) {
      // When all processes start together, agents are found within a second.
      bool starting = clock_.MonotonicNow() - createdAt_ < kDiscoveryTime;
      if (starting && servers_.ReadyServers() == 0) {
        continue;
      }
      if (servers_.HasFittedBefore(request)) {
        // The capacity of a server may grow again in time.
        continue;
      }
      return servers_.FitsOnlyEvacuated(request) ? DispatchReason::eEvacuated
                                                 : DispatchReason::eImpossible;
    }
    if (*shortest > request.latestMs) {
      return DispatchReason::eTooLate;
    }
  }
  return DispatchReason::eNone;
}

void
JobDispatcher::RecordSubmission(const DispatchedJob& aJob,
                                milliseconds aAge) const
{
  if (hooks_.submitted) {
    hooks_.submitted({ aJob.spec.id, aAge, aJob.submissions.size() });
  }
}

bool
JobDispatcher::IsBehind() const
{
  return lag_.IsBehind() || pauses_.HasJustPaused() ||
         !lag_.HasProvenSince(pauses_.LastPauseEndedAt());
}

void
JobDispatcher::MeasureLag()
{
  lag_.Check();
  // An idle process sends no probes, so that its other threads are not woken.
  if (jobs_.empty() && !IsBehind()) {
    lag_.OnIdle();
    return;
  }
  bool sent = lag_.SendProbe([this] {
    reportTimes_.OnProbeReturned();
    PlaceWaitingJobs();
    orders_.Send();
  });
  if (sent) {
    reportTimes_.OnProbeSent();
  }
}

milliseconds
JobDispatcher::RetryAfter(const DispatchedJob& aJob) const
{
  if (admission_.IsOn()) {
    return admission_.RetryAfter(aJob);
  }
  // All jobs that wait now are started or rejected by their latest start.
  MonotonicTime last = clock_.MonotonicNow();
  if (!waiting_.empty()) {
    last = std::max(last, std::get<2>(*waiting_.rbegin()));
  }
  auto wait =
    std::chrono::duration_cast<milliseconds>(last - clock_.MonotonicNow());
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

void
JobDispatcher::Abandon(SubmissionId aSubmission)
{
  auto found = submissions_.find(aSubmission);
  if (found == submissions_.end()) {
    return;
  }
  state::DispatchJobId id = found->second;
  submissions_.erase(found);
  auto job = jobs_.find(id);
  if (job == jobs_.end()) {
    return;
  }
  std::erase(job->second->submissions, aSubmission);
  if (job->second->submissions.empty()) {
    End(id, FailedOutcome(DispatchReason::eAbandoned));
    PlaceWaitingJobs();
    orders_.Send();
  }
}

bool
JobDispatcher::Cancel(state::DispatchJobId aJob)
{
  bool isKnown = EndCancelled(aJob, milliseconds(0));
  PlaceWaitingJobs();
  orders_.Send();
  return isKnown;
}

void
JobDispatcher::Resume()
{
  PlaceWaitingJobs();
  orders_.Send();
}

bool
JobDispatcher::EndCancelled(state::DispatchJobId aJob, milliseconds aAge)
{
  bool isKnown = jobs_.contains(aJob);
  if (cancelled_.Add(aJob, aAge) && hooks_.jobCancelled) {
    hooks_.jobCancelled({ aJob, static_cast<std::uint32_t>(aAge.count()) },
                        isKnown);
  }
  if (isKnown) {
    End(aJob, FailedOutcome(DispatchReason::eCancelled));
  }
  return isKnown;
}

std::size_t
JobDispatcher::PendingJobs(const std::string& aQueue) const
{
  auto pending =
    std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& aJob) {
      return aJob.second->queue.name == aQueue && !aJob.second->started;
    });
  return static_cast<std::size_t>(pending);
}

void
JobDispatcher::Enqueue(DispatchedJob& aJob)
{
  WaitingKey key = WaitingKeyOf(aJob);
  if (aJob.waitingKey == key) {
    return;
  }
  if (aJob.waitingKey) {
    waiting_.erase(*aJob.waitingKey);
  }
  aJob.waitingKey = key;
  waiting_.insert(key);
}

void
JobDispatcher::ContinueRunNumbers(DispatchedJob& aJob)
{
  aJob.earlierRuns = pendingStops_.RunsOf(aJob.spec.id);
  for (const auto& [agent, run] : aJob.earlierRuns) {
    if (run.task.step >= aJob.steps.size() ||
        run.task.index >= aJob.steps[run.task.step].tasks.size()) {
      continue;
    }
    DispatchedTask& task = aJob.steps[run.task.step].tasks[run.task.index];
    task.run = std::max(task.run, run.run);
  }
}

bool
JobDispatcher::HasEarlierRuns(DispatchedJob& aJob) const
{
  // The runs of a lost agent are not waited for: their leases expire before a
  // caller that was answered submits again.
  std::erase_if(aJob.earlierRuns, [this](const auto& aItem) {
    return !pendingStops_.Contains(aItem.first, aItem.second) ||
           !servers_.Contains(aItem.first);
  });
  return !aJob.earlierRuns.empty();
}

void
JobDispatcher::Tick()
{
  auto now = clock_.MonotonicNow();
  pauses_.Check();
  MeasureLag();
  std::vector<std::pair<state::DispatchJobId, DispatchOutcome>> ended;
  for (auto& [id, job] : jobs_) {
    if (!job->started && now > job->latestStart) {
      admission_.OnWaitEnded(*job);
      ended.emplace_back(id,
                         DispatchOutcome{ DispatchResult::eRejected,
                                          DispatchReason::eOverload,
                                          RetryAfter(*job) });
    } else if (!job->started && NeedsEvacuated(*job)) {
      ended.emplace_back(id,
                         DispatchOutcome{ DispatchResult::eRejected,
                                          DispatchReason::eEvacuated,
                                          kMaxRetryAfter });
    } else if (now >= job->deadline) {
      auto result =
        job->started ? DispatchResult::eFailed : DispatchResult::eRejected;
      ended.emplace_back(
        id,
        DispatchOutcome{ result, DispatchReason::eTooLate, RetryAfter(*job) });
    } else if (!CheckRunningTasks(*job)) {
      ended.emplace_back(id, FailedOutcome(DispatchReason::eTooLate));
    }
  }
  for (const auto& [id, outcome] : ended) {
    End(id, outcome);
  }
  crashHistory_.RemoveExpired();
  RemoveExpiredHolds();
  UpdateIsolation();
  SendPendingStops();
  RemoveReleasedAgents();
  orders_.AddKeepAlives(servers_.AgentsInUse());
  ContinuePlacing();
  ExamineWaitingJobs();
  orders_.Send();
}

void
JobDispatcher::SendPendingStops()
{
  pendingStops_.RemoveExpired();
  for (const auto& [agent, run] : pendingStops_.Due()) {
    if (servers_.Contains(agent)) {
      StopRun(agent, run);
    }
  }
}

void
JobDispatcher::End(state::DispatchJobId aJob, const DispatchOutcome& aOutcome)
{
  auto found = jobs_.find(aJob);
  if (found == jobs_.end()) {
    return;
  }
  auto job = std::move(found->second);
  jobs_.erase(found);
  memory_.Remove(aJob);
  if (job->waitingKey) {
    waiting_.erase(*job->waitingKey);
  }
  DispatchOutcome outcome = aOutcome;
  if (IsBroken(outcome) && HasUncertainStart(*job)) {
    outcome = FailedOutcome(DispatchReason::eOutcomeUnknown);
  }
  StopRuns(*job);
  for (SubmissionId submission : job->submissions) {
    submissions_.erase(submission);
    hooks_.answer(submission, outcome);
  }
  if (!hooks_.ended) {
    return;
  }
  JobRecord record = MakeJobRecord(*job, outcome, clock_.MonotonicNow());
  record.configurationVersion = configuration_.version;
  record.waitingJobs = waiting_.size();
  record.readyServers = servers_.ReadyServers();
  hooks_.ended(record);
}

}
