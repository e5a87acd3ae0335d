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

/** Time after the start in which the first agents are still to be met. */
constexpr milliseconds kMeetingTime{ 1000 };
/**
 * The server refuses a run number that is not above an earlier one of the
 * task; another entry may have started the same task before.
 */
constexpr std::uint32_t kRunStep = 16;
/** Bounds of the pause that a rejected caller is asked to make. */
constexpr milliseconds kMinRetryAfter{ 200 };
constexpr milliseconds kMaxRetryAfter{ 3000 };

DispatchOutcome
Failed(DispatchReason aReason)
{
  return { DispatchResult::eFailed, aReason, milliseconds(0) };
}

}

JobDispatcher::JobDispatcher(std::string aDataCentre,
                             double aFarFactor,
                             const state::Clock& aClock,
                             JobDispatcherHooks aHooks)
  : clock_(aClock)
  , hooks_(std::move(aHooks))
  , pauses_(aClock)
  , servers_(std::move(aDataCentre), aClock)
  , orders_(aClock,
            [this](const ProcessId& aAgent, DispatchOrders aOrders) {
              RecordPlacements(aAgent, aOrders);
              hooks_.send(aAgent, std::move(aOrders));
            })
  , placer_(servers_, orders_, aFarFactor, aClock)
  , monitor_(servers_, placer_, aClock)
  , createdAt_(aClock.MonotonicNow())
{
}

void
JobDispatcher::SetConfiguration(state::DispatchConfiguration aConfiguration)
{
  configuration_ = std::move(aConfiguration);
}

void
JobDispatcher::Submit(SubmissionId aSubmission,
                      const state::WorkQueue& aQueue,
                      state::DispatchJob aJob,
                      milliseconds aPatience)
{
  std::uint64_t id = aJob.id;
  auto known = jobs_.find(id);
  if (known != jobs_.end()) {
    known->second->submissions.push_back(aSubmission);
    submissions_[aSubmission] = id;
    return;
  }
  auto job =
    std::make_unique<DispatchedJob>(MakeDispatchedJob(std::move(aJob),
                                                      aQueue,
                                                      servers_.Model(),
                                                      clock_.MonotonicNow(),
                                                      aPatience));
  job->submissions.push_back(aSubmission);
  pauses_.Check();
  DispatchReason reject = ReasonToReject(*job);
  DispatchedJob& reference = *job;
  jobs_[id] = std::move(job);
  submissions_[aSubmission] = id;
  if (reject != DispatchReason::eNone) {
    End(id, { DispatchResult::eRejected, reject, RetryAfter() });
    return;
  }
  Enqueue(reference);
  Place();
  orders_.Send();
}

DispatchReason
JobDispatcher::ReasonToReject(const DispatchedJob& aJob) const
{
  if (pauses_.JustPaused()) {
    return DispatchReason::ePaused;
  }
  for (std::size_t i = 0; i < aJob.steps.size(); ++i) {
    PlacementRequest request = placer_.RequestFor(aJob, i);
    auto shortest = servers_.ShortestRunTime(request);
    if (!shortest) {
      // After a start of everything, agents are met within a second.
      bool starting = clock_.MonotonicNow() - createdAt_ < kMeetingTime;
      if (starting && servers_.ReadyServers() == 0) {
        continue;
      }
      return DispatchReason::eImpossible;
    }
    if (*shortest > request.latestMs) {
      return DispatchReason::eTooLate;
    }
  }
  return DispatchReason::eNone;
}

milliseconds
JobDispatcher::RetryAfter() const
{
  // The jobs that wait now are served or given up within their objectives.
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
  std::uint64_t id = found->second;
  submissions_.erase(found);
  auto job = jobs_.find(id);
  if (job == jobs_.end()) {
    return;
  }
  std::erase(job->second->submissions, aSubmission);
  if (job->second->submissions.empty()) {
    End(id, Failed(DispatchReason::eAbandoned));
    Place();
    orders_.Send();
  }
}

