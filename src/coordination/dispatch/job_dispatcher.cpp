#include "coordination/dispatch/job_dispatcher.h"

#include <algorithm>
#include <cmath>

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

/**
 * Time that is not a task's own: network to the caller and the agent, and the
 * processes' work. Measured on the users' sites at 10 to 15 ms.
 */
constexpr milliseconds kOverhead{ 15 };
/**
 * The objective grows with the work that the tasks turn out to be, so only
 * the longest task of a job against the mean one counts ...
 */
constexpr double kLongestTask = 1.15;
/**
 * ... but the deadline does not: with estimates off by 40% the work is below
 * this multiple of the expected work nineteen times in twenty.
 */
constexpr double kWorkUncertainty = 1.6;
/**
 * Work that is expected to miss the deadline by no more than this factor is
 * tried: with 1.6 the load of hopeless work cost 0.02 of the worth of busy
 * days, with 1 quiet days rejected jobs that servers had room for.
 */
constexpr double kHopelessMargin = 1.2;
/** Standard deviation of the logarithm of the work, from the same spread. */
constexpr double kWorkDeviation = 0.3;
/** A run is reported once it will last this multiple of what is expected. */
constexpr double kForecastFactor = 2;
/** Work that is further off than this speaks of the server, not the task. */
constexpr double kLargestWorkFactor = 4;
/** Each move starts a task again from nothing. */
constexpr std::uint32_t kMaxMoves = 2;
/** What the work does not explain lowers a speed from this factor on. */
constexpr double kSlowServerFactor = 1.3;
/** Time after the start in which the first agents are still to be met. */
constexpr milliseconds kMeetingTime{ 1000 };
/** A job is begun only as a whole in this part of the time it can wait. */
constexpr int kWholeStartShare = 3;
/** What a move costs beside the new run: the stop and two messages. */
constexpr double kMoveMs = 70;
/** An answer later than three times the objective is worth nothing. */
constexpr int kUsefulObjectives = 3;
/** Entry to agent: how often an agent with runs hears from this entry. */
constexpr milliseconds kKeepAlive{ 150 };
/** A run is overdue after this multiple of its expected time, and more ... */
constexpr double kOverdueFactor = 2.2;
/** ... by this, so that short tasks are not stopped for a late message. */
constexpr double kOverdueMs = 40;
/**
 * The server refuses a run number that is not above an earlier one of the
 * task; another entry may have started the same task before.
 */
constexpr std::uint32_t kRunStep = 16;
/** Bounds of the pause that a rejected caller is asked to make. */
constexpr milliseconds kMinRetryAfter{ 200 };
constexpr milliseconds kMaxRetryAfter{ 3000 };

milliseconds
ToMilliseconds(double aMs)
{
  return milliseconds(static_cast<std::int64_t>(aMs));
}

double
MillisecondsBetween(MonotonicTime aFrom, MonotonicTime aTo)
{
  return std::chrono::duration<double, std::milli>(aTo - aFrom).count();
}

}

JobDispatcher::JobDispatcher(std::string aDataCentre,
                             double aFarFactor,
                             const state::Clock& aClock,
                             JobDispatcherHooks aHooks)
  : farFactor_(aFarFactor)
  , clock_(aClock)
  , hooks_(std::move(aHooks))
  , pauses_(aClock)
  , servers_(std::move(aDataCentre), aClock)
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
  ++counters_.submitted;
  std::uint64_t id = aJob.id;
  auto known = jobs_.find(id);
  if (known != jobs_.end()) {
    known->second->submissions.push_back(aSubmission);
    submissions_[aSubmission] = id;
    return;
  }
  auto job = std::make_unique<Job>();
  job->spec = std::move(aJob);
  job->queue = aQueue;
  job->submissions.push_back(aSubmission);
  Prepare(*job, aPatience);
  pauses_.Check();
  DispatchReason reject = ReasonToReject(*job);
  Job& reference = *job;
  jobs_[id] = std::move(job);
  submissions_[aSubmission] = id;
  if (reject != DispatchReason::eNone) {
    End(id, { DispatchResult::eRejected, reject, RetryAfter() });
    return;
  }
  Enqueue(reference);
  Place();
  SendOrders();
}

