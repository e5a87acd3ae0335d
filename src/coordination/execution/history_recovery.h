#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "coordination/execution/agent_table.h"
#include "coordination/messages.h"
#include "state/clock.h"

namespace greengage::coordination {

/** A start record and the agent that keeps it. */
struct AgentRecord
{
  state::ProcessId agent;
  state::TaskRecord record;

  bool operator==(const AgentRecord&) const = default;
};

/** What the agents know of one job. */
struct JobHistory
{
  std::vector<AgentRecord> records;
  /** False if an agent that may hold a record has not answered. */
  bool complete = true;

  bool operator==(const JobHistory&) const = default;
};

/** What HistoryRecovery may ask its surroundings to do. */
struct HistoryRecoveryHooks
{
  std::function<void(const state::ProcessId& aAgent, Fence)> fence;
  std::function<void(const state::ProcessId& aAgent, HistoryQuery)> query;
  /** Called once per Ask(), possibly before it returns. */
  std::function<void(const state::JobKey&, JobHistory)> resolved;
  /** The agent's present records of the jobs named in Resync(). */
  std::function<void(const state::ProcessId& aAgent,
                     const std::vector<state::JobKey>&,
                     const std::vector<state::TaskRecord>&)>
    resynced;
};

/**
 * Asks the agents in use for the start records of jobs that an earlier owner
 * may have accepted. Queries are batched per agent: a batch leaves at once
 * when no query to that agent is open, else with the next Tick(). Used by the
 * control thread only.
 */
class HistoryRecovery
{
public:
  HistoryRecovery(std::uint32_t aShard,
                  const state::Clock& aClock,
                  AgentTable& aAgents,
                  HistoryRecoveryHooks aHooks);

  /** Forgets everything and fences all agents of the table. */
  void Start(const state::OwnershipToken& aToken,
             state::WallTime aActivatedAt,
             bool aAgentsComplete);
  void Stop();
  void UpdateToken(const state::OwnershipToken& aToken) { token_ = aToken; }

  /** An agent is in use, perhaps again: fences it if that is still due. */
  void OnAgentAdded(const state::ProcessId& aAgent);
  /** This owner dropped jobs created up to then; the agents know them. */
  void OnJobDropped(state::WallTime aCreated);

  /** True if an owner may have accepted the job and forgotten it. */
  bool Needed(const state::JobKey& aKey) const;
  void Ask(const state::JobKey& aKey);
  /** Reads the agent's records again after its connection was replaced. */
  void Resync(const state::ProcessId& aAgent, std::vector<state::JobKey> aKeys);

  void OnFenceReply(const FenceReply& aReply);
  /** False if nobody waited for the reply or it is void. */
  bool OnHistoryReply(const HistoryReply& aReply);
  /** A result that arrives while its job's history is collected. */
  void OnResult(const state::ProcessId& aAgent,
                const state::TaskRecord& aRecord);

  /** Sends batches, repeats lost queries, ends overdue ones. */
  void Tick();

private:
  using RecordName = std::tuple<state::ProcessId, std::uint32_t, std::uint32_t>;

  struct Pending
  {
    state::MonotonicTime askedAt;
    std::set<state::ProcessId> awaited;
    std::map<RecordName, state::TaskRecord> records;
    std::vector<state::TaskRecord> markers;
    bool complete = true;
  };

  struct Query
  {
    state::ProcessId agent;
    state::OwnershipToken token;
    std::vector<state::JobKey> keys;
    state::MonotonicTime sentAt;
    bool resync = false;
    bool repeated = false;
  };

  void Flush(const state::ProcessId& aAgent);
  void SendQuery(const state::ProcessId& aAgent,
                 std::vector<state::JobKey> aKeys,
                 bool aResync);
  void Merge(Pending& aPending,
             const state::ProcessId& aAgent,
             const state::TaskRecord& aRecord);
  void Resolve(const state::JobKey& aKey);
  void RepeatFences();
  void RepeatQueries();
  void EndOverdue();
  void DropOldAgents();

  std::uint32_t shard_;
  const state::Clock& clock_;
  AgentTable& agents_;
  HistoryRecoveryHooks hooks_;
  state::OwnershipToken token_;
  state::WallTime earlierOwnerUntil_;
  state::WallTime droppedUntil_;
  state::MonotonicTime startedAt_;
  state::MonotonicTime fencedAt_;
  bool agentsComplete_ = true;
  std::set<state::ProcessId> unfenced_;
  std::uint64_t lastQuery_ = 0;
  std::map<std::uint64_t, Query> queries_;
  std::map<state::ProcessId, std::size_t> openQueries_;
  std::map<state::ProcessId, std::vector<state::JobKey>> batches_;
  std::unordered_map<state::JobKey, Pending> pending_;
  /** In the order of Ask(), for the time limit; may name resolved jobs. */
  std::deque<std::pair<state::MonotonicTime, state::JobKey>> askedOrder_;
};

}
