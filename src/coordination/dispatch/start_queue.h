#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coordination/dispatch/dispatch_messages.h"
#include "state/clock.h"
#include "state/process_id.h"

namespace greengage::coordination {

/** A run that was ordered and has not been started for want of room. */
struct QueuedStart
{
  state::ProcessId entry;
  state::RunKey run;
  state::ResourceAmount need;
  std::uint32_t limitMs = 0;
  /** 0 is the most urgent. */
  std::uint32_t priority = 0;
  std::string payload;
  state::MonotonicTime orderedAt;

  auto operator<=>(const QueuedStart&) const = default;
};

/**
 * Orders that came while a server was full. Entries know its room as it was a
 * moment ago; where a run ends within that moment, waiting here is sooner than
 * a refusal and another try elsewhere. Used by the control thread only.
 */
class StartQueue
{
public:
  /** False if the queue is full. */
  bool Add(QueuedStart aStart);
  /** The most urgent one that fits, of these the oldest; removes it. */
  std::optional<QueuedStart> TakeFitting(const state::ResourceAmount& aRoom);
  /** Removes those ordered before the given time. */
  std::vector<QueuedStart> TakeOlder(state::MonotonicTime aThan);
  std::vector<QueuedStart> TakeAll();
  /** Removes all runs of a task. */
  std::vector<QueuedStart> TakeTask(const state::TaskKey& aTask);
  std::vector<QueuedStart> TakeEntry(const state::ProcessId& aEntry);
  /** False if it was not here. */
  bool Remove(const state::RunKey& aRun);
  bool Holds(const state::RunKey& aRun) const;

  /** What is waited for, except by the given entry. */
  state::ResourceAmount NeedOfOthers(const state::ProcessId& aEntry) const;
  bool IsEmpty() const { return starts_.empty(); }

private:
  std::vector<QueuedStart> TakeIf(
    const std::function<bool(const QueuedStart&)>& aMatches);

  std::deque<QueuedStart> starts_;
};

}