void
JobDispatcher::Prepare(Job& aJob, milliseconds aPatience)
{
  const RunTimeModel& model = servers_.Model();
  // Work on the longest chain of steps.
  std::vector<double> chain;
  for (const DispatchStep& spec : aJob.spec.steps) {
    Step step;
    step.tasks.resize(spec.taskCount);
    step.waiting = spec.taskCount;
    step.workMs = model.WorkMs(aJob.queue.name, spec.estimate);
    double before = 0;
    for (std::uint32_t earlier : spec.after) {
      before = std::max(before, chain[earlier]);
    }
    chain.push_back(before + step.workMs);
    aJob.workMs = std::max(aJob.workMs, chain.back());
    aJob.steps.push_back(std::move(step));
  }
  aJob.submittedAt = clock_.MonotonicNow();
  milliseconds patience = aPatience;
  if (aJob.queue.timeout.count() > 0) {
    patience = std::min(patience, aJob.queue.timeout);
  }
  auto objective = ToMilliseconds(aJob.queue.objectiveStretch * aJob.workMs) +
                   aJob.queue.objectiveMargin;
  aJob.deadline = aJob.submittedAt + patience;
  aJob.objectiveAt = aJob.submittedAt + objective;
  aJob.uselessAt =
    std::min(aJob.deadline, aJob.submittedAt + kUsefulObjectives * objective);
  aJob.latestStart = std::min(aJob.objectiveAt, aJob.deadline) - kOverhead -
                     ToMilliseconds(aJob.workMs / model.HighestSpeed());
}

DispatchReason
JobDispatcher::ReasonToReject(const Job& aJob) const
{
  if (pauses_.JustPaused()) {
    return DispatchReason::ePaused;
  }
  for (std::size_t i = 0; i < aJob.steps.size(); ++i) {
    PlacementRequest request = RequestFor(aJob, i);
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

PlacementRequest
JobDispatcher::RequestFor(const Job& aJob,
                          std::size_t aStep,
                          const Task* aTask) const
{
  const DispatchStep& spec = aJob.spec.steps[aStep];
  auto now = clock_.MonotonicNow();
  PlacementRequest request;
  request.service = aJob.queue.service;
  request.need = spec.need;
  request.requiredLabel = spec.requiredLabel;
  request.dataRack = spec.dataRack;
  request.farFactor = farFactor_;
  bool known = aTask && aTask->workMs > 0;
  request.workMs = known ? aTask->workMs : aJob.steps[aStep].workMs;
  double overhead = static_cast<double>(kOverhead.count());
  double untilObjective = MillisecondsBetween(now, aJob.objectiveAt) - overhead;
  double untilDeadline = MillisecondsBetween(now, aJob.deadline) - overhead;
  request.objectiveMs = known ? untilDeadline
                              : std::min(untilObjective / kLongestTask,
                                         untilDeadline / kWorkUncertainty);
  request.deadlineMs = untilDeadline;
  request.workDeviation = known ? 0 : kWorkDeviation;
  // What was begun is finished if it can be: late answers are delivered.
  request.latestMs = aJob.started
                       ? untilDeadline
                       : MillisecondsBetween(now, aJob.uselessAt) - overhead;
  // The work may be less than expected; a forecast tells soon.
  request.latestMs *= known ? 1 : kHopelessMargin;
  return request;
}

bool
JobDispatcher::IsReady(const Job& aJob, const DispatchStep& aStep) const
{
  return std::all_of(
    aStep.after.begin(), aStep.after.end(), [&](std::uint32_t aEarlier) {
      const Step& step = aJob.steps[aEarlier];
      return step.done == step.tasks.size();
    });
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
    End(
      id,
      { DispatchResult::eFailed, DispatchReason::eAbandoned, milliseconds(0) });
    Place();
    SendOrders();
  }
}

bool
JobDispatcher::Cancel(std::uint64_t aJob)
{
  if (!jobs_.contains(aJob)) {
    return false;
  }
  End(aJob,
      { DispatchResult::eFailed, DispatchReason::eCancelled, milliseconds(0) });
  Place();
  SendOrders();
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
    End(id,
        { DispatchResult::eFailed,
          DispatchReason::eServerLost,
          milliseconds(0) });
  }
  outgoing_.erase(aAgent);
  sentAt_.erase(aAgent);
  Place();
  SendOrders();
}

void
JobDispatcher::OnAgentDisconnected(const ProcessId& aAgent)
{
  auto runs = servers_.RunsOn(aAgent);
  if (runs.empty()) {
    return;
  }
  auto& checks = outgoing_[aAgent].checks;
  checks.insert(checks.end(), runs.begin(), runs.end());
  SendOrders();
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
  SendOrders();
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
  Job& job = *found->second;
  Step& step = job.steps[aEnd.run.task.step];
  Task& task = step.tasks[aEnd.run.task.index];
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
    End(job.spec.id,
        { DispatchResult::eFailed,
          DispatchReason::eAttemptsUsed,
          milliseconds(0) });
  }
}

