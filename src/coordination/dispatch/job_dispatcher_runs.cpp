#include "coordination/dispatch/job_dispatcher.h"

#include <algorithm>

namespace greengage::coordination {

using state::DispatchReason;
using state::DispatchResult;
using state::DispatchStep;
using state::ProcessId;
using state::RunKey;
using std::chrono::milliseconds;

namespace {

/**
 * Increment of the run number after a start was refused as outdated. A server
 * refuses run numbers that are not higher than an earlier one of the task, and
 * another entry may have started the same task before.
 */
constexpr std::uint32_t kOutdatedRunStep = 16;

/** Returns true if a run of the task has been ordered and has not ended. */
bool
IsRegistered(const DispatchedTask& aTask)
{
  return aTask.phase == TaskPhase::eRunning ||
         aTask.phase == TaskPhase::eStopping;
}

}

void
JobDispatcher::OnReport(const ProcessId& aAgent, const ServerReport& aReport)
{
  if (!aReport.isReleased || servers_.Contains(aAgent)) {
    servers_.OnReport(aAgent, aReport);
    reportTimes_.OnReport(aAgent, aReport.sentAtMs);
  }
  // Crashes and uncertain starts come before the ends, which return lost tasks
  // to the queue.
  OnCrashes(aAgent, aReport.crashes);
  if (aReport.holds) {
    OnHolds({ aAgent, *aReport.holds });
  }
  for (const UncertainStart& start : aReport.uncertainStarts) {
    OnUncertainStart(aAgent, start);
  }
  for (const RunEnd& end : aReport.ends) {
    OnRunEnd(aAgent, end);
  }
  for (const RunForecast& forecast : aReport.forecasts) {
    OnForecast(aAgent, forecast);
  }
  PlaceWaitingJobs();
  orders_.Send();
}

void
JobDispatcher::OnRunEnd(const ProcessId& aAgent, const RunEnd& aEnd)
{
  if (aEnd.kind != RunEndKind::eDone && hooks_.runEnded) {
    hooks_.runEnded(aAgent, aEnd);
  }
  pendingStops_.OnEnded(aAgent, aEnd.run);
  if (!servers_.OnRunEnded(aAgent, aEnd.run)) {
    return;
  }
  auto found = jobs_.find(aEnd.run.task.job);
  if (found == jobs_.end()) {
    return;
  }
  DispatchedJob& job = *found->second;
  if (!HasTask(job, aEnd.run.task)) {
    return;
  }
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
    case RunEndKind::eNoFreeCapacity:
      // The report that contains this end also updates the free capacity.
      if (crashHistory_.Attributed(aEnd.run.task) > 0) {
        servers_.OnSuspectRefused(aAgent);
      } else {
        servers_.OnCapacityRefused(aAgent,
                                   job.spec.steps[aEnd.run.task.step].need);
      }
      break;
    case RunEndKind::eOutdated:
      task.run += kOutdatedRunStep;
      break;
    case RunEndKind::eStopped:
    case RunEndKind::eLost:
    case RunEndKind::eUnanswered:
      break;
  }
  RequeueTask(job, step, task);
  if (task.failures >= job.queue.maxAttempts) {
    End(job.spec.id, FailedOutcome(DispatchReason::eAttemptsUsed));
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
  if (!HasTask(job, aForecast.run.task)) {
    return;
  }
  std::uint32_t stepNumber = aForecast.run.task.step;
  DispatchedTask& task = job.steps[stepNumber].tasks[aForecast.run.task.index];
  if (task.phase != TaskPhase::eRunning || task.server != aAgent ||
      task.run != aForecast.run.run) {
    return;
  }
  switch (monitor_.OnForecast(job, stepNumber, task, aForecast.runTimeMs)) {
    case RunAction::eKeep:
      return;
    case RunAction::eMove:
      MoveRun(job, stepNumber, aForecast.run.task.index);
      return;
    case RunAction::eDeadlineUnreachable:
      End(job.spec.id, FailedOutcome(DispatchReason::eTooLate));
      return;
  }
}

void
JobDispatcher::OnUncertainStart(const ProcessId& aAgent,
                                const UncertainStart& aStart)
{
  if (servers_.Contains(aAgent)) {
    lateStarts_[aAgent][aStart.run] =
      clock_.MonotonicNow() + kLongestStartDelay;
  }
  auto found = jobs_.find(aStart.run.task.job);
  if (found == jobs_.end() || !HasTask(*found->second, aStart.run.task)) {
    return;
  }
  DispatchedJob& job = *found->second;
  DispatchedTask& task =
    job.steps[aStart.run.task.step].tasks[aStart.run.task.index];
  if (!IsRegistered(task) || task.server != aAgent ||
      task.run != aStart.run.run) {
    return;
  }
  task.isStartUncertain = true;
  if (aStart.isFinal) {
    End(job.spec.id, FailedOutcome(DispatchReason::eOutcomeUnknown));
  }
}

void
JobDispatcher::StopTask(const DispatchedJob& aJob,
                        std::size_t aStep,
                        std::uint32_t aIndex)
{
  const DispatchedTask& task = aJob.steps[aStep].tasks[aIndex];
  StopRun(task.server, KeyOf(aJob, aStep, aIndex));
}

void
JobDispatcher::StopRun(const ProcessId& aAgent, const RunKey& aRun)
{
  orders_.AddStop(aAgent, aRun);
  pendingStops_.OnSent(aAgent, aRun);
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
    // The steps that depend on this one may be ready now.
    Enqueue(aJob);
  }
}

