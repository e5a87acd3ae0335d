#include "coordination/execution/job_execution.h"

#include <algorithm>

#include <fmt/format.h>

/** Handling of the task records that agents report. */
namespace greengage::coordination {

using state::JobOutcome;
using state::RefusalCode;
using state::RunState;
using state::TaskRecord;
using state::TaskState;

namespace {

// After ten refused connections in a row, over a backoff of about 2.5 s in
// total, a backend server is not expected to recover soon.
constexpr std::uint32_t kMaxMoves = 10;
constexpr std::chrono::milliseconds kInitialBackoff{ 10 };
constexpr std::chrono::milliseconds kMaxBackoff{ 500 };
// The encoded answer must fit into one frame of 16 MB.
constexpr std::size_t kMaxAnswerBytes = 12 * 1024 * 1024;

std::chrono::milliseconds
Backoff(std::uint32_t aMoves)
{
  std::uint32_t doublings = std::min(aMoves, 6U);
  return std::min(kInitialBackoff * (1U << doublings), kMaxBackoff);
}

}

void
JobExecution::OnRecord(const state::ProcessId& aAgent,
                       const TaskRecord& aRecord)
{
  OwnedJob* job = table_.Find(aRecord.key);
  if (!job) {
    ++counters_.lateResults;
    return;
  }
  TaskRef task{ job->handle, aRecord.task, aRecord.attempt };
  auto running = job->running.find(task);
  if (running == job->running.end() || running->second != aAgent) {
    ++counters_.lateResults;
    return;
  }
  if (aRecord.taskState == TaskState::eRunning) {
    job->certainlyStarted = true;
    return;
  }
  bool notStarted = aRecord.taskState == TaskState::eNotStarted;
  if (notStarted && aRecord.code == RefusalCode::eDuplicateStart) {
    // The agent accepted the first copy of the start and will report its
    // result.
    ++counters_.duplicateStarts;
    job->certainlyStarted = true;
    return;
  }
  table_.RemoveRunning(*job, task, aAgent);
  scheduler_.OnTaskEnded(aAgent, task, aRecord);
  job->certainlyStarted = job->certainlyStarted || !notStarted;
  if (notStarted) {
    counters_.refusedStarts.Add(aRecord.code);
  }
  if (job->outcome) {
    counters_.lateResults += notStarted ? 0 : 1;
    return;
  }
  if (notStarted) {
    OnNotStarted(*job, aRecord.task, aRecord);
  } else if (aRecord.taskState == TaskState::eSucceeded &&
             aRecord.code == RefusalCode::eNone) {
    OnSucceeded(*job, aRecord);
  } else {
    OnFailed(*job, aRecord);
  }
}

void
JobExecution::OnNotStarted(OwnedJob& aJob,
                           std::uint32_t aTask,
                           const TaskRecord& aRecord)
{
  TaskProgress& progress = aJob.tasks[aTask];
  switch (aRecord.code) {
    case RefusalCode::eCancelled:
    case RefusalCode::eJobIdExpired:
      End(aJob,
          JobOutcome::Failed(aRecord.code,
                             aJob.CurrentRunState(),
                             "a worker refused to start the job"));
      return;
    case RefusalCode::eJobIdInFuture:
      // A delayed copy of the start may be accepted later.
      End(aJob,
          JobOutcome::Failed(
            aRecord.code,
            RunState::eUnknown,
            "the clock of a worker is behind the job ID's creation time"));
      return;
    case RefusalCode::eBackendUnreachable:
      if (++progress.moves > kMaxMoves) {
        End(aJob,
            JobOutcome::Failed(
              aRecord.code,
              aJob.CurrentRunState(),
              "no backend server accepted a connection for the task"));
        return;
      }
      break;
    default:
      ++progress.moves;
      break;
  }
  ++counters_.moves;
  bool draining = aRecord.code == RefusalCode::eDraining;
  EnqueueNextAttempt(aJob,
                     aTask,
                     draining ? std::chrono::milliseconds{ 0 }
                              : Backoff(progress.moves - 1));
}

void
JobExecution::OnSucceeded(OwnedJob& aJob, const TaskRecord& aRecord)
{
  attemptTimer_.AddRunTime(aJob.spec->TemplateName(), aRecord.runTime);
  TaskProgress& progress = aJob.tasks[aRecord.task];
  if (progress.result) {
    return;
  }
  progress.result = aRecord.body;
  --aJob.missingResults;
  EndIfComplete(aJob);
}

void
JobExecution::EndIfComplete(OwnedJob& aJob)
{
  if (aJob.missingResults > 0) {
    return;
  }
  std::vector<std::string> results;
  std::size_t bytes = 0;
  for (TaskProgress& task : aJob.tasks) {
    bytes += task.result->size();
    results.push_back(*std::move(task.result));
  }
  if (bytes > kMaxAnswerBytes) {
    End(aJob,
        JobOutcome::Failed(RefusalCode::eResultUnavailable,
                           RunState::eRan,
                           fmt::format("the results have {} bytes, the limit "
                                       "is {}",
                                       bytes,
                                       kMaxAnswerBytes)));
    return;
  }
  End(aJob, JobOutcome::Complete(std::move(results)));
}

void
JobExecution::OnFailed(OwnedJob& aJob, const TaskRecord& aRecord)
{
  bool retry =
    aJob.spec->Idempotent() && aRecord.taskState == TaskState::eFailed;
  if (retry) {
    RetryOrEnd(aJob, counters_.retriesAfterFailure, TaskFailure(aRecord));
    return;
  }
  End(aJob, TaskFailure(aRecord));
}

void
JobExecution::RetryOrEnd(OwnedJob& aJob,
                         std::uint64_t& aCounter,
                         JobOutcome aOutcome)
{
  if (!aJob.running.empty() || aJob.queuedAttempts > 0) {
    return;
  }
  if (!retryBudget_.TryConsume()) {
    ++counters_.retriesOverBudget;
    End(aJob, std::move(aOutcome));
    return;
  }
  ++aCounter;
  EnqueueNextAttempt(aJob, 0, {});
}

}