void
JobDispatcher::OnForecast(const ProcessId& aAgent, const RunForecast& aForecast)
{
  auto found = jobs_.find(aForecast.run.task.job);
  if (found == jobs_.end()) {
    return;
  }
  Job& job = *found->second;
  std::uint32_t stepNumber = aForecast.run.task.step;
  Step& step = job.steps[stepNumber];
  Task& task = step.tasks[aForecast.run.task.index];
  if (task.taskState != TaskState::eRunning || task.server != aAgent ||
      task.run != aForecast.run.run) {
    return;
  }
  double total = aForecast.runTimeMs;
  task.workMs = WorkFromForecast(job, stepNumber, task, total);
  // The run makes progress: it is overdue only beyond its forecast.
  task.expectedMs = std::max(task.expectedMs, total);
  auto now = clock_.MonotonicNow();
  double left = total - MillisecondsBetween(task.sentAt, now);
  PlacementRequest request = RequestFor(job, stepNumber, &task);
  auto shortest = servers_.ShortestRunTime(request);
  if (left > request.deadlineMs &&
      (!shortest || *shortest + kMoveMs > request.deadlineMs)) {
    End(job.spec.id,
        { DispatchResult::eFailed, DispatchReason::eTooLate, milliseconds(0) });
    return;
  }
  auto other = servers_.Choose(
    request, step.runsByServer, job.spec.steps[stepNumber].maxPerServer);
  bool better =
    other && other->server != aAgent && other->runTimeMs + kMoveMs < left;
  if (better && task.moves < kMaxMoves) {
    ++task.moves;
    task.taskState = TaskState::eStopping;
    StopTask(job, stepNumber, aForecast.run.task.index);
  }
}

double
JobDispatcher::WorkFromForecast(const Job& aJob,
                                std::size_t aStep,
                                const Task& aTask,
                                double aRunTimeMs)
{
  RunTimeModel& model = servers_.Model();
  double speed = model.Speed(aTask.server);
  if (aTask.workMs > 0) {
    // A second server agrees that the task is long.
    return std::max(aTask.workMs, aRunTimeMs * speed);
  }
  double expected = aJob.steps[aStep].workMs;
  double excess = aRunTimeMs * speed / expected;
  // The excess is shared by how uncertain the work and the speed are.
  double workVariance = kWorkDeviation * kWorkDeviation;
  double speedDeviation = model.SpeedDeviation(aTask.server);
  double share =
    workVariance / (workVariance + speedDeviation * speedDeviation);
  double workFactor = std::min(std::pow(excess, share), kLargestWorkFactor);
  if (excess > kSlowServerFactor * workFactor) {
    model.AddOverdue(aJob.queue.name,
                     aJob.spec.steps[aStep].estimate,
                     aTask.server,
                     ToMilliseconds(aRunTimeMs / workFactor));
  }
  return expected * workFactor;
}

void
JobDispatcher::StopTask(const Job& aJob,
                        std::size_t aStep,
                        std::uint32_t aIndex)
{
  const Task& task = aJob.steps[aStep].tasks[aIndex];
  ++counters_.runsStopped;
  outgoing_[task.server].stops.push_back(KeyOf(aJob, aStep, aIndex));
}

