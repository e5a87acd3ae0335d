#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>

#include "state/clock.h"
#include "state/dispatch/dispatch_job_id.h"

namespace greengage::coordination {

/**
 * Jobs that their callers have cancelled. A request of such a job that arrives
 * later, at any entry, must not run it again. Used by the control thread only.
 */
class CancelledJobs
{
public:
  explicit CancelledJobs(const state::Clock& aClock)
    : clock_(aClock)
  {
  }

  /**
   * Records a job. Returns false if it is known already.
   * @param aAge time since it was cancelled
   */
  bool Add(state::DispatchJobId aJob, std::chrono::milliseconds aAge);
  bool Contains(state::DispatchJobId aJob) const;
  std::size_t Count() const { return cancelledAt_.size(); }

private:
  const state::Clock& clock_;
  std::map<state::DispatchJobId, state::MonotonicTime> cancelledAt_;
  /** The jobs of cancelledAt_ in the order in which they were recorded. */
  std::deque<state::DispatchJobId> order_;
};

}
