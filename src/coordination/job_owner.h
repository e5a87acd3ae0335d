#pragma once

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "coordination/messages.h"
#include "coordination/task_scheduler.h"
#include "state/clock.h"

namespace greengage::coordination {

/** What a JobOwner may ask its surroundings to do. */
struct JobOwnerHooks
{
  std::function<void(const state::ProcessId& aAgent, StartTasks)> startTasks;
  std::function<void(const state::ProcessId& aAgent, CancelTasks)> cancelTasks;
  std::function<void(const state::ProcessId& aAgent, Fence)> fence;
  std::function<void(const state::ProcessId& aAgent, HistoryQuery)>
    queryHistory;
  std::function<void(const state::ProcessId& aRequester, JobAnswer)> answer;
};

/**
 * Owner of the jobs of one shard while its lease is valid. Every job is
 * accepted at most once per key; every requester gets the whole answer or a
 * failure. Used by the control thread only.
 */
class JobOwner
{
public:
  JobOwner(std::uint32_t aShard,
           TaskScheduler& aScheduler,
           const state::Clock& aClock,
           JobOwnerHooks aHooks);

  /**
   * The lease became valid: starts with empty memory. aAgents are the agents
   * that earlier owners may have used; aAgentsComplete is false if some of
   * them may be missing from the list. Fences all of them.
   */
  void Activate(const state::OwnershipToken& aToken,
                state::WallTime aActivatedAt,
                std::vector<AgentInUse> aAgents,
                bool aAgentsComplete);
  /** The same owner goes on under a newer token and keeps its memory. */
  void UpdateToken(const state::OwnershipToken& aToken);
  /** The lease was lost: forgets all jobs and answers nobody. */
  void Deactivate();
  bool Active() const { return active_; }

  /** The group has acknowledged the agent: tasks may be started on it. */
  void AddAgent(const ProcessInfo& aAgent);
  /** New description (slots, draining) of an agent; others are ignored. */
  void UpdateAgent(const ProcessInfo& aAgent);

  void OnSubmit(const state::ProcessId& aRequester, const SubmitJob& aSubmit);
  void OnQuery(const state::ProcessId& aRequester, const QueryJob& aQuery);
  void OnCancel(const state::ProcessId& aRequester, const CancelJob& aCancel);
  void OnTaskResults(const TaskResults& aResults);
  void OnAgentGone(const state::ProcessId& aAgent);

  /** Deadlines and expiry; call every 50 ms or so. */
  void Tick();

  /** Sends queued tasks to free slots; call after a batch of events. */
  void Dispatch();

  std::size_t JobCount() const { return jobs_.size(); }

private:
  struct Requester
  {
    state::ProcessId process;
    std::uint64_t submission = 0;
  };

  struct Job
  {
    JobHandle handle = 0;
    state::JobSpec spec;
    state::MonotonicTime deadline;
    std::vector<std::optional<std::string>> results;
    std::size_t missingResults = 0;
    /** Agent of each started task that has not ended. */
    std::map<TaskRef, state::ProcessId> running;
    std::vector<Requester> requesters;
    std::optional<state::JobOutcome> outcome;
  };

  void Answer(const Requester& aRequester,
              const state::JobKey& aKey,
              state::JobOutcome aOutcome);
  std::optional<state::JobOutcome> CheckTime(const state::JobKey& aKey) const;
  void Accept(const Requester& aRequester, const state::JobSpec& aSpec);
  void HandleRecord(const state::ProcessId& aAgent,
                    const state::TaskRecord& aRecord);
  void EndJob(Job& aJob, state::JobOutcome aOutcome);

  std::uint32_t shard_;
  TaskScheduler& scheduler_;
  const state::Clock& clock_;
  JobOwnerHooks hooks_;
  bool active_ = false;
  state::OwnershipToken token_;
  state::WallTime activatedAt_;
  bool agentsComplete_ = true;
  /** Agents of earlier owners and of this one. */
  std::map<state::ProcessId, AgentInUse> agents_;
  JobHandle lastHandle_ = 0;
  std::unordered_map<state::JobKey, Job> jobs_;
  std::unordered_map<JobHandle, state::JobKey> keys_;
  std::multimap<state::WallTime, state::JobKey> byCreation_;
  std::multimap<state::MonotonicTime, state::JobKey> byDeadline_;
};

}
