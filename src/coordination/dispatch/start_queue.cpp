#include "coordination/dispatch/start_queue.h"

#include <algorithm>

namespace greengage::coordination {

using state::ProcessId;
using state::ResourceAmount;
using state::RunKey;

namespace {

/** About what ends on a full server of ten runs of 200 ms in the queue time. */
constexpr std::size_t kMaxQueued = 8;

}

bool
StartQueue::Add(QueuedStart aStart)
{
  if (starts_.size() >= kMaxQueued) {
    return false;
  }
  starts_.push_back(std::move(aStart));
  return true;
}

std::optional<QueuedStart>
StartQueue::TakeFitting(const ResourceAmount& aRoom)
{
  auto first = starts_.end();
  for (auto start = starts_.begin(); start != starts_.end(); ++start) {
    bool before = first == starts_.end() || start->priority < first->priority;
    if (before && Fits(start->need, aRoom)) {
      first = start;
    }
  }
  if (first == starts_.end()) {
    return std::nullopt;
  }
  QueuedStart start = std::move(*first);
  starts_.erase(first);
  return start;
}

std::vector<QueuedStart>
StartQueue::TakeIf(const std::function<bool(const QueuedStart&)>& aMatches)
{
  std::vector<QueuedStart> taken;
  for (auto start = starts_.begin(); start != starts_.end();) {
    if (!aMatches(*start)) {
      ++start;
      continue;
    }
    taken.push_back(std::move(*start));
    start = starts_.erase(start);
  }
  return taken;
}

std::vector<QueuedStart>
StartQueue::TakeOlder(state::MonotonicTime aThan)
{
  return TakeIf(
    [&](const QueuedStart& aStart) { return aStart.orderedAt < aThan; });
}

std::vector<QueuedStart>
StartQueue::TakeAll()
{
  return TakeIf([](const QueuedStart&) { return true; });
}

std::vector<QueuedStart>
StartQueue::TakeTask(const state::TaskKey& aTask)
{
  return TakeIf(
    [&](const QueuedStart& aStart) { return aStart.run.task == aTask; });
}

std::vector<QueuedStart>
StartQueue::TakeEntry(const ProcessId& aEntry)
{
  return TakeIf(
    [&](const QueuedStart& aStart) { return aStart.entry == aEntry; });
}

bool
StartQueue::Remove(const RunKey& aRun)
{
  return !TakeIf([&](const QueuedStart& aStart) {
            return aStart.run == aRun;
          }).empty();
}

bool
StartQueue::Holds(const RunKey& aRun) const
{
  return std::any_of(starts_.begin(), starts_.end(), [&](const auto& aStart) {
    return aStart.run == aRun;
  });
}

ResourceAmount
StartQueue::NeedOfOthers(const ProcessId& aEntry) const
{
  ResourceAmount need;
  for (const QueuedStart& start : starts_) {
    if (start.entry != aEntry) {
      need = need + start.need;
    }
  }
  return need;
}

}