void
JobDispatcher::OnTaskFailed(DispatchedJob& aJob,
                            DispatchedTask& aTask,
                            const ProcessId& aAgent)
{
  ++aTask.failures;
  // Only the first failure of a job counts, so that a job that fails on every
  // server does not eject servers.
  if (aJob.failedOn.empty()) {
    servers_.OnRunFailed(aAgent);
  }
  aJob.failedOn.insert(aAgent);
}

void
JobDispatcher::RequeueTask(DispatchedJob& aJob,
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

bool
JobDispatcher::CheckRunningTasks(DispatchedJob& aJob)
{
  if (!aJob.started) {
    return true;
  }
  for (std::size_t i = 0; i < aJob.steps.size(); ++i) {
    DispatchedStep& step = aJob.steps[i];
    // Most tasks of a large job wait or are done.
    std::size_t left = step.tasks.size() - step.done - step.waiting;
    for (std::uint32_t index = 0; left > 0 && index < step.tasks.size();
         ++index) {
      DispatchedTask& task = step.tasks[index];
      if (!IsRegistered(task)) {
        continue;
      }
      --left;
      RunAction action = monitor_.Recheck(aJob, i, task);
      if (action == RunAction::eDeadlineUnreachable) {
        return false;
      }
      if (action == RunAction::eMove) {
        MoveRun(aJob, i, index);
      }
      if (!monitor_.BecameOverdue(aJob, i, task)) {
        continue;
      }
      PlacementRequest request = placer_.RequestFor(aJob, i);
      auto shortest = servers_.ShortestRunTime(request);
      if (shortest && *shortest <= request.latestMs) {
        MoveRun(aJob, i, index);
      }
    }
  }
  return true;
}

void
JobDispatcher::MoveRun(DispatchedJob& aJob,
                       std::size_t aStep,
                       std::uint32_t aIndex)
{
  aJob.steps[aStep].tasks[aIndex].phase = TaskPhase::eStopping;
  StopTask(aJob, aStep, aIndex);
}

void
JobDispatcher::StopRuns(DispatchedJob& aJob)
{
  for (std::size_t i = 0; i < aJob.steps.size(); ++i) {
    DispatchedStep& step = aJob.steps[i];
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
      const DispatchedTask& task = step.tasks[index];
      bool runs = task.phase == TaskPhase::eRunning;
      if (runs && servers_.Contains(task.server)) {
        StopTask(aJob, i, index);
      }
    }
  }
}

}
