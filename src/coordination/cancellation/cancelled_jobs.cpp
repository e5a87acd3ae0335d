#include "coordination/cancellation/cancelled_jobs.h"

#include <algorithm>

namespace greengage::coordination {

using std::chrono::milliseconds;

namespace {

/** The users' pages ask for the state of a job for 120 s. */
constexpr milliseconds kRetention{ 120'000 };
/** Bounds the memory: about 8 MB, of 120 MB of the smallest entry. */
constexpr std::size_t kMaxJobs = 65'536;
/**
 * Age below which a record is still needed: late requests of a cancelled job
 * arrive within seconds.
 */
constexpr milliseconds kNeededTime{ 30'000 };

}

bool
CancelledJobs::Add(state::DispatchJobId aJob, milliseconds aAge)
{
  if (Contains(aJob) || aAge >= kRetention) {
    return false;
  }
  std::uint64_t number = Append(aJob);
  records_[aJob] = { clock_.MonotonicNow() - aAge, number, false };
  return true;
}

std::uint64_t
CancelledJobs::AddOwn(state::DispatchJobId aJob)
{
  auto known = records_.find(aJob);
  if (known != records_.end() && known->second.isOwn && Contains(aJob)) {
    return known->second.number;
  }
  std::uint64_t number = Append(aJob);
  records_[aJob] = { clock_.MonotonicNow(), number, true };
  return number;
}

bool
CancelledJobs::Contains(state::DispatchJobId aJob) const
{
  auto record = records_.find(aJob);
  return record != records_.end() &&
         clock_.MonotonicNow() - record->second.cancelledAt < kRetention;
}

bool
CancelledJobs::IsFull() const
{
  return order_.size() >= kMaxJobs &&
         clock_.MonotonicNow() - records_.at(order_.front()).cancelledAt <
           kNeededTime;
}

CancelledJobsPage
CancelledJobs::After(std::uint64_t aNumber, std::size_t aMaxJobs) const
{
  return Collect(aNumber, aMaxJobs, false);
}

CancelledJobsPage
CancelledJobs::OwnAfter(std::uint64_t aNumber, std::size_t aMaxJobs) const
{
  return Collect(aNumber, aMaxJobs, true);
}

CancelledJobsPage
CancelledJobs::Collect(std::uint64_t aNumber,
                       std::size_t aMaxJobs,
                       bool aOwnOnly) const
{
  CancelledJobsPage page;
  auto now = clock_.MonotonicNow();
  std::uint64_t oldest = newest_ + 1 - order_.size();
  for (std::uint64_t number = std::max(aNumber + 1, oldest); number <= newest_;
       ++number) {
    const state::DispatchJobId& job = order_[number - oldest];
    const Record& record = records_.at(job);
    auto age =
      std::chrono::duration_cast<milliseconds>(now - record.cancelledAt);
    if (record.number != number || age >= kRetention ||
        (aOwnOnly && !record.isOwn)) {
      continue;
    }
    if (page.jobs.size() == aMaxJobs) {
      page.last = number - 1;
      page.hasMore = true;
      return page;
    }
    page.jobs.push_back({ job, static_cast<std::uint32_t>(age.count()) });
  }
  page.last = newest_;
  return page;
}

std::uint64_t
CancelledJobs::Append(const state::DispatchJobId& aJob)
{
  auto now = clock_.MonotonicNow();
  while (!order_.empty() &&
         (order_.size() >= kMaxJobs ||
          now - records_.at(order_.front()).cancelledAt >= kRetention)) {
    RemoveOldest();
  }
  order_.push_back(aJob);
  return ++newest_;
}

void
CancelledJobs::RemoveOldest()
{
  std::uint64_t oldest = newest_ + 1 - order_.size();
  auto record = records_.find(order_.front());
  if (record->second.number == oldest) {
    records_.erase(record);
  }
  order_.pop_front();
}

}
