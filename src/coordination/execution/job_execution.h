#pragma once

#include <functional>
#include <map>
#include <vector>

#include "coordination/execution/job_table.h"
#include "coordination/execution/owner_counters.h"
#include "coordination/execution/resume_plan.h"
#include "coordination/execution/retry_budget.h"
#include "coordination/messages.h"
#include "coordination/ownership/attempt_timer.h"
#include "coordination/scheduling/task_scheduler.h"
#include "state/clock.h"

namespace greengage::coordination {

/** Callbacks of a JobExecution. */
struct JobExecutionHooks
{
  std::function<void(const state::ProcessId& aAgent, StartTasks)> startTasks;
  std::function<void(const state::ProcessId& aAgent, CancelTasks)> cancelTasks;
  /** Called after the job has ended and its outcome is stored. */
  std::function<void(OwnedJob&)> jobEnded;
};

/**
 * Runs the tasks of accepted jobs: starts, results, retries, deadlines. A task
 * gets another attempt only if no earlier attempt can have started, or if its
 * request is idempotent and the retry budget allows it. Used by the control
 * thread only.
 */
class JobExecution
{
public:
  JobExecution(std::uint32_t aShard,
               TaskScheduler& aScheduler,
               const state::Clock& aClock,
               JobTable& aTable,
               OwnerCounters& aCounters,
               JobExecutionHooks aHooks);

  void SetToken(const state::OwnershipToken& aToken) { token_ = aToken; }
  /** Removes all jobs without sending anything. */
  void Clear();

  /** Queues all tasks of a new job. */
  void Begin(OwnedJob& aJob);
  /** Continues a job of which an earlier owner may have started tasks. */
  void Resume(OwnedJob& aJob, const MergedHistory& aHistory, bool aComplete);
  /** Ends the job; no further task of it is started. */
  void End(OwnedJob& aJob, state::JobOutcome aOutcome);

  void OnRecord(const state::ProcessId& aAgent,
                const state::TaskRecord& aRecord);
  void OnAgentLost(const state::ProcessId& aAgent);
  /**
   * Handles the agent's records of aKeys, which were queried after the
   * connection to it was replaced.
   */
  void OnResynced(const state::ProcessId& aAgent,
                  const std::vector<state::JobKey>& aKeys,
                  const std::vector<state::TaskRecord>& aRecords);
  /** Removes an ended job and frees the slots that it still uses. */
  void Drop(JobHandle aJob);

  void Tick();
  void Dispatch();

private:
  using Batches = std::map<state::ProcessId, StartTasks>;

  void EndOverdueJobs();
  void EnqueueDelayed();
  void StartHedges();
  void Enqueue(OwnedJob& aJob, const TaskRef& aTask);
  void EnqueueNextAttempt(OwnedJob& aJob,
                          std::uint32_t aTask,
                          std::chrono::milliseconds aDelay);
  void AddStart(Batches& aBatches,
                OwnedJob& aJob,
                const TaskRef& aTask,
                const state::ProcessId& aAgent);
  void OnNotStarted(OwnedJob& aJob,
                    std::uint32_t aTask,
                    const state::TaskRecord& aRecord);
  void OnSucceeded(OwnedJob& aJob, const state::TaskRecord& aRecord);
  void OnFailed(OwnedJob& aJob, const state::TaskRecord& aRecord);
  /** Starts another attempt if one is allowed, else ends the job. */
  void RetryOrEnd(OwnedJob& aJob,
                  std::uint64_t& aCounter,
                  state::JobOutcome aOutcome);
  void EndIfComplete(OwnedJob& aJob);
  void CancelAtAgents(const OwnedJob& aJob);

  std::uint32_t shard_;
  TaskScheduler& scheduler_;
  const state::Clock& clock_;
  JobTable& table_;
  OwnerCounters& counters_;
  JobExecutionHooks hooks_;
  state::OwnershipToken token_;
  RetryBudget retryBudget_;
  AttemptTimer attemptTimer_;
};

}
