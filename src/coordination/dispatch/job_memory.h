#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "coordination/dispatch/dispatched_job.h"
#include "state/clock.h"
#include "state/dispatch/dispatch_job_id.h"

namespace greengage::coordination {

/**
 * Memory of the jobs that an entry has accepted. When it is used up, jobs of
 * which no task has started are rejected to make room for a new one: first
 * those that are larger than an ordinary job, and among them the one that has
 * waited for the longest. A job that was started is never ended for this. Used
 * by the control thread only.
 */
class JobMemory
{
public:
  /** Called with the bytes of all jobs when they have changed. */
  using ChangedHook = std::function<void(std::size_t aBytes)>;
  /** Returns true if the job may be rejected. */
  using IsWaiting = std::function<bool(state::DispatchJobId)>;

  /** @param aMaxBytes 0: not limited */
  JobMemory(std::size_t aMaxBytes, ChangedHook aChanged);

  void Add(const DispatchedJob& aJob);
  void Remove(state::DispatchJobId aJob);

  /**
   * Returns the jobs to reject so that the new one fits; empty optional if it
   * does not fit, whatever is rejected. Rejects somewhat more than necessary,
   * so that a flood does not cause a search with each job.
   */
  std::optional<std::vector<state::DispatchJobId>> MakeRoom(
    const DispatchedJob& aNewJob,
    const IsWaiting& aIsWaiting) const;

  std::size_t HeldBytes() const { return heldBytes_; }

private:
  struct Entry
  {
    std::size_t bytes = 0;
    state::MonotonicTime submittedAt;
  };

  void SetHeldBytes(std::size_t aBytes);

  const std::size_t maxBytes_;
  const ChangedHook changed_;
  std::map<state::DispatchJobId, Entry> jobs_;
  std::size_t heldBytes_ = 0;
};

/** Returns the approximate memory of a job, its tasks and its records. */
std::size_t
MemoryOf(const DispatchedJob& aJob);

}
