#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "state/clock.h"
#include "state/ownership_token.h"
#include "state/task_record.h"

namespace greengage::state {

/**
 * Record, beside one backend server, of every task that was started there in
 * the last kJobMemory, and of the highest fencing token per shard. It decides
 * whether a start is allowed.
 */
class StartLedger
{
public:
  /** aMaxResultBytes bounds the memory of kept results, oldest go first. */
  explicit StartLedger(std::size_t aMaxResultBytes);

  /** Raises the token of a shard; false if a newer one was accepted before. */
  bool AcceptToken(std::uint32_t aShard, const OwnershipToken& aToken);

  OwnershipToken HighestToken(std::uint32_t aShard) const;

  /**
   * Records a start. Returns eNone if the task may start now, eStaleToken,
   * eDuplicateStart, eJobIdExpired or eJobIdInFuture if it must not.
   */
  RefusalCode TryStart(std::uint32_t aShard,
                       const OwnershipToken& aToken,
                       const TaskRecord& aRecord,
                       WallTime aNow);

  /** Stores the end of a started task; false if the task is not recorded. */
  bool Finish(const TaskRecord& aRecord);

  /** Records of one job, in task order. */
  std::vector<TaskRecord> Records(const JobKey& aKey) const;

  /** Drops jobs older than kJobMemory plus kClockMargin. */
  void Expire(WallTime aNow);

  std::size_t JobCount() const { return jobs_.size(); }
  std::size_t ResultBytes() const { return resultBytes_; }

private:
  using TaskAttempt = std::pair<std::uint32_t, std::uint32_t>;
  using JobRecords = std::map<TaskAttempt, TaskRecord>;

  void DropOldResults();

  std::size_t maxResultBytes_;
  std::size_t resultBytes_ = 0;
  std::unordered_map<std::uint32_t, OwnershipToken> tokens_;
  std::unordered_map<JobKey, JobRecords> jobs_;
  /** Jobs in order of creation time, for expiry. */
  std::multimap<WallTime, JobKey> byCreation_;
  /** Finished tasks in order of completion, for the result bound. */
  std::deque<std::pair<JobKey, TaskAttempt>> finished_;
};

}
