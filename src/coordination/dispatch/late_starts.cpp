#include "coordination/dispatch/late_starts.h"

#include <algorithm>

namespace greengage::coordination {

using state::MonotonicTime;
using state::TaskKey;
using std::chrono::milliseconds;

namespace {

/**
 * Time after which older holds of a process do not arrive any more: entries
 * pass news on for 30 s.
 */
constexpr milliseconds kReportRetention{ 60'000 };

}

bool
RefusesLateStarts(const ServerFence& aFence)
{
  return aFence.isReachable && !aFence.hasLeft && aFence.areAllRunsKnown;
}

void
RemoveExpired(LateStarts& aStarts, MonotonicTime aNow)
{
  std::erase_if(aStarts,
                [aNow](const auto& aStart) { return aStart.second <= aNow; });
}

HeldTasks
TasksToHold(const LateStarts& aStarts, const ServerFence& aFence)
{
  HeldTasks tasks;
  if (RefusesLateStarts(aFence)) {
    return tasks;
  }
  for (const auto& [run, until] : aStarts) {
    auto& held = tasks[run.task];
    held = std::max(held, until);
  }
  while (tasks.size() > kMaxHeldTasks) {
    tasks.erase(std::min_element(
      tasks.begin(), tasks.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      }));
  }
  return tasks;
}

TaskHolds
MakeTaskHolds(std::uint64_t aNumber,
              const HeldTasks& aTasks,
              MonotonicTime aNow)
{
  TaskHolds holds;
  holds.number = aNumber;
  for (const auto& [task, until] : aTasks) {
    if (until > aNow) {
      auto left = std::chrono::ceil<milliseconds>(until - aNow).count();
      holds.tasks.push_back({ task, static_cast<std::uint32_t>(left) });
    }
  }
  return holds;
}

bool
ApplyHolds(HoldTable& aTable, const ReportedHolds& aHolds, MonotonicTime aNow)
{
  KnownHolds& known = aTable[aHolds.reporter];
  if (aHolds.holds.number <= known.number) {
    return false;
  }
  known.number = aHolds.holds.number;
  known.receivedAt = aNow;
  known.tasks.clear();
  for (const HeldTask& held : aHolds.holds.tasks) {
    auto left = std::min(milliseconds(held.leftMs), kLongestStartDelay);
    known.tasks[held.task] = aNow + left;
  }
  return true;
}

void
RemoveExpired(HoldTable& aTable, MonotonicTime aNow)
{
  std::erase_if(aTable, [aNow](const auto& aItem) {
    return aNow - aItem.second.receivedAt > kReportRetention;
  });
}

bool
IsHeld(const HoldTable& aTable, const TaskKey& aTask, MonotonicTime aNow)
{
  return std::any_of(aTable.begin(), aTable.end(), [&](const auto& aItem) {
    auto held = aItem.second.tasks.find(aTask);
    return held != aItem.second.tasks.end() && aNow < held->second;
  });
}

}