bool
JobDispatcher::Cancel(std::uint64_t aJob)
{
  if (!jobs_.contains(aJob)) {
    return false;
  }
  End(aJob, Failed(DispatchReason::eCancelled));
  Place();
  orders_.Send();
  return true;
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
JobDispatcher::OnAgent(const ProcessInfo& aAgent)
{
  auto older = servers_.OlderOnAddress(aAgent);
  if (older) {
    OnAgentGone(*older);
  }
  servers_.OnAgent(aAgent);
}

void
JobDispatcher::OnAgentGone(const ProcessId& aAgent)
{
  if (!servers_.Knows(aAgent)) {
    return;
  }
  auto runs = servers_.OnAgentGone(aAgent);
  std::set<std::uint64_t> lost;
  for (const RunKey& run : runs) {
    lost.insert(run.task.job);
  }
  for (std::uint64_t id : lost) {
    // The server may go on until its leases end, so the tasks cannot be
    // started elsewhere in time.
    End(id, Failed(DispatchReason::eServerLost));
  }
  orders_.Forget(aAgent);
  Place();
  orders_.Send();
}

void
JobDispatcher::OnAgentDisconnected(const ProcessId& aAgent)
{
  auto runs = servers_.RunsOn(aAgent);
  if (runs.empty()) {
    return;
  }
  orders_.AddChecks(aAgent, runs);
  orders_.Send();
}

void
JobDispatcher::OnReport(const ProcessId& aAgent, const ServerReport& aReport)
{
  servers_.OnReport(aAgent, aReport);
  for (const RunEnd& end : aReport.ends) {
    OnRunEnd(aAgent, end);
  }
  for (const RunForecast& forecast : aReport.forecasts) {
    OnForecast(aAgent, forecast);
  }
  Place();
  orders_.Send();
}

void
JobDispatcher::OnRunEnd(const ProcessId& aAgent, const RunEnd& aEnd)
{
  if (aEnd.kind != RunEndKind::eDone && hooks_.runEnded) {
    hooks_.runEnded(aAgent, aEnd);
  }
  if (!servers_.OnRunEnded(aAgent, aEnd.run)) {
    return;
  }
  auto found = jobs_.find(aEnd.run.task.job);
  if (found == jobs_.end()) {
    return;
  }
  DispatchedJob& job = *found->second;
  DispatchedStep& step = job.steps[aEnd.run.task.step];
  DispatchedTask& task = step.tasks[aEnd.run.task.index];
  if (task.run != aEnd.run.run || task.server != aAgent) {
    return;
  }
  switch (aEnd.kind) {
    case RunEndKind::eDone:
      OnTaskDone(job, step, task, aEnd);
      return;
    case RunEndKind::eFailed:
      OnTaskFailed(job, task, aAgent);
      break;
    case RunEndKind::eRefused:
      servers_.OnRefused(aAgent);
      break;
    case RunEndKind::eNoRoom:
      // The report that brings this tells the room there is.
      break;
    case RunEndKind::eOutdated:
      task.run += kRunStep;
      break;
    case RunEndKind::eStopped:
    case RunEndKind::eLost:
    case RunEndKind::eUnanswered:
      break;
  }
  WaitAgain(job, step, task);
  if (task.failures >= job.queue.maxAttempts) {
    End(job.spec.id, Failed(DispatchReason::eAttemptsUsed));
  }
}

void
JobDispatcher::OnForecast(const ProcessId& aAgent, const RunForecast& aForecast)
{
  auto found = jobs_.find(aForecast.run.task.job);
  if (found == jobs_.end()) {
    return;
  }
  DispatchedJob& job = *found->second;
  std::uint32_t stepNumber = aForecast.run.task.step;
  DispatchedTask& task = job.steps[stepNumber].tasks[aForecast.run.task.index];
  if (task.phase != TaskPhase::eRunning || task.server != aAgent ||
      task.run != aForecast.run.run) {
    return;
  }
  switch (monitor_.OnForecast(job, stepNumber, task, aForecast.runTimeMs)) {
    case RunVerdict::eKeep:
      return;
    case RunVerdict::eMove:
      task.phase = TaskPhase::eStopping;
      StopTask(job, stepNumber, aForecast.run.task.index);
      return;
    case RunVerdict::eHopeless:
      End(job.spec.id, Failed(DispatchReason::eTooLate));
      return;
  }
}

void
JobDispatcher::StopTask(const DispatchedJob& aJob,
                        std::size_t aStep,
                        std::uint32_t aIndex)
{
  const DispatchedTask& task = aJob.steps[aStep].tasks[aIndex];
  orders_.AddStop(task.server, KeyOf(aJob, aStep, aIndex));
}

void
JobDispatcher::OnTaskDone(DispatchedJob& aJob,
                          DispatchedStep& aStep,
                          DispatchedTask& aTask,
                          const RunEnd& aEnd)
{
  servers_.OnRunDone(aTask.server);
  const DispatchStep& spec = aJob.spec.steps[aEnd.run.task.step];
  servers_.Model().AddSample(
    aJob.queue.name, spec.estimate, aTask.server, milliseconds(aEnd.runTimeMs));
  aTask.phase = TaskPhase::eDone;
  ++aStep.done;
  if (IsComplete(aJob)) {
    End(aJob.spec.id,
        { DispatchResult::eCompleted, DispatchReason::eNone, milliseconds(0) });
    return;
  }
  if (aStep.done == aStep.tasks.size()) {
    // A later step may be ready now.
    Enqueue(aJob);
  }
}

void
JobDispatcher::OnTaskFailed(DispatchedJob& aJob,
                            DispatchedTask& aTask,
                            const ProcessId& aAgent)
{
  ++aTask.failures;
  // A job that fails everywhere must not take servers out of use.
  if (aJob.failedOn.empty()) {
    servers_.OnRunFailed(aAgent);
  }
  aJob.failedOn.insert(aAgent);
}

void
JobDispatcher::WaitAgain(DispatchedJob& aJob,
                         DispatchedStep& aStep,
                         DispatchedTask& aTask)
{
  auto runs = aStep.runsByServer.find(aTask.server);
  if (runs != aStep.runsByServer.end() && runs->second > 0) {
    --runs->second;
  }
  aTask.phase = TaskPhase::eWaiting;
  ++aStep.waiting;
  Enqueue(aJob);
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
JobDispatcher::Place()
{
  for (auto key = waiting_.begin(); key != waiting_.end();) {
    DispatchedJob& job = *jobs_.at(std::get<3>(*key));
    bool placed = placer_.PlaceJob(job);
    ++key;
    if (placed) {
      waiting_.erase(*job.waitingKey);
      job.waitingKey.reset();
    } else {
      // A job that was begun goes before those that were not.
      Enqueue(job);
    }
  }
}

void
JobDispatcher::RecordPlacements(const ProcessId& aAgent,
                                const DispatchOrders& aOrders) const
{
  if (!hooks_.placed) {
    return;
  }
  for (const RunBatch& batch : aOrders.starts) {
    auto job = jobs_.find(batch.job);
    if (job == jobs_.end()) {
      continue;
    }
    PlacementRequest request = placer_.RequestFor(*job->second, batch.step);
    hooks_.placed({ aAgent,
                    batch.job,
                    batch.step,
                    static_cast<std::uint32_t>(batch.runs.size()),
                    request.workMs,
                    servers_.Model().Speed(aAgent),
                    request.objectiveMs });
  }
}

void
JobDispatcher::Tick()
{
  auto now = clock_.MonotonicNow();
  pauses_.Check();
  std::vector<std::pair<std::uint64_t, DispatchOutcome>> ended;
  for (auto& [id, job] : jobs_) {
    if (!job->started && now > job->latestStart) {
      ended.emplace_back(id,
                         DispatchOutcome{ DispatchResult::eRejected,
                                          DispatchReason::eOverload,
                                          RetryAfter() });
    } else if (now >= job->deadline) {
      auto result =
        job->started ? DispatchResult::eFailed : DispatchResult::eRejected;
      ended.emplace_back(
        id, DispatchOutcome{ result, DispatchReason::eTooLate, RetryAfter() });
    } else {
      CheckRunning(*job);
    }
  }
  for (const auto& [id, outcome] : ended) {
    End(id, outcome);
  }
  orders_.KeepAlive(servers_.AgentsInUse());
  Place();
  orders_.Send();
}

void
JobDispatcher::CheckRunning(DispatchedJob& aJob)
{
  for (std::size_t i = 0; i < aJob.steps.size(); ++i) {
    DispatchedStep& step = aJob.steps[i];
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
      DispatchedTask& task = step.tasks[index];
      if (!monitor_.BecameOverdue(aJob, i, task)) {
        continue;
      }
      PlacementRequest request = placer_.RequestFor(aJob, i);
      auto shortest = servers_.ShortestRunTime(request);
      if (shortest && *shortest <= request.latestMs) {
        task.phase = TaskPhase::eStopping;
        StopTask(aJob, i, index);
      }
    }
  }
}

void
JobDispatcher::StopRuns(DispatchedJob& aJob)
{
  for (std::size_t i = 0; i < aJob.steps.size(); ++i) {
    DispatchedStep& step = aJob.steps[i];
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
      const DispatchedTask& task = step.tasks[index];
      bool runs = task.phase == TaskPhase::eRunning;
      if (runs && servers_.Knows(task.server)) {
        StopTask(aJob, i, index);
      }
    }
  }
}

void
JobDispatcher::End(std::uint64_t aJob, const DispatchOutcome& aOutcome)
{
  auto found = jobs_.find(aJob);
  if (found == jobs_.end()) {
    return;
  }
  auto job = std::move(found->second);
  jobs_.erase(found);
  if (job->waitingKey) {
    waiting_.erase(*job->waitingKey);
  }
  StopRuns(*job);
  for (SubmissionId submission : job->submissions) {
    submissions_.erase(submission);
    hooks_.answer(submission, aOutcome);
  }
  if (!hooks_.ended) {
    return;
  }
  JobRecord record = MakeJobRecord(*job, aOutcome, clock_.MonotonicNow());
  record.configurationVersion = configuration_.version;
  record.waitingJobs = waiting_.size();
  record.readyServers = servers_.ReadyServers();
  hooks_.ended(record);
}

}
