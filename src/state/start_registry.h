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

/** Options of a StartRegistry. Only fault tests disable the checks. */
struct StartRegistryOptions
{
  /** Memory limit of the stored results; the oldest are dropped first. */
  std::size_t maxResultBytes = 8 * 1024 * 1024;
  /** Whether tokens older than the highest accepted one are rejected. */
  bool checkTokens = true;
  /** Whether repeated starts of an attempt and cancelled jobs are refused. */
  bool checkStarts = true;

  auto operator<=>(const StartRegistryOptions&) const = default;
};

/**
 * Records every task that an agent started at its backend server within the
 * last kJobRetention, and the highest fencing token of each shard. Decides
 * whether a task may be started.
 */
class StartRegistry
{
public:
  explicit StartRegistry(const StartRegistryOptions& aOptions);

  /**
   * Raises the highest token of a shard to aToken. Returns false if a newer
   * token was accepted before.
   */
  bool AcceptToken(std::uint32_t aShard, const OwnershipToken& aToken);

  OwnershipToken HighestToken(std::uint32_t aShard) const;

  /**
   * Records a start. Returns eNone if the task may be started now, otherwise
   * eStaleToken, eDuplicateStart, eCancelled, eJobIdExpired or eJobIdInFuture.
   */
  RefusalCode TryStart(std::uint32_t aShard,
                       const OwnershipToken& aToken,
                       const TaskRecord& aRecord,
                       WallTime aNow);

  /**
   * Records an attempt as refused, so that a delayed copy of its start message
   * cannot start it. The owner continues with the next attempt.
   */
  void RecordRefusal(const TaskRecord& aRecord, WallTime aNow);

  /** Prevents further starts of the job's tasks; running tasks continue. */
  void Cancel(const JobKey& aKey, WallTime aNow);

  /**
   * Stores the outcome of a task. Returns false if the task is not recorded as
   * running. The state eNotStarted means that the start certainly did not
   * happen.
   */
  bool Finish(const TaskRecord& aRecord);

  /**
   * Returns the record of one attempt, or null. Only the key, the task and the
   * attempt of aTask are used.
   */
  const TaskRecord* Find(const TaskRecord& aTask) const;

  /**
   * Returns the records of one job, in task order. A cancelled job has an
   * additional record with eNotStarted and eCancelled.
   */
  std::vector<TaskRecord> Records(const JobKey& aKey) const;

  /** Drops jobs created more than kJobRetention plus kClockMargin ago. */
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

  /**
   * Returns the records of a job, which are created if needed; null if the ID
   * is expired or too far in the future.
   */
  JobRecords* FindOrAddJob(const JobKey& aKey, WallTime aNow);
  /** Drops the oldest results while they exceed maxResultBytes. */
  void DropOldResults();

  StartRegistryOptions options_;
  std::size_t resultBytes_ = 0;
  std::unordered_map<std::uint32_t, OwnershipToken> highestTokens_;
  std::unordered_map<JobKey, JobRecords> jobs_;
  /** Jobs in order of creation time, for expiry. */
  std::multimap<WallTime, JobKey> jobsByCreationTime_;
  /** Finished tasks in order of completion, for the memory limit. */
  std::deque<std::pair<JobKey, TaskAttempt>> finishedTasks_;
};

}
