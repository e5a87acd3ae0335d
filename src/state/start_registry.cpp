#include "state/start_registry.h"

namespace greengage::state {

StartRegistry::StartRegistry(const StartRegistryOptions& aOptions)
  : options_(aOptions)
{
}

bool
StartRegistry::AcceptToken(std::uint32_t aShard, const OwnershipToken& aToken)
{
  OwnershipToken& highest = highestTokens_[aShard];
  if (aToken < highest) {
    return !options_.checkTokens;
  }
  highest = aToken;
  return true;
}

OwnershipToken
StartRegistry::HighestToken(std::uint32_t aShard) const
{
  auto found = highestTokens_.find(aShard);
  return found == highestTokens_.end() ? OwnershipToken{} : found->second;
}

RefusalCode
StartRegistry::TryStart(std::uint32_t aShard,
                        const OwnershipToken& aToken,
                        const TaskRecord& aRecord,
                        WallTime aNow)
{
  bool validToken = AcceptToken(aShard, aToken);
  // A delayed copy of a start that took effect is a duplicate, even if its
  // token is stale. If it were refused as stale, the owner would start the task
  // elsewhere.
  if (options_.checkStarts && Find(aRecord)) {
    return RefusalCode::eDuplicateStart;
  }
  if (!validToken) {
    return RefusalCode::eStaleToken;
  }
  WallTime created = aRecord.key.id.CreationTime();
  if (created + kJobRetention < aNow) {
    // The record of an earlier start may have been dropped already.
    return RefusalCode::eJobIdExpired;
  }
  if (created > aNow + kClockMargin) {
    return RefusalCode::eJobIdInFuture;
  }
  JobRecords* job = FindOrAddJob(aRecord.key, aNow);
  TaskAttempt attempt{ aRecord.task, aRecord.attempt };
  auto entry = job->tasks.try_emplace(attempt, aRecord).first;
  if (job->cancelled && options_.checkStarts) {
    entry->second.taskState = TaskState::eNotStarted;
    entry->second.code = RefusalCode::eCancelled;
    return RefusalCode::eCancelled;
  }
  entry->second.taskState = TaskState::eRunning;
  return RefusalCode::eNone;
}

void
StartRegistry::RecordRefusal(const TaskRecord& aRecord, WallTime aNow)
{
  if (JobRecords* job = FindOrAddJob(aRecord.key, aNow)) {
    job->tasks.try_emplace({ aRecord.task, aRecord.attempt }, aRecord);
  }
}

void
StartRegistry::Cancel(const JobKey& aKey, WallTime aNow)
{
  if (JobRecords* job = FindOrAddJob(aKey, aNow)) {
    job->cancelled = true;
  }
}

StartRegistry::JobRecords*
StartRegistry::FindOrAddJob(const JobKey& aKey, WallTime aNow)
{
  WallTime created = aKey.id.CreationTime();
  if (created + kJobRetention < aNow || created > aNow + kClockMargin) {
    return nullptr;
  }
  auto [job, isNew] = jobs_.try_emplace(aKey);
  if (isNew) {
    jobsByCreationTime_.emplace(created, aKey);
  }
  return &job->second;
}

bool
StartRegistry::Finish(const TaskRecord& aRecord)
{
  auto job = jobs_.find(aRecord.key);
  if (job == jobs_.end()) {
    return false;
  }
  TaskAttempt attempt{ aRecord.task, aRecord.attempt };
  auto entry = job->second.tasks.find(attempt);
  if (entry == job->second.tasks.end() ||
      entry->second.taskState != TaskState::eRunning) {
    return false;
  }
  entry->second = aRecord;
  resultBytes_ += aRecord.body.size();
  finishedTasks_.emplace_back(aRecord.key, attempt);
  DropOldResults();
  return true;
}

const TaskRecord*
StartRegistry::Find(const TaskRecord& aTask) const
{
  auto job = jobs_.find(aTask.key);
  if (job == jobs_.end()) {
    return nullptr;
  }
  auto entry = job->second.tasks.find({ aTask.task, aTask.attempt });
  return entry == job->second.tasks.end() ? nullptr : &entry->second;
}

std::vector<TaskRecord>
StartRegistry::Records(const JobKey& aKey) const
{
  std::vector<TaskRecord> records;
  auto job = jobs_.find(aKey);
  if (job == jobs_.end()) {
    return records;
  }
  for (const auto& [attempt, record] : job->second.tasks) {
    records.push_back(record);
  }
  if (job->second.cancelled) {
    TaskRecord marker;
    marker.key = aKey;
    marker.code = RefusalCode::eCancelled;
    records.push_back(std::move(marker));
  }
  return records;
}

void
StartRegistry::Expire(WallTime aNow)
{
  WallTime oldest = aNow - kJobRetention - kClockMargin;
  while (!jobsByCreationTime_.empty() &&
         jobsByCreationTime_.begin()->first < oldest) {
    auto job = jobs_.find(jobsByCreationTime_.begin()->second);
    if (job != jobs_.end()) {
      for (const auto& [attempt, record] : job->second.tasks) {
        if (record.taskState != TaskState::eRunning) {
          resultBytes_ -= record.body.size();
        }
      }
      jobs_.erase(job);
    }
    jobsByCreationTime_.erase(jobsByCreationTime_.begin());
  }
  DropOldResults();
}

void
StartRegistry::DropOldResults()
{
  while (!finishedTasks_.empty()) {
    auto job = jobs_.find(finishedTasks_.front().first);
    if (job == jobs_.end()) {
      finishedTasks_.pop_front();
      continue;
    }
    if (resultBytes_ <= options_.maxResultBytes) {
      return;
    }
    TaskRecord& record = job->second.tasks.at(finishedTasks_.front().second);
    resultBytes_ -= record.body.size();
    record.body.clear();
    record.code = RefusalCode::eResultUnavailable;
    finishedTasks_.pop_front();
  }
}

}
