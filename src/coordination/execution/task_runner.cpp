#include "coordination/execution/task_runner.h"

namespace greengage::coordination {

using state::RefusalCode;
using state::TaskRecord;
using state::TaskState;

TaskRunner::TaskRunner(const ProcessInfo& aSelf,
                       const state::Clock& aClock,
                       TaskRunnerHooks aHooks,
                       const state::StartRegistryOptions& aRegistryOptions)
  : self_(aSelf)
  , clock_(aClock)
  , hooks_(std::move(aHooks))
  , startRegistry_(aRegistryOptions)
{
}

void
TaskRunner::OnStartTasks(const state::ProcessId& aOwner,
                         const StartTasks& aStart)
{
  // Ignores a start for an earlier process that had this address.
  if (aStart.agent != self_.id) {
    return;
  }
  TaskResults refused{ aStart.shard, self_.id, {} };
  AcceptOwner(aOwner, aStart.shard, aStart.token);
  for (const TaskStart& task : aStart.tasks) {
    TaskRecord record = TryStart(aStart, task);
    if (record.code == RefusalCode::eNone &&
        record.taskState == TaskState::eRunning) {
      hooks_.callBackend(task);
      continue;
    }
    refused.records.push_back(std::move(record));
  }
  if (!refused.records.empty()) {
    hooks_.send(aOwner, std::move(refused));
  }
}

TaskRecord
TaskRunner::TryStart(const StartTasks& aStart, const TaskStart& aTask)
{
  TaskRecord record;
  record.key = aTask.key;
  record.task = aTask.task;
  record.attempt = aTask.attempt;
  // An attempt that is already recorded must not be refused for lack of
  // capacity: it may be running.
  const TaskRecord* known = startRegistry_.Find(record);
  RefusalCode capacity = CheckCapacity();
  if (!known && capacity != RefusalCode::eNone) {
    record.code = capacity;
    startRegistry_.RecordRefusal(record, clock_.WallNow());
    return record;
  }
  record.code = startRegistry_.TryStart(
    aStart.shard, aStart.token, record, clock_.WallNow());
  if (record.code == RefusalCode::eNone) {
    record.taskState = TaskState::eRunning;
    running_.insert_or_assign(
      AttemptKey{ aTask.key, aTask.task, aTask.attempt },
      RunningAttempt{ aStart.shard, clock_.MonotonicNow() });
    return record;
  }
  if (record.code == RefusalCode::eDuplicateStart && known &&
      known->taskState != TaskState::eRunning) {
    // The first report of the result may have been lost.
    return *known;
  }
  if (record.code == RefusalCode::eStaleToken) {
    // The owner may have sent the attempt again under its newer token. That
    // copy must not start after this refusal was reported.
    startRegistry_.RecordRefusal(record, clock_.WallNow());
  }
  return record;
}

RefusalCode
TaskRunner::CheckCapacity() const
{
  if (draining_) {
    return RefusalCode::eDraining;
  }
  return running_.size() >= self_.slots ? RefusalCode::eBusy
                                        : RefusalCode::eNone;
}

bool
TaskRunner::AcceptOwner(const state::ProcessId& aOwner,
                        std::uint32_t aShard,
                        const state::OwnershipToken& aToken)
{
  if (!startRegistry_.AcceptToken(aShard, aToken)) {
    return false;
  }
  owners_[aShard] = aOwner;
  return true;
}

void
TaskRunner::OnCancelTasks(const state::ProcessId& aOwner,
                          const CancelTasks& aCancel)
{
  if (aCancel.agent != self_.id ||
      !AcceptOwner(aOwner, aCancel.shard, aCancel.token)) {
    return;
  }
  std::vector<AttemptKey> aborted;
  for (const state::JobKey& key : aCancel.keys) {
    startRegistry_.Cancel(key, clock_.WallNow());
    for (auto task = running_.lower_bound(AttemptKey{ key, 0, 0 });
         task != running_.end() && std::get<0>(task->first) == key;
         ++task) {
      aborted.push_back(task->first);
    }
  }
  // The hook may report the result synchronously, which changes running_.
  for (const auto& [key, task, attempt] : aborted) {
    hooks_.abortCall(key, task, attempt);
  }
}

void
TaskRunner::OnFence(const state::ProcessId& aOwner, const Fence& aFence)
{
  if (aFence.agent != self_.id) {
    return;
  }
  AcceptOwner(aOwner, aFence.shard, aFence.token);
  hooks_.send(aOwner,
              FenceReply{ self_.id,
                          aFence.shard,
                          startRegistry_.HighestToken(aFence.shard) });
}

void
TaskRunner::OnHistoryQuery(const state::ProcessId& aOwner,
                           const HistoryQuery& aQuery)
{
  if (aQuery.agent != self_.id) {
    return;
  }
  HistoryReply reply{ self_.id, aQuery.shard, {}, aQuery.query, {} };
  if (AcceptOwner(aOwner, aQuery.shard, aQuery.token)) {
    for (const state::JobKey& key : aQuery.keys) {
      auto records = startRegistry_.Records(key);
      reply.records.insert(reply.records.end(), records.begin(), records.end());
    }
  }
  reply.token = startRegistry_.HighestToken(aQuery.shard);
  hooks_.send(aOwner, std::move(reply));
}

void
TaskRunner::OnBackendResult(const state::JobKey& aKey,
                            std::uint32_t aTask,
                            std::uint32_t aAttempt,
                            BackendResult aResult)
{
  auto found = running_.find(AttemptKey{ aKey, aTask, aAttempt });
  if (found == running_.end()) {
    return;
  }
  RunningAttempt running = found->second;
  running_.erase(found);
  TaskRecord record;
  record.key = aKey;
  record.task = aTask;
  record.attempt = aAttempt;
  record.taskState = aResult.taskState;
  record.code = aResult.code;
  record.body = std::move(aResult.body);
  record.runTime = std::chrono::duration_cast<std::chrono::microseconds>(
    clock_.MonotonicNow() - running.started);
  startRegistry_.Finish(record);
  hooks_.send(owners_[running.shard],
              TaskResults{ running.shard, self_.id, { std::move(record) } });
}

void
TaskRunner::Tick()
{
  startRegistry_.Expire(clock_.WallNow());
}

}
