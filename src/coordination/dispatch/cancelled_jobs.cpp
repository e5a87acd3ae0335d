#include "coordination/dispatch/cancelled_jobs.h"

namespace greengage::coordination {

using std::chrono::milliseconds;

namespace {

/** The users' pages ask for the state of a job for 120 s. */
constexpr milliseconds kRetention{ 120'000 };
/** Bounds the memory: about 6 MB. */
constexpr std::size_t kMaxJobs = 65'536;

}

bool
CancelledJobs::Add(state::DispatchJobId aJob, milliseconds aAge)
{
  auto now = clock_.MonotonicNow();
  while (!order_.empty() &&
         (order_.size() >= kMaxJobs ||
          now - cancelledAt_.at(order_.front()) >= kRetention)) {
    cancelledAt_.erase(order_.front());
    order_.pop_front();
  }
  if (!cancelledAt_.try_emplace(aJob, now - aAge).second) {
    return false;
  }
  order_.push_back(aJob);
  return true;
}

bool
CancelledJobs::Contains(state::DispatchJobId aJob) const
{
  auto cancelled = cancelledAt_.find(aJob);
  return cancelled != cancelledAt_.end() &&
         clock_.MonotonicNow() - cancelled->second < kRetention;
}

}
