#include "coordination/dispatch/dispatch_records.h"

namespace greengage::coordination {

JobRecord
MakeJobRecord(const DispatchedJob& aJob,
              const state::DispatchOutcome& aOutcome,
              state::MonotonicTime aNow)
{
  auto sinceSubmission = [&](state::MonotonicTime aUntil) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
      aUntil - aJob.submittedAt);
  };
  JobRecord record;
  record.job = aJob.spec.id;
  record.queue = aJob.queue.name;
  for (const DispatchedStep& step : aJob.steps) {
    record.tasks += static_cast<std::uint32_t>(step.tasks.size());
    record.tasksDone += step.done;
  }
  record.runs = aJob.runs;
  record.waited = sinceSubmission(aJob.started ? aJob.firstRunAt : aNow);
  record.total = sinceSubmission(aNow);
  record.objective = sinceSubmission(aJob.objectiveAt);
  record.expectedWorkMs = aJob.workMs;
  record.outcome = aOutcome;
  return record;
}

}
