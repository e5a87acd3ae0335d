#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "coordination/dispatch/dispatch_messages.h"
#include "state/clock.h"
#include "state/dispatch/dispatch_job_id.h"

namespace greengage::coordination {

/** Cancelled jobs in the order in which a process has recorded them. */
struct CancelledJobsPage
{
  std::vector<CancelledJob> jobs;
  /** All records up to this number are in this page or in earlier ones. */
  std::uint64_t last = 0;
  bool hasMore = false;

  auto operator<=>(const CancelledJobsPage&) const = default;
};

/**
 * Jobs that their callers have cancelled, at this or another entry. A request
 * of such a job that arrives later, at any entry, must not run it again. This
 * is the only table of them in a process; its records have rising numbers, by
 * which they are sent to other entries. Used by the control thread only.
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
  /**
   * Records that a caller cancelled the job here, so that this entry has to
   * inform the others. Returns the number of the record.
   */
  std::uint64_t AddOwn(state::DispatchJobId aJob);
  bool Contains(state::DispatchJobId aJob) const;
  /**
   * Returns true if a further record would remove one that is still needed, as
   * in a flood of cancellations. Those of jobs that no entry may have should be
   * refused then.
   */
  bool IsFull() const;
  std::size_t Count() const { return records_.size(); }
  /** Number of the newest record; 0: none. */
  std::uint64_t Newest() const { return newest_; }

  /** Returns the next records after a number, at most aMaxJobs. */
  CancelledJobsPage After(std::uint64_t aNumber, std::size_t aMaxJobs) const;
  /** As After(), but only the jobs that were cancelled here. */
  CancelledJobsPage OwnAfter(std::uint64_t aNumber, std::size_t aMaxJobs) const;

private:
  struct Record
  {
    state::MonotonicTime cancelledAt;
    std::uint64_t number = 0;
    bool isOwn = false;
  };

  /** Appends a number for the job; removes what exceeds the limits before. */
  std::uint64_t Append(const state::DispatchJobId& aJob);
  void RemoveOldest();
  CancelledJobsPage Collect(std::uint64_t aNumber,
                            std::size_t aMaxJobs,
                            bool aOwnOnly) const;

  const state::Clock& clock_;
  std::map<state::DispatchJobId, Record> records_;
  /**
   * The jobs by number; the last one has the number newest_. A job that was
   * numbered again appears twice, and counts with the number of its record.
   */
  std::deque<state::DispatchJobId> order_;
  std::uint64_t newest_ = 0;
};

}
