#include "coordination/dispatch/job_dispatcher.h"

// Tasks that a server may start at any moment, so that they run nowhere else.
namespace greengage::coordination {

using state::ProcessId;
using state::TaskKey;

namespace {

/**
 * Expected rest of a run up to which it may end instead of being stopped. It is
 * well below the time in which a server starts again, which is 500 ms in the
 * property tests and 4.5 s on the users' sites: finding the end of the server
 * takes 125 ms, a stop 50 ms.
 */
constexpr double kMaxRestMs = 150;

}

void
JobDispatcher::OnHolds(const ReportedHolds& aHolds)
{
  if (!ApplyHolds(holds_, aHolds, clock_.MonotonicNow())) {
    return;
  }
  bool isOwn = aHolds.reporter == ProcessId{};
  if (isOwn && hooks_.holdsChanged) {
    hooks_.holdsChanged(aHolds.holds);
  } else if (!isOwn && hooks_.holdsReported) {
    hooks_.holdsReported(aHolds);
  }
  for (const HeldTask& held : aHolds.holds.tasks) {
    StopHeldTask(held.task, aHolds.reporter);
  }
}

void
JobDispatcher::StopHeldTask(const TaskKey& aTask, const ProcessId& aReporter)
{
  auto found = jobs_.find(aTask.job);
  if (found == jobs_.end() || !HasTask(*found->second, aTask)) {
    return;
  }
  const DispatchedTask& task =
    found->second->steps[aTask.step].tasks[aTask.index];
  double ranMs = MillisecondsBetween(task.sentAt, clock_.MonotonicNow());
  double restMs = task.expectedMs - ranMs;
  bool endsSoon = restMs > 0 && restMs <= kMaxRestMs;
  if (task.phase == TaskPhase::eRunning && task.server != aReporter &&
      !endsSoon) {
    MoveRun(*found->second, aTask.step, aTask.index);
  }
}

void
JobDispatcher::HoldLateStartsOf(const ProcessId& aAgent)
{
  auto late = lateStarts_.extract(aAgent);
  if (late.empty()) {
    return;
  }
  orphanedStarts_.merge(late.mapped());
  RemoveExpired(orphanedStarts_, clock_.MonotonicNow());
  // Nothing is known about the server any more.
  HeldTasks tasks = TasksToHold(orphanedStarts_, ServerFence{});
  OnHolds({ ProcessId{},
            MakeTaskHolds(++holdsNumber_, tasks, clock_.MonotonicNow()) });
}

void
JobDispatcher::RemoveExpiredHolds()
{
  auto now = clock_.MonotonicNow();
  RemoveExpired(holds_, now);
  // Runs that were expected to end soon may take longer.
  for (const auto& [reporter, known] : holds_) {
    for (const auto& [task, until] : known.tasks) {
      if (now < until) {
        StopHeldTask(task, reporter);
      }
    }
  }
  for (auto& [agent, starts] : lateStarts_) {
    RemoveExpired(starts, now);
  }
  std::erase_if(lateStarts_,
                [](const auto& aItem) { return aItem.second.empty(); });
}

}
