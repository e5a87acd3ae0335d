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

/** How a ledger behaves; the checks are switched off only by fault tests. */
struct StartLedgerOptions
{
  /** Bounds the memory of kept results; the oldest go first. */
  std::size_t maxResultBytes = 8 * 1024 * 1024;
  /** Refuse tokens older than the highest one seen. */
  bool checkTokens = true;
  /** Refuse a second start of the same attempt, and cancelled jobs. */
  bool checkStarts = true;

  auto operator<=>(const StartLedgerOptions&) const = default;
};

/**
 * Record, beside one backend server, of every task that was started there in
 * the last kJobMemory, and of the highest fencing token per shard. It decides
 * whether a start is allowed.
 */
class StartLedger
{
public:
  explicit StartLedger(const StartLedgerOptions& aOptions);

  /** Raises the token of a shard; false if a newer one was accepted before. */
  bool AcceptToken(std::uint32_t aShard, const OwnershipToken& aToken);

  OwnershipToken HighestToken(std::uint32_t aShard) const;

  /**
   * Records a start. Returns eNone if the task may start now, eStaleToken,
   * eDuplicateStart, eCancelled, eJobIdExpired or eJobIdInFuture if it must
   * not.
   */
  RefusalCode TryStart(std::uint32_t aShard,
                       const OwnershipToken& aToken,
                       const TaskRecord& aRecord,
                       WallTime aNow);

  /**
   * Remembers an attempt as refused, so that a copy of the start message that
   * arrives later cannot start it. The owner moves on to the next attempt.
   */
  void Refuse(const TaskRecord& aRecord, WallTime aNow);

  /** No task of the job starts from now on; running ones are not touched. */
  void Cancel(const JobKey& aKey, WallTime aNow);

  /**
   * Stores the end of a started task; false if the task is not recorded. The
   * state eNotStarted means that the start certainly did not happen.
   */
  bool Finish(const TaskRecord& aRecord);

  /** Record of one attempt, or null. */
  const TaskRecord* Find(const TaskRecord& aTask) const;

  /**
   * Records of one job, in task order. A cancelled job has one more, with
   * eNotStarted and eCancelled.
   */
  std::vector<TaskRecord> Records(const JobKey& aKey) const;

  /** Drops jobs older than kJobMemory plus kClockMargin. */
  void Expire(WallTime aNow);

  std::size_t JobCount() const { return jobs_.size(); }
  std::size_t ResultBytes() const { return resultBytes_; }

private:
  using TaskAttempt = std::pair<std::uint32_t, std::uint32_t>;

  struct JobRecords
  {
    std::map<TaskAttempt, TaskRecord> tasks;
    bool cancelled = false;
  };

  /** Null if the job's ID is expired or too far in the future. */
  JobRecords* Open(const JobKey& aKey, WallTime aNow);
  void DropOldResults();

  StartLedgerOptions options_;
  std::size_t resultBytes_ = 0;
  std::unordered_map<std::uint32_t, OwnershipToken> tokens_;
  std::unordered_map<JobKey, JobRecords> jobs_;
  /** Jobs in order of creation time, for expiry. */
  std::multimap<WallTime, JobKey> byCreation_;
  /** Finished tasks in order of completion, for the result bound. */
  std::deque<std::pair<JobKey, TaskAttempt>> finished_;
};

}
