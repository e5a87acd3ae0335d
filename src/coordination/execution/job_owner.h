#pragma once

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "coordination/execution/agent_table.h"
#include "coordination/execution/history_recovery.h"
#include "coordination/execution/job_execution.h"
#include "coordination/execution/job_table.h"
#include "coordination/execution/owner_counters.h"
#include "coordination/execution/refused_submissions.h"
#include "coordination/messages.h"
#include "coordination/scheduling/task_scheduler.h"
#include "state/clock.h"

namespace greengage::coordination {

/** Callbacks of a JobOwner. */
struct JobOwnerHooks
{
  std::function<void(const state::ProcessId& aAgent, StartTasks)> startTasks;
  std::function<void(const state::ProcessId& aAgent, CancelTasks)> cancelTasks;
  std::function<void(const state::ProcessId& aAgent, Fence)> fence;
  std::function<void(const state::ProcessId& aAgent, HistoryQuery)>
    queryHistory;
  std::function<void(const state::ProcessId& aRequester, JobAnswer)> answer;
};

/** Options of a JobOwner. */
struct JobOwnerOptions
{
  /**
   * Limit for the memory of ended jobs, in bytes. Complete jobs above it are
   * dropped and recovered by history queries. 256 MB hold the 10 minutes of
   * kJobRetention at 600 single requests a second.
   */
  std::size_t maxEndedBytes = 256 * 1024 * 1024;
  /** Query agents for jobs of earlier owners; off only in fault tests. */
  bool queryHistory = true;

  auto operator<=>(const JobOwnerOptions&) const = default;
};

/**
 * Owns the jobs of one shard while its lease is valid. Accepts at most one job
 * per key; every requester receives the complete answer or a failure. Used by
 * the control thread only.
 */
class JobOwner
{
public:
  JobOwner(std::uint32_t aShard,
           TaskScheduler& aScheduler,
           const state::Clock& aClock,
           JobOwnerHooks aHooks,
           const JobOwnerOptions& aOptions = {});

  /**
   * Starts without jobs after the lease became valid, and fences aAgents.
   * aAgents are the agents that earlier owners may have used; aAgentsComplete
   * is false if some of them may be missing from the list.
   */
  void Activate(const state::OwnershipToken& aToken,
                state::WallTime aActivatedAt,
                std::vector<AgentInUse> aAgents,
                bool aAgentsComplete);
  /** Continues under a newer token and keeps all jobs. */
  void UpdateToken(const state::OwnershipToken& aToken);
  /** Removes all jobs after the lease was lost, without sending answers. */
  void Deactivate();
  bool Active() const { return active_; }

  /** Allows starts on an agent that the group has acknowledged. */
  void AddAgent(const ProcessInfo& aAgent);
  /** Updates slots and draining of a usable agent; ignores other agents. */
  void UpdateAgent(const ProcessInfo& aAgent);
  /** Handles the loss of an agent. Outcomes of tasks on it are unknown. */
  void OnAgentLost(const state::ProcessId& aAgent);
  /**
   * Queries the agent's records after its connection was replaced, because
   * messages may have been lost.
   */
  void ResyncAgent(const state::ProcessId& aAgent);

  void OnSubmit(const state::ProcessId& aRequester, const SubmitJob& aSubmit);
  void OnQuery(const state::ProcessId& aRequester, const QueryJob& aQuery);
  void OnCancel(const state::ProcessId& aRequester, const CancelJob& aCancel);
  void OnTaskResults(const TaskResults& aResults);
  void OnFenceReply(const FenceReply& aReply);
  void OnHistoryReply(const HistoryReply& aReply);

  /** Handles deadlines, timeouts and expiry; call every 50 ms. */
  void Tick();

  /** Starts queued tasks on free slots; call after a batch of events. */
  void Dispatch();

  std::size_t JobCount() const { return table_.Size(); }
  /** Approximate memory of ended jobs, in bytes. */
  std::size_t EndedBytes() const { return table_.EndedBytes(); }
  const OwnerCounters& Counters() const { return counters_; }

private:
  /** Requests for a job whose history is being collected. */
  struct RecoveringRequests
  {
    std::map<Requester, state::JobSpec> submits;
    std::vector<Requester> queries;
    std::vector<Requester> cancels;
  };

  void Answer(const Requester& aRequester,
              const state::JobKey& aKey,
              state::JobOutcome aOutcome);
  /** Answers a submission that is not accepted. */
  void RefuseSubmit(const Requester& aRequester,
                    const state::JobKey& aKey,
                    state::JobOutcome aOutcome);
  /** Returns a refusal if the job ID is too old or in the future. */
  std::optional<state::JobOutcome> CheckCreationTime(
    const state::JobKey& aKey) const;
  bool NeedsHistory(const state::JobKey& aKey) const;
  void Attach(OwnedJob& aJob,
              const Requester& aRequester,
              const state::JobSpec& aSpec);
  /** Returns the new job, or null after a refusal has been sent. */
  OwnedJob* Accept(const Requester& aRequester,
                   const state::JobSpec& aSpec,
                   bool aCheckAdmission);
  void AnswerQuery(const Requester& aRequester, const OwnedJob& aJob);
  void CancelOwnedJob(const Requester& aRequester, OwnedJob& aJob);
  void OnHistory(const state::JobKey& aKey, const JobHistory& aHistory);
  void SubmitRecovered(const Requester& aRequester,
                       const state::JobSpec& aSpec,
                       const JobHistory& aHistory);
  void QueryRecovered(const Requester& aRequester,
                      const state::JobKey& aKey,
                      const JobHistory& aHistory);
  void CancelRecovered(const Requester& aRequester,
                       const state::JobKey& aKey,
                       const JobHistory& aHistory);
  void OnJobEnded(OwnedJob& aJob);
  void DropOldJobs();

  std::uint32_t shard_;
  TaskScheduler& scheduler_;
  const state::Clock& clock_;
  JobOwnerHooks hooks_;
  JobOwnerOptions options_;
  bool active_ = false;
  state::OwnershipToken token_;
  OwnerCounters counters_;
  RefusedSubmissions refusedSubmissions_;
  AgentTable agents_;
  JobTable table_;
  JobExecution execution_;
  HistoryRecovery recovery_;
  std::unordered_map<state::JobKey, RecoveringRequests> recoveringRequests_;
};

}
