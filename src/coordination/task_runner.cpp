#include "coordination/task_runner.h"

namespace greengage::coordination {

using state::RefusalCode;
using state::TaskRecord;
using state::TaskState;

namespace {

// With 64 MB for the whole process, half is left for records and buffers.
constexpr std::size_t kMaxResultBytes = 16 * 1024 * 1024;

}

TaskRunner::TaskRunner(const ProcessInfo& aSelf,
                       const state::Clock& aClock,
                       TaskRunnerHooks aHooks)
  : self_(aSelf)
  , clock_(aClock)
  , hooks_(std::move(aHooks))
  , ledger_(kMaxResultBytes)
{
}

void
TaskRunner::OnStartTasks(const state::ProcessId& aOwner,
                         const StartTasks& aStart)
{
  // A start for an earlier process on this address must not run here.
  if (aStart.agent != self_.id) {
    return;
  }
  TaskResults refused{ aStart.shard, self_.id, {} };
  for (const TaskStart& task : aStart.tasks) {
    RefusalCode code = TryStart(aStart, task);
    if (code == RefusalCode::eNone) {
      owners_[aStart.shard] = aOwner;
      hooks_.callBackend(task);
      continue;
    }
    TaskRecord record;
    record.key = task.key;
    record.task = task.task;
    record.attempt = task.attempt;
    record.code = code;
    refused.records.push_back(std::move(record));
  }
  if (!refused.records.empty()) {
    hooks_.send(aOwner, std::move(refused));
  }
}

RefusalCode
TaskRunner::TryStart(const StartTasks& aStart, const TaskStart& aTask)
{
  if (draining_) {
    return RefusalCode::eDraining;
  }
  if (running_.size() >= self_.slots) {
    return RefusalCode::eBusy;
  }
  TaskRecord record;
  record.key = aTask.key;
  record.task = aTask.task;
  record.attempt = aTask.attempt;
  RefusalCode code =
    ledger_.TryStart(aStart.shard, aStart.token, record, clock_.WallNow());
  if (code != RefusalCode::eNone) {
    return code;
  }
  running_.emplace(TaskName{ aTask.key, aTask.task, aTask.attempt },
                   Running{ aStart.shard, clock_.MonotonicNow() });
  return RefusalCode::eNone;
}

void
TaskRunner::OnCancelTasks(const state::ProcessId&, const CancelTasks& aCancel)
{
  if (aCancel.agent != self_.id ||
      !ledger_.AcceptToken(aCancel.shard, aCancel.token)) {
    return;
  }
  for (const auto& [name, running] : running_) {
    const auto& [key, task, attempt] = name;
    for (const state::JobKey& cancelled : aCancel.keys) {
      if (key == cancelled) {
        hooks_.abortCall(key, task, attempt);
      }
    }
  }
}

void
TaskRunner::OnFence(const state::ProcessId& aOwner, const Fence& aFence)
{
  if (aFence.agent != self_.id) {
    return;
  }
  if (ledger_.AcceptToken(aFence.shard, aFence.token)) {
    owners_[aFence.shard] = aOwner;
  }
  hooks_.send(
    aOwner,
    FenceReply{ self_.id, aFence.shard, ledger_.HighestToken(aFence.shard) });
}

void
TaskRunner::OnHistoryQuery(const state::ProcessId& aOwner,
                           const HistoryQuery& aQuery)
{
  if (aQuery.agent != self_.id) {
    return;
  }
  HistoryReply reply{ self_.id, aQuery.shard, {}, aQuery.query, {} };
  if (ledger_.AcceptToken(aQuery.shard, aQuery.token)) {
    owners_[aQuery.shard] = aOwner;
    for (const state::JobKey& key : aQuery.keys) {
      auto records = ledger_.Records(key);
      reply.records.insert(reply.records.end(), records.begin(), records.end());
    }
  }
  reply.token = ledger_.HighestToken(aQuery.shard);
  hooks_.send(aOwner, std::move(reply));
}

void
TaskRunner::OnBackendResult(const state::JobKey& aKey,
                            std::uint32_t aTask,
                            std::uint32_t aAttempt,
                            BackendResult aResult)
{
  auto found = running_.find(TaskName{ aKey, aTask, aAttempt });
  if (found == running_.end()) {
    return;
  }
  Running running = found->second;
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
  ledger_.Finish(record);
  hooks_.send(owners_[running.shard],
              TaskResults{ running.shard, self_.id, { std::move(record) } });
}

void
TaskRunner::Tick()
{
  ledger_.Expire(clock_.WallNow());
}

}