void
JobDispatcher::OnTaskDone(Job& aJob,
                          Step& aStep,
                          Task& aTask,
                          const RunEnd& aEnd)
{
  servers_.OnRunDone(aTask.server);
  const DispatchStep& spec = aJob.spec.steps[aEnd.run.task.step];
  servers_.Model().AddSample(
    aJob.queue.name, spec.estimate, aTask.server, milliseconds(aEnd.runTimeMs));
  aTask.taskState = TaskState::eDone;
  ++aStep.done;
  bool complete =
    std::all_of(aJob.steps.begin(), aJob.steps.end(), [](const Step& aEach) {
      return aEach.done == aEach.tasks.size();
    });
  if (complete) {
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
JobDispatcher::OnTaskFailed(Job& aJob, Task& aTask, const ProcessId& aAgent)
{
  ++aTask.failures;
  // A job that fails everywhere must not take servers out of use.
  if (aJob.failedOn.empty()) {
    servers_.OnRunFailed(aAgent);
  }
  aJob.failedOn.insert(aAgent);
}

void
JobDispatcher::WaitAgain(Job& aJob, Step& aStep, Task& aTask)
{
  auto runs = aStep.runsByServer.find(aTask.server);
  if (runs != aStep.runsByServer.end() && runs->second > 0) {
    --runs->second;
  }
  aTask.taskState = TaskState::eWaiting;
  ++aStep.waiting;
  Enqueue(aJob);
}

void
JobDispatcher::Enqueue(Job& aJob)
{
  WaitingKey key = KeyOf(aJob);
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
    Job& job = *jobs_.at(std::get<3>(*key));
    bool placed = PlaceJob(job);
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

bool
JobDispatcher::PlaceJob(Job& aJob)
{
  bool placed = true;
  for (std::size_t i = 0; i < aJob.steps.size(); ++i) {
    if (aJob.steps[i].waiting > 0 && IsReady(aJob, aJob.spec.steps[i])) {
      placed = PlaceStep(aJob, i) && placed;
    }
  }
  return placed;
}

bool
JobDispatcher::PlaceStep(Job& aJob, std::size_t aStep)
{
  Step& step = aJob.steps[aStep];
  std::uint32_t waiting = step.waiting;
  auto places = FindPlaces(aJob, aStep);
  bool all = places.size() == waiting;
  auto patience = (aJob.latestStart - aJob.submittedAt) / kWholeStartShare;
  bool early = clock_.MonotonicNow() < aJob.submittedAt + patience;
  if (!all && !aJob.started && early) {
    // A job that is begun in part holds room while it waits for the rest.
    for (const auto& [index, placement] : places) {
      Withdraw(aJob, aStep, index);
    }
    return false;
  }
  for (const auto& [index, placement] : places) {
    Start(aJob, aStep, index, placement);
  }
  return all;
}

std::vector<std::pair<std::uint32_t, Placement>>
JobDispatcher::FindPlaces(Job& aJob, std::size_t aStep)
{
  Step& step = aJob.steps[aStep];
  const PlacementRequest unknownWork = RequestFor(aJob, aStep);
  // Tasks of which no progress is known ask for the same.
  bool unknownHasPlace = true;
  std::vector<std::pair<std::uint32_t, Placement>> places;
  for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
    const Task& task = step.tasks[index];
    bool known = task.workMs > 0;
    if (task.taskState != TaskState::eWaiting || (!known && !unknownHasPlace)) {
      continue;
    }
    auto placement = FindPlace(
      step,
      known ? RequestFor(aJob, aStep, &task) : unknownWork,
      aJob.spec.steps[aStep].maxPerServer);
    if (!placement) {
      unknownHasPlace = unknownHasPlace && known;
      continue;
    }
    Reserve(aJob, aStep, index, *placement);
    places.emplace_back(index, *placement);
  }
  return places;
}

std::optional<Placement>
JobDispatcher::FindPlace(const Step& aStep,
                         const PlacementRequest& aRequest,
                         std::uint32_t aMaxPerServer) const
{
  auto placement =
    servers_.Choose(aRequest, aStep.runsByServer, aMaxPerServer);
  if (!placement || placement->meetsObjective || aRequest.objectiveMs <= 0) {
    return placement;
  }
  auto shortest = servers_.ShortestRunTime(aRequest);
  if (shortest && *shortest <= aRequest.objectiveMs) {
    // A server that meets the objective may have room in time.
    return std::nullopt;
  }
  return placement;
}

void
JobDispatcher::Reserve(Job& aJob,
                       std::size_t aStep,
                       std::uint32_t aIndex,
                       const Placement& aPlacement)
{
  Step& step = aJob.steps[aStep];
  Task& task = step.tasks[aIndex];
  ++task.run;
  task.server = aPlacement.server;
  --step.waiting;
  ++step.runsByServer[aPlacement.server];
  servers_.OnRunSent(
    aPlacement.server, KeyOf(aJob, aStep, aIndex), aJob.spec.steps[aStep].need);
}

void
JobDispatcher::Withdraw(Job& aJob, std::size_t aStep, std::uint32_t aIndex)
{
  Step& step = aJob.steps[aStep];
  Task& task = step.tasks[aIndex];
  servers_.OnRunEnded(task.server, KeyOf(aJob, aStep, aIndex));
  --step.runsByServer[task.server];
  ++step.waiting;
  --task.run;
}

RunKey
JobDispatcher::KeyOf(const Job& aJob, std::size_t aStep, std::uint32_t aIndex)
{
  return { { aJob.spec.id, static_cast<std::uint32_t>(aStep), aIndex },
           aJob.steps[aStep].tasks[aIndex].run };
}

void
JobDispatcher::Start(Job& aJob,
                     std::size_t aStep,
                     std::uint32_t aIndex,
                     const Placement& aPlacement)
{
  const DispatchStep& spec = aJob.spec.steps[aStep];
  Step& step = aJob.steps[aStep];
  Task& task = step.tasks[aIndex];
  auto now = clock_.MonotonicNow();
  task.taskState = TaskState::eRunning;
  task.sentAt = now;
  task.expectedMs = aPlacement.runTimeMs;
  task.overdue = false;
  if (!aJob.started) {
    aJob.started = true;
    aJob.firstRunAt = now;
  }
  ++aJob.runs;
  ++counters_.runsStarted;
  auto id = static_cast<std::uint32_t>(aStep);
  auto& starts = outgoing_[aPlacement.server].starts;
  auto batch =
    std::find_if(starts.begin(), starts.end(), [&](const RunBatch& aBatch) {
      return aBatch.job == aJob.spec.id && aBatch.step == id;
    });
  if (batch == starts.end()) {
    double untilDeadline = MillisecondsBetween(now, aJob.deadline) -
                           static_cast<double>(kOverhead.count());
    double limit =
      std::min(untilDeadline, kForecastFactor * aPlacement.runTimeMs + kMoveMs);
    starts.push_back({ aJob.spec.id,
                       id,
                       spec.need,
                       static_cast<std::uint32_t>(std::max(1.0, limit)),
                       aJob.spec.payload,
                       {} });
    batch = std::prev(starts.end());
  }
  batch->runs.push_back({ aIndex, task.run });
}

void
JobDispatcher::SendOrders()
{
  auto now = clock_.MonotonicNow();
  auto outgoing = std::exchange(outgoing_, {});
  for (auto& [agent, orders] : outgoing) {
    sentAt_[agent] = now;
    RecordPlacements(agent, orders);
    hooks_.send(agent, std::move(orders));
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
    PlacementRequest request = RequestFor(*job->second, batch.step);
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
  for (const ProcessId& agent : servers_.AgentsInUse()) {
    if (now - sentAt_[agent] >= kKeepAlive) {
      outgoing_[agent];
    }
  }
  Place();
  SendOrders();
}

void
JobDispatcher::CheckRunning(Job& aJob)
{
  auto now = clock_.MonotonicNow();
  for (std::size_t i = 0; i < aJob.steps.size(); ++i) {
    Step& step = aJob.steps[i];
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
      Task& task = step.tasks[index];
      if (task.taskState != TaskState::eRunning || task.overdue) {
        continue;
      }
      double elapsed = MillisecondsBetween(task.sentAt, now);
      if (elapsed < kOverdueFactor * task.expectedMs + kOverdueMs) {
        continue;
      }
      task.overdue = true;
      servers_.Model().AddOverdue(aJob.queue.name,
                                  aJob.spec.steps[i].estimate,
                                  task.server,
                                  ToMilliseconds(elapsed));
      servers_.OnRunFailed(task.server);
      PlacementRequest request = RequestFor(aJob, i);
      auto shortest = servers_.ShortestRunTime(request);
      if (shortest && *shortest <= request.latestMs) {
        task.taskState = TaskState::eStopping;
        StopTask(aJob, i, index);
      }
    }
  }
}

void
JobDispatcher::StopRuns(Job& aJob)
{
  for (std::size_t i = 0; i < aJob.steps.size(); ++i) {
    Step& step = aJob.steps[i];
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
      const Task& task = step.tasks[index];
      bool runs = task.taskState == TaskState::eRunning;
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
  auto now = clock_.MonotonicNow();
  auto toMs = [](auto aDuration) {
    return std::chrono::duration_cast<milliseconds>(aDuration);
  };
  JobRecord record;
  record.job = aJob;
  record.queue = job->queue.name;
  record.configurationVersion = configuration_.version;
  for (const Step& step : job->steps) {
    record.tasks += static_cast<std::uint32_t>(step.tasks.size());
    record.tasksDone += step.done;
  }
  record.runs = job->runs;
  record.waited =
    toMs((job->started ? job->firstRunAt : now) - job->submittedAt);
  record.total = toMs(now - job->submittedAt);
  record.objective = toMs(job->objectiveAt - job->submittedAt);
  record.expectedWorkMs = job->workMs;
  record.waitingJobs = waiting_.size();
  record.readyServers = servers_.ReadyServers();
  record.outcome = aOutcome;
  hooks_.ended(record);
}

JobDispatcher::WaitingKey
JobDispatcher::KeyOf(const Job& aJob)
{
  return { aJob.queue.priority, !aJob.started, aJob.latestStart, aJob.spec.id };
}

}
