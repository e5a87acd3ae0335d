#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "coordination/execution/spec_fingerprint.h"
#include "coordination/scheduling/task_scheduler.h"
#include "state/job_outcome.h"

namespace greengage::coordination {

/** Process that waits for an answer, and the number of its request. */
struct Requester
{
  state::ProcessId process;
  std::uint64_t submission = 0;

  auto operator<=>(const Requester&) const = default;
};

/** Progress of one task of a job that has not ended. */
struct TaskProgress
{
  std::optional<std::string> result;
  std::uint32_t nextAttempt = 0;
  /** How often an agent returned the task without starting it. */
  std::uint32_t moves = 0;
};

/** A job that the owner has accepted. */
struct OwnedJob
{
  JobHandle handle = 0;
  state::JobKey key;
  SpecFingerprint fingerprint;
  /** Empty after the job has ended. */
  std::optional<state::JobSpec> spec;
  state::MonotonicTime deadline;
  /** One element per task; empty after the job has ended. */
  std::vector<TaskProgress> tasks;
  std::size_t missingResults = 0;
  /** Agent of each started attempt whose end has not been reported. */
  std::map<TaskRef, state::ProcessId> running;
  /** Agent to which a start of the job was last sent. */
  std::optional<state::ProcessId> lastAgent;
  /** Attempts queued in the scheduler or waiting for their backoff. */
  std::size_t queuedAttempts = 0;
  /** True if an agent has reported that a task was started. */
  bool certainlyStarted = false;
  /** True if an attempt was lost and may or may not have been started. */
  bool maybeStarted = false;
  /** True if an earlier owner may have accepted a job with the same ID. */
  bool recovered = false;
  bool hedged = false;
  std::vector<Requester> requesters;
  std::optional<state::JobOutcome> outcome;

  /** Returns the run state to report if the job ended now. */
  state::RunState CurrentRunState() const;
};

/**
 * Jobs of one owner, indexed by handle, agent, creation time and deadline, so
 * that frequent events do not scan all jobs.
 */
class JobTable
{
public:
  OwnedJob* Find(const state::JobKey& aKey);
  OwnedJob* Find(JobHandle aHandle);
  /**
   * Adds a job under a new handle. The reference stays valid until the job is
   * removed.
   */
  OwnedJob& Add(const state::JobSpec& aSpec, state::MonotonicTime aDeadline);
  /** Adds a job without its spec; the caller must end it. */
  OwnedJob& AddEnded(const state::JobKey& aKey);

  void AddRunning(OwnedJob& aJob,
                  const TaskRef& aTask,
                  const state::ProcessId& aAgent);
  /** Returns false if the attempt is not running on that agent. */
  bool RemoveRunning(OwnedJob& aJob,
                     const TaskRef& aTask,
                     const state::ProcessId& aAgent);
  std::vector<TaskRef> TasksOn(const state::ProcessId& aAgent) const;

  /**
   * Returns the jobs that have not ended and whose deadline has passed. Every
   * job is returned only once.
   */
  std::vector<JobHandle> PopOverdue(state::MonotonicTime aNow);

  /** Stores the outcome and frees data that an ended job does not need. */
  void End(OwnedJob& aJob, state::JobOutcome aOutcome);

  /** Returns the ended jobs that were created before aOldest. */
  std::vector<JobHandle> ExpiredBefore(state::WallTime aOldest) const;
  /**
   * Returns the oldest complete jobs without running attempts whose removal
   * brings the memory of ended jobs down to aMaxBytes.
   */
  std::vector<JobHandle> CompleteJobsOverLimit(std::size_t aMaxBytes);
  void Remove(JobHandle aHandle);
  void Clear();

  std::size_t Size() const { return jobs_.size(); }
  /** Approximate memory of ended jobs, in bytes. */
  std::size_t EndedBytes() const { return endedBytes_; }
  /** Handles of jobs that have not ended. */
  std::vector<JobHandle> LiveJobs() const;

private:
  OwnedJob& Insert(const state::JobKey& aKey);

  JobHandle lastHandle_ = 0;
  std::unordered_map<state::JobKey, OwnedJob> jobs_;
  std::unordered_map<JobHandle, OwnedJob*> byHandle_;
  std::unordered_map<state::ProcessId, std::set<TaskRef>> byAgent_;
  std::set<std::pair<state::WallTime, JobHandle>> byCreation_;
  std::set<std::pair<state::MonotonicTime, JobHandle>> byDeadline_;
  /** Complete jobs. They may be dropped because the agents store results. */
  std::set<JobHandle> completeJobs_;
  std::size_t endedBytes_ = 0;
};

}
