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

/** A start record and the agent that stores it. */
struct AgentRecord
{
  state::ProcessId agent;
  state::TaskRecord record;

  bool operator==(const AgentRecord&) const = default;
};

/** Records of one job, collected from the agents. */
struct JobHistory
{
  std::vector<AgentRecord> records;
  /** False if an agent that may hold a record has not replied. */
  bool complete = true;

  bool operator==(const JobHistory&) const = default;
};

/** Callbacks of a HistoryRecovery. */
struct HistoryRecoveryHooks
{
  std::function<void(const state::ProcessId& aAgent, Fence)> fence;
  std::function<void(const state::ProcessId& aAgent, HistoryQuery)> query;
  /** Called once per RequestHistory(), possibly before it returns. */
  std::function<void(const state::JobKey&, JobHistory)> resolved;
  /** Called with the agent's records of the jobs passed to Resync(). */
  std::function<void(const state::ProcessId& aAgent,
                     const std::vector<state::JobKey>&,
                     const std::vector<state::TaskRecord>&)>
    resynced;
};

/**
 * Queries the agents in use for the start records of jobs that an earlier owner
 * may have accepted. Queries are batched per agent: a batch is sent immediately
 * if no query to that agent is open, else with the next reply or Tick(). Used
 * by the control thread only.
 */
class HistoryRecovery
{
public:
  HistoryRecovery(std::uint32_t aShard,
                  const state::Clock& aClock,
                  AgentTable& aAgents,
                  HistoryRecoveryHooks aHooks);

  /** Clears all state and fences all agents of the table. */
  void Start(const state::OwnershipToken& aToken,
             state::WallTime aActivatedAt,
             bool aAgentsComplete);
  void Stop();
  void UpdateToken(const state::OwnershipToken& aToken) { token_ = aToken; }

  /**
   * Fences an agent that has not acknowledged its fence, if the time for
   * resending fences in Tick() is over.
   */
  void OnAgentAdded(const state::ProcessId& aAgent);
  /** Jobs created up to aCreated were dropped; agents hold their records. */
  void OnJobDropped(state::WallTime aCreated);

  /**
   * True if an earlier owner may have accepted the job, or if this owner may
   * have dropped it.
   */
  bool IsHistoryNeeded(const state::JobKey& aKey) const;
  void RequestHistory(const state::JobKey& aKey);
  /** Queries the agent's records after its connection was replaced. */
  void Resync(const state::ProcessId& aAgent, std::vector<state::JobKey> aKeys);

  void OnFenceReply(const FenceReply& aReply);
  /** Returns false if the reply is invalid or matches no open query. */
  bool OnHistoryReply(const HistoryReply& aReply);
  /** Merges a result that arrives while its job's history is collected. */
  void OnResult(const state::ProcessId& aAgent,
                const state::TaskRecord& aRecord);

  /** Sends batches, resends lost queries and handles timeouts. */
  void Tick();

private:
  using RecordKey = std::tuple<state::ProcessId, std::uint32_t, std::uint32_t>;

  struct PendingHistory
  {
    state::MonotonicTime requestedAt;
    std::set<state::ProcessId> awaitedAgents;
    std::map<RecordKey, state::TaskRecord> records;
    std::vector<state::TaskRecord> cancelMarkers;
    bool complete = true;
  };

  struct Query
  {
    state::ProcessId agent;
    state::OwnershipToken token;
    std::vector<state::JobKey> keys;
    state::MonotonicTime sentAt;
    bool resync = false;
    bool resent = false;
  };

  void Flush(const state::ProcessId& aAgent);
  void SendQuery(const state::ProcessId& aAgent,
                 std::vector<state::JobKey> aKeys,
                 bool aResync);
  void Merge(PendingHistory& aPending,
             const state::ProcessId& aAgent,
             const state::TaskRecord& aRecord);
  void Resolve(const state::JobKey& aKey);
  void ResendFences();
  void ResendQueries();
  void ResolveTimedOut();
  void RemoveOldAgents();

  std::uint32_t shard_;
  const state::Clock& clock_;
  AgentTable& agents_;
  HistoryRecoveryHooks hooks_;
  state::OwnershipToken token_;
  /** Latest creation time of a job that an earlier owner may have accepted. */
  state::WallTime earlierOwnerUntil_;
  /** Latest creation time of a job that this owner dropped. */
  state::WallTime droppedUntil_;
  state::MonotonicTime startedAt_;
  state::MonotonicTime lastFenceAt_;
  bool agentsComplete_ = true;
  /** Agents that have not acknowledged the token. */
  std::set<state::ProcessId> unfencedAgents_;
  std::uint64_t lastQuery_ = 0;
  std::map<std::uint64_t, Query> openQueries_;
  std::map<state::ProcessId, std::size_t> openQueryCounts_;
  std::map<state::ProcessId, std::vector<state::JobKey>> batches_;
  std::unordered_map<state::JobKey, PendingHistory> pendingHistories_;
  /**
   * Jobs in the order of RequestHistory(), for the timeout; may contain
   * resolved jobs.
   */
  std::deque<std::pair<state::MonotonicTime, state::JobKey>> requestOrder_;
};

}
