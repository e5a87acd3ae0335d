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

/** Process that waits for an answer, and the number the answer carries. */
struct Requester
{
  state::ProcessId process;
  std::uint64_t submission = 0;

  auto operator<=>(const Requester&) const = default;
};

/** Attempts of one task of a job that has not ended. */
struct TaskProgress
{
  std::optional<std::string> result;
  std::uint32_t nextAttempt = 0;
  /** Times the task came back without having been started. */
  std::uint32_t moves = 0;
};

/** A job that the owner has accepted. */
struct OwnedJob
{
  JobHandle handle = 0;
  state::JobKey key;
  SpecFingerprint fingerprint;
  /** Empty once the job ended. */
  std::optional<state::JobSpec> spec;
  state::MonotonicTime deadline;
  /** One per task; empty once the job ended. */
  std::vector<TaskProgress> tasks;
  std::size_t missingResults = 0;
  /** Agent of each started task whose end is not known. */
  std::map<TaskRef, state::ProcessId> running;
  /** An agent that was asked to start a task of the job. */
  std::optional<state::ProcessId> lastAgent;
  /** Attempts that wait in the scheduler or for their back-off. */
  std::size_t queuedAttempts = 0;
  /** An agent has stated that a task was started. */
  bool certainlyStarted = false;
  /** An attempt is lost of which nobody can tell whether it was started. */
  bool maybeStarted = false;
  /** An earlier owner may have accepted a job under the same ID. */
  bool recovered = false;
  bool hedged = false;
  std::vector<Requester> requesters;
  std::optional<state::JobOutcome> outcome;

  /** What can be stated if the job ends now and nothing more starts. */
  state::RunState Run() const;
};

/** Jobs of one owner, with the indexes that keep every event cheap. */
class JobTable
{
public:
  OwnedJob* Find(const state::JobKey& aKey);
  OwnedJob* Find(JobHandle aHandle);
  /** Adds a job under a new handle; the reference stays valid until it goes. */
  OwnedJob& Add(const state::JobSpec& aSpec, state::MonotonicTime aDeadline);
  /** Adds a job that is known only by its end. */
  OwnedJob& AddEnded(const state::JobKey& aKey);

  void AddRunning(OwnedJob& aJob,
                  const TaskRef& aTask,
                  const state::ProcessId& aAgent);
  /** False if the task does not run on that agent. */
  bool RemoveRunning(OwnedJob& aJob,
                     const TaskRef& aTask,
                     const state::ProcessId& aAgent);
  std::vector<TaskRef> TasksOn(const state::ProcessId& aAgent) const;

  /** Jobs that have not ended and whose deadline has passed; each once. */
  std::vector<JobHandle> TakeOverdue(state::MonotonicTime aNow);

  /** Stores the outcome, frees what only a live job needs. */
  void End(OwnedJob& aJob, state::JobOutcome aOutcome);

  /** Handles of ended jobs created before aOldest. */
  std::vector<JobHandle> ExpiredBefore(state::WallTime aOldest) const;
  /** The oldest ended jobs beyond the bound whose tasks have all ended. */
  std::vector<JobHandle> BeyondBound(std::size_t aMaxBytes);
  void Remove(JobHandle aHandle);
  void Clear();

  std::size_t Size() const { return jobs_.size(); }
  /** Approximate memory of ended jobs. */
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
  /** Complete jobs: the agents keep their results, so they may go. */
  std::set<JobHandle> droppable_;
  std::size_t endedBytes_ = 0;
};

}
