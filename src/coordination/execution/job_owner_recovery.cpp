#include "coordination/execution/job_owner.h"

/** Handling of requests for jobs of earlier owners after history queries. */
namespace greengage::coordination {

using state::JobOutcome;
using state::RefusalCode;
using state::RunState;
using state::TaskState;

bool
JobOwner::NeedsHistory(const state::JobKey& aKey) const
{
  return options_.queryHistory && recovery_.IsHistoryNeeded(aKey);
}

void
JobOwner::OnHistory(const state::JobKey& aKey, const JobHistory& aHistory)
{
  ++counters_.recoveries;
  auto waiting = recoveringRequests_.extract(aKey);
  if (waiting.empty()) {
    return;
  }
  for (const auto& [requester, spec] : waiting.mapped().submits) {
    if (OwnedJob* known = table_.Find(aKey)) {
      Attach(*known, requester, spec);
    } else {
      SubmitRecovered(requester, spec, aHistory);
    }
  }
  for (const Requester& requester : waiting.mapped().queries) {
    QueryRecovered(requester, aKey, aHistory);
  }
  for (const Requester& requester : waiting.mapped().cancels) {
    CancelRecovered(requester, aKey, aHistory);
  }
}

void
JobOwner::SubmitRecovered(const Requester& aRequester,
                          const state::JobSpec& aSpec,
                          const JobHistory& aHistory)
{
  MergedHistory merged = MergeHistory(aSpec.TaskCount(), aHistory);
  if (merged.conflict) {
    Answer(aRequester,
           aSpec.Key(),
           JobOutcome::Failed(RefusalCode::eJobIdConflict,
                              RunState::eUnknown,
                              "the job ID was in use for a job with more "
                              "tasks under an earlier owner"));
    return;
  }
  bool mayBeNew = aHistory.complete && aHistory.records.empty();
  OwnedJob* job = Accept(aRequester, aSpec, mayBeNew);
  if (!job) {
    return;
  }
  job->recovered = true;
  execution_.Resume(*job, merged, aHistory.complete);
  for (const AgentRecord& entry : aHistory.records) {
    // The agent was lost after it had replied.
    if (agents_.WasLost(entry.agent)) {
      execution_.OnAgentLost(entry.agent);
    }
  }
}

void
JobOwner::QueryRecovered(const Requester& aRequester,
                         const state::JobKey& aKey,
                         const JobHistory& aHistory)
{
  if (const OwnedJob* known = table_.Find(aKey)) {
    AnswerQuery(aRequester, *known);
    return;
  }
  if (!aHistory.records.empty()) {
    // Without the job's spec the number of its tasks is not known.
    Answer(aRequester,
           aKey,
           JobOutcome::Failed(RefusalCode::eResultUnavailable,
                              RunState::eUnknown,
                              "the job was accepted by an earlier owner; "
                              "submit it again to get its answer"));
    return;
  }
  Answer(aRequester,
         aKey,
         JobOutcome::Failed(aHistory.complete ? RefusalCode::eUnknownJob
                                              : RefusalCode::eOutcomeUnknown,
                            RunState::eUnknown,
                            "the job is not known here"));
}

void
JobOwner::CancelRecovered(const Requester& aRequester,
                          const state::JobKey& aKey,
                          const JobHistory& aHistory)
{
  if (OwnedJob* known = table_.Find(aKey)) {
    CancelOwnedJob(aRequester, *known);
    return;
  }
  // The outcome is stored because a submission of the job may still arrive.
  OwnedJob& job = table_.AddEnded(aKey);
  for (const AgentRecord& entry : aHistory.records) {
    const state::TaskRecord& record = entry.record;
    bool started = record.taskState != TaskState::eNotStarted;
    job.certainlyStarted = job.certainlyStarted || started;
    if (record.taskState == TaskState::eRunning) {
      TaskRef task{ job.handle, record.task, record.attempt };
      table_.AddRunning(job, task, entry.agent);
    }
  }
  execution_.End(job,
                 JobOutcome::Failed(RefusalCode::eCancelled,
                                    job.certainlyStarted ? RunState::eRan
                                                         : RunState::eUnknown,
                                    "the job was cancelled"));
  Answer(aRequester, aKey, *job.outcome);
}

}
