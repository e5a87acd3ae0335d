#include "coordination/execution/job_history.h"

#include <algorithm>

namespace greengage::coordination {

using state::RefusalCode;
using state::TaskState;

namespace {

void
AddRecord(TaskHistory& aTask, const AgentRecord& aEntry)
{
  const state::TaskRecord& record = aEntry.record;
  aTask.nextAttempt = std::max(aTask.nextAttempt, record.attempt + 1);
  switch (record.taskState) {
    case TaskState::eNotStarted:
      return;
    case TaskState::eRunning:
      aTask.running.push_back(aEntry);
      return;
    case TaskState::eSucceeded:
      if (record.code == RefusalCode::eNone) {
        aTask.result = record.body;
        return;
      }
      aTask.failure = record;
      return;
    case TaskState::eFailed:
      aTask.failure = record;
      return;
  }
}

}

MergedHistory
MergeHistory(std::size_t aTaskCount, const JobHistory& aHistory)
{
  MergedHistory merged;
  merged.tasks.resize(aTaskCount);
  for (const AgentRecord& entry : aHistory.records) {
    bool notStarted = entry.record.taskState == TaskState::eNotStarted;
    if (notStarted && entry.record.code == RefusalCode::eCancelled) {
      merged.cancelled = true;
      continue;
    }
    merged.started = merged.started || !notStarted;
    if (entry.record.task >= aTaskCount) {
      merged.conflict = true;
      continue;
    }
    AddRecord(merged.tasks[entry.record.task], entry);
  }
  return merged;
}

}
