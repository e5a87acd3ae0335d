#include "state/start_ledger.h"

namespace greengage::state {

StartLedger::StartLedger(std::size_t aMaxResultBytes)
  : maxResultBytes_(aMaxResultBytes)
{
}

bool
StartLedger::AcceptToken(std::uint32_t aShard, const OwnershipToken& aToken)
{
  OwnershipToken& highest = tokens_[aShard];
  if (aToken < highest) {
    return false;
  }
  highest = aToken;
  return true;
}

OwnershipToken
StartLedger::HighestToken(std::uint32_t aShard) const
{
  auto found = tokens_.find(aShard);
  return found == tokens_.end() ? OwnershipToken{} : found->second;
}

RefusalCode
StartLedger::TryStart(std::uint32_t aShard,
                      const OwnershipToken& aToken,
                      const TaskRecord& aRecord,
                      WallTime aNow)
{
  if (!AcceptToken(aShard, aToken)) {
    return RefusalCode::eStaleToken;
  }
  WallTime created = aRecord.key.id.CreationTime();
  if (created + kJobMemory < aNow) {
    // The record of an earlier start may have been dropped already.
    return RefusalCode::eJobIdExpired;
  }
  if (created > aNow + kClockMargin) {
    return RefusalCode::eJobIdInFuture;
  }
  auto [job, isNew] = jobs_.try_emplace(aRecord.key);
  if (isNew) {
    byCreation_.emplace(created, aRecord.key);
  }
  TaskAttempt attempt{ aRecord.task, aRecord.attempt };
  auto [entry, inserted] = job->second.try_emplace(attempt, aRecord);
  if (!inserted) {
    return RefusalCode::eDuplicateStart;
  }
  entry->second.taskState = TaskState::eRunning;
  return RefusalCode::eNone;
}

bool
StartLedger::Finish(const TaskRecord& aRecord)
{
  auto job = jobs_.find(aRecord.key);
  if (job == jobs_.end()) {
    return false;
  }
  TaskAttempt attempt{ aRecord.task, aRecord.attempt };
  auto entry = job->second.find(attempt);
  if (entry == job->second.end() ||
      entry->second.taskState != TaskState::eRunning) {
    return false;
  }
  entry->second = aRecord;
  resultBytes_ += aRecord.body.size();
  finished_.emplace_back(aRecord.key, attempt);
  DropOldResults();
  return true;
}

std::vector<TaskRecord>
StartLedger::Records(const JobKey& aKey) const
{
  std::vector<TaskRecord> records;
  auto job = jobs_.find(aKey);
  if (job == jobs_.end()) {
    return records;
  }
  for (const auto& [attempt, record] : job->second) {
    records.push_back(record);
  }
  return records;
}

void
StartLedger::Expire(WallTime aNow)
{
  WallTime oldest = aNow - kJobMemory - kClockMargin;
  while (!byCreation_.empty() && byCreation_.begin()->first < oldest) {
    auto job = jobs_.find(byCreation_.begin()->second);
    if (job != jobs_.end()) {
      for (const auto& [attempt, record] : job->second) {
        if (record.taskState != TaskState::eRunning) {
          resultBytes_ -= record.body.size();
        }
      }
      jobs_.erase(job);
    }
    byCreation_.erase(byCreation_.begin());
  }
  DropOldResults();
}

void
StartLedger::DropOldResults()
{
  while (!finished_.empty()) {
    auto job = jobs_.find(finished_.front().first);
    if (job == jobs_.end()) {
      finished_.pop_front();
      continue;
    }
    if (resultBytes_ <= maxResultBytes_) {
      return;
    }
    TaskRecord& record = job->second.at(finished_.front().second);
    resultBytes_ -= record.body.size();
    record.body.clear();
    record.code = RefusalCode::eResultUnavailable;
    finished_.pop_front();
  }
}

}
