#include "coordination/execution/history_recovery.h"

#include <algorithm>

namespace greengage::coordination {

using state::TaskState;

namespace {

constexpr std::chrono::milliseconds kHistoryTimeout{ 1000 };
// A query or fence without a reply after this time is sent again.
constexpr std::chrono::milliseconds kResendAfter{ 250 };
// With the 8 MB of results in a start registry and 64 jobs of 1,100 records of
// 100 B, a reply stays below the frame limit of 16 MB.
constexpr std::size_t kMaxKeysPerQuery = 64;

/** Rank of a task state; a later state has a higher rank. */
int
StateRank(const state::TaskRecord& aRecord)
{
  switch (aRecord.taskState) {
    case TaskState::eNotStarted:
      return 0;
    case TaskState::eRunning:
      return 1;
    default:
      return 2;
  }
}

}

HistoryRecovery::HistoryRecovery(std::uint32_t aShard,
                                 const state::Clock& aClock,
                                 AgentTable& aAgents,
                                 HistoryRecoveryHooks aHooks)
  : shard_(aShard)
  , clock_(aClock)
  , agents_(aAgents)
  , hooks_(std::move(aHooks))
{
}

void
HistoryRecovery::Start(const state::OwnershipToken& aToken,
                       state::WallTime aActivatedAt,
                       bool aAgentsComplete)
{
  Stop();
  token_ = aToken;
  earlierOwnerUntil_ = aActivatedAt + state::kClockMargin;
  droppedUntil_ = {};
  agentsComplete_ = aAgentsComplete;
  startedAt_ = clock_.MonotonicNow();
  lastFenceAt_ = startedAt_;
  for (const state::ProcessId& agent : agents_.All()) {
    unfencedAgents_.insert(agent);
    hooks_.fence(agent, { agent, shard_, token_ });
  }
}

void
HistoryRecovery::Stop()
{
  unfencedAgents_.clear();
  openQueries_.clear();
  openQueryCounts_.clear();
  batches_.clear();
  pendingHistories_.clear();
  requestOrder_.clear();
}

void
HistoryRecovery::OnAgentAdded(const state::ProcessId& aAgent)
{
  bool hasResendingEnded =
    clock_.MonotonicNow() - startedAt_ >= kHistoryTimeout;
  if (hasResendingEnded && unfencedAgents_.contains(aAgent)) {
    hooks_.fence(aAgent, { aAgent, shard_, token_ });
  }
}

void
HistoryRecovery::OnJobDropped(state::WallTime aCreated)
{
  droppedUntil_ = std::max(droppedUntil_, aCreated);
}

bool
HistoryRecovery::IsHistoryNeeded(const state::JobKey& aKey) const
{
  auto created = aKey.id.CreationTime();
  return created <= earlierOwnerUntil_ || created <= droppedUntil_;
}

void
HistoryRecovery::RequestHistory(const state::JobKey& aKey)
{
  auto [entry, isNew] = pendingHistories_.try_emplace(aKey);
  if (!isNew) {
    return;
  }
  auto created = aKey.id.CreationTime();
  PendingHistory& pending = entry->second;
  pending.requestedAt = clock_.MonotonicNow();
  requestOrder_.emplace_back(pending.requestedAt, aKey);
  pending.complete = agentsComplete_ || created > earlierOwnerUntil_;
  pending.awaitedAgents = agents_.HoldersOfRecords(
    created, created <= earlierOwnerUntil_, created <= droppedUntil_);
  if (pending.awaitedAgents.empty()) {
    Resolve(aKey);
    return;
  }
  // Iterates over a copy because a synchronous reply changes the set.
  for (const state::ProcessId& agent : std::set(pending.awaitedAgents)) {
    batches_[agent].push_back(aKey);
    if (openQueryCounts_[agent] == 0) {
      Flush(agent);
    }
  }
}

void
HistoryRecovery::Resync(const state::ProcessId& aAgent,
                        std::vector<state::JobKey> aKeys)
{
  for (std::size_t i = 0; i < aKeys.size(); i += kMaxKeysPerQuery) {
    auto end = std::min(aKeys.size(), i + kMaxKeysPerQuery);
    SendQuery(aAgent,
              { aKeys.begin() + static_cast<std::ptrdiff_t>(i),
                aKeys.begin() + static_cast<std::ptrdiff_t>(end) },
              true);
  }
}

void
HistoryRecovery::Flush(const state::ProcessId& aAgent)
{
  auto batch = batches_.extract(aAgent);
  if (batch.empty()) {
    return;
  }
  std::vector<state::JobKey> keys;
  for (state::JobKey& key : batch.mapped()) {
    auto pending = pendingHistories_.find(key);
    if (pending == pendingHistories_.end() ||
        !pending->second.awaitedAgents.contains(aAgent)) {
      continue;
    }
    keys.push_back(std::move(key));
    if (keys.size() == kMaxKeysPerQuery) {
      SendQuery(aAgent, std::exchange(keys, {}), false);
    }
  }
  if (!keys.empty()) {
    SendQuery(aAgent, std::move(keys), false);
  }
}

void
HistoryRecovery::SendQuery(const state::ProcessId& aAgent,
                           std::vector<state::JobKey> aKeys,
                           bool aResync)
{
  Query query{ aAgent, token_, aKeys, clock_.MonotonicNow(), aResync, false };
  openQueries_.emplace(++lastQuery_, std::move(query));
  ++openQueryCounts_[aAgent];
  hooks_.query(aAgent,
               { aAgent, shard_, token_, lastQuery_, std::move(aKeys) });
}

void
HistoryRecovery::OnFenceReply(const FenceReply& aReply)
{
  if (aReply.shard == shard_ && aReply.token >= token_) {
    unfencedAgents_.erase(aReply.agent);
  }
}

bool
HistoryRecovery::OnHistoryReply(const HistoryReply& aReply)
{
  auto found = openQueries_.find(aReply.query);
  bool valid = aReply.shard == shard_ && found != openQueries_.end() &&
               found->second.agent == aReply.agent &&
               found->second.token == aReply.token;
  if (!valid) {
    return false;
  }
  Query query = std::move(found->second);
  openQueries_.erase(found);
  --openQueryCounts_[query.agent];
  unfencedAgents_.erase(query.agent);
  if (query.resync) {
    hooks_.resynced(query.agent, query.keys, aReply.records);
    return true;
  }
  for (const state::TaskRecord& record : aReply.records) {
    auto pending = pendingHistories_.find(record.key);
    if (pending != pendingHistories_.end() &&
        pending->second.awaitedAgents.contains(query.agent)) {
      Merge(pending->second, query.agent, record);
    }
  }
  for (const state::JobKey& key : query.keys) {
    auto pending = pendingHistories_.find(key);
    if (pending == pendingHistories_.end()) {
      continue;
    }
    pending->second.awaitedAgents.erase(query.agent);
    if (pending->second.awaitedAgents.empty()) {
      Resolve(key);
    }
  }
  Flush(query.agent);
  return true;
}

void
HistoryRecovery::OnResult(const state::ProcessId& aAgent,
                          const state::TaskRecord& aRecord)
{
  auto pending = pendingHistories_.find(aRecord.key);
  if (pending != pendingHistories_.end()) {
    Merge(pending->second, aAgent, aRecord);
  }
}

void
HistoryRecovery::Merge(PendingHistory& aPending,
                       const state::ProcessId& aAgent,
                       const state::TaskRecord& aRecord)
{
  bool cancelMarker = aRecord.taskState == TaskState::eNotStarted &&
                      aRecord.code == state::RefusalCode::eCancelled;
  if (cancelMarker) {
    aPending.cancelMarkers.push_back(aRecord);
    return;
  }
  // The refusal of a duplicate start does not contain the state of the task.
  if (aRecord.code == state::RefusalCode::eDuplicateStart) {
    return;
  }
  RecordKey recordKey{ aAgent, aRecord.task, aRecord.attempt };
  auto [entry, isNew] = aPending.records.try_emplace(recordKey, aRecord);
  // A result may arrive before a reply that reports the task as running.
  if (!isNew && StateRank(aRecord) > StateRank(entry->second)) {
    entry->second = aRecord;
  }
}

void
HistoryRecovery::Resolve(const state::JobKey& aKey)
{
  auto pending = pendingHistories_.extract(aKey);
  JobHistory history;
  history.complete =
    pending.mapped().complete && pending.mapped().awaitedAgents.empty();
  for (auto& [recordKey, record] : pending.mapped().records) {
    history.records.push_back({ std::get<0>(recordKey), std::move(record) });
  }
  for (auto& cancelMarker : pending.mapped().cancelMarkers) {
    history.records.push_back({ {}, std::move(cancelMarker) });
  }
  hooks_.resolved(pending.key(), std::move(history));
}

void
HistoryRecovery::Tick()
{
  ResendFences();
  ResendQueries();
  std::vector<state::ProcessId> agents;
  for (const auto& [agent, batch] : batches_) {
    agents.push_back(agent);
  }
  for (const state::ProcessId& agent : agents) {
    Flush(agent);
  }
  ResolveTimedOut();
  RemoveOldAgents();
}

void
HistoryRecovery::ResendFences()
{
  auto now = clock_.MonotonicNow();
  bool due = now - lastFenceAt_ >= kResendAfter;
  if (unfencedAgents_.empty() || !due || now - startedAt_ >= kHistoryTimeout) {
    return;
  }
  lastFenceAt_ = now;
  for (const state::ProcessId& agent : unfencedAgents_) {
    hooks_.fence(agent, { agent, shard_, token_ });
  }
}

void
HistoryRecovery::ResendQueries()
{
  auto now = clock_.MonotonicNow();
  std::vector<Query> resends;
  // Queries are numbered in the order of sending.
  for (auto entry = openQueries_.begin(); entry != openQueries_.end();) {
    Query& query = entry->second;
    if (now - query.sentAt < kResendAfter) {
      break;
    }
    if (now - query.sentAt >= kHistoryTimeout) {
      --openQueryCounts_[query.agent];
      entry = openQueries_.erase(entry);
      continue;
    }
    if (!std::exchange(query.resent, true)) {
      resends.push_back(query);
    }
    ++entry;
  }
  for (Query& query : resends) {
    if (query.resync) {
      if (agents_.IsUsable(query.agent)) {
        SendQuery(query.agent, std::move(query.keys), true);
      }
      continue;
    }
    auto& batch = batches_[query.agent];
    batch.insert(batch.end(), query.keys.begin(), query.keys.end());
  }
}

void
HistoryRecovery::ResolveTimedOut()
{
  auto now = clock_.MonotonicNow();
  while (!requestOrder_.empty() &&
         now - requestOrder_.front().first >= kHistoryTimeout) {
    auto [requestedAt, key] = std::move(requestOrder_.front());
    requestOrder_.pop_front();
    auto pending = pendingHistories_.find(key);
    if (pending != pendingHistories_.end() &&
        pending->second.requestedAt == requestedAt) {
      Resolve(key);
    }
  }
}

void
HistoryRecovery::RemoveOldAgents()
{
  auto oldest = clock_.WallNow() - state::kJobRetention - state::kClockMargin;
  for (const state::ProcessId& agent : agents_.RemoveLostBefore(oldest)) {
    unfencedAgents_.erase(agent);
    openQueryCounts_.erase(agent);
  }
}

}
