#include "coordination/execution/resume_plan.h"

#include <fmt/format.h>

namespace greengage::coordination {

using state::JobOutcome;
using state::RefusalCode;
using state::RunState;
using state::TaskRecord;
using state::TaskState;

namespace {

// Limits the memory of ended jobs.
constexpr std::size_t kMaxReasonBytes = 500;

RunState
RunStateOf(const MergedHistory& aHistory, bool aComplete)
{
  if (aHistory.started) {
    return RunState::eRan;
  }
  return aComplete ? RunState::eNotRun : RunState::eUnknown;
}

/** Returns a failure that ends the job, or null. */
const TaskRecord*
FindFailure(const MergedHistory& aHistory)
{
  for (const TaskHistory& task : aHistory.tasks) {
    if (task.failure && !task.result && task.running.empty()) {
      return &*task.failure;
    }
  }
  return nullptr;
}

}

ResumePlan
PlanResume(const state::JobSpec& aSpec,
           const MergedHistory& aHistory,
           bool aComplete)
{
  ResumePlan plan;
  bool allSucceeded = true;
  for (std::uint32_t i = 0; i < aHistory.tasks.size(); ++i) {
    allSucceeded = allSucceeded && aHistory.tasks[i].result.has_value();
    if (!aHistory.tasks[i].WasStarted()) {
      plan.tasksToStart.push_back(i);
    }
  }
  if (allSucceeded) {
    return plan;
  }
  if (const TaskRecord* failure = FindFailure(aHistory)) {
    plan.outcome = TaskFailure(*failure);
    plan.mayRetry = aSpec.Idempotent() && !aHistory.cancelled &&
                    failure->taskState == TaskState::eFailed;
    return plan;
  }
  if (aHistory.cancelled) {
    plan.outcome = JobOutcome::Failed(RefusalCode::eCancelled,
                                      RunStateOf(aHistory, aComplete),
                                      "an earlier owner ended the job");
    return plan;
  }
  if (!plan.tasksToStart.empty() && !aComplete) {
    plan.outcome =
      UnknownOutcome("a worker that may have run a task of the job "
                     "did not reply after the change of owner");
    plan.mayRetry = aSpec.Idempotent();
  }
  return plan;
}

JobOutcome
TaskFailure(const TaskRecord& aRecord)
{
  bool isOutcomeUnknown = aRecord.code == RefusalCode::eOutcomeUnknown;
  return JobOutcome::Failed(
    aRecord.code,
    isOutcomeUnknown ? RunState::eUnknown : RunState::eRan,
    fmt::format(
      "task {}: {}", aRecord.task, aRecord.body.substr(0, kMaxReasonBytes)));
}

JobOutcome
UnknownOutcome(std::string aMessage)
{
  return JobOutcome::Failed(
    RefusalCode::eOutcomeUnknown, RunState::eUnknown, std::move(aMessage));
}

}
