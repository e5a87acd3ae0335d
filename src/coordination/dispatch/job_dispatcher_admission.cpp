#include "coordination/dispatch/job_dispatcher.h"

// Admission of jobs that have to wait for capacity.
namespace greengage::coordination {

using state::DispatchOutcome;
using state::DispatchReason;
using state::DispatchResult;

namespace {

/** Bounds the time that one tick takes for the search for free servers. */
constexpr std::size_t kMaxRejectionsPerTick = 64;

}

void
JobDispatcher::AdmitNewJob(state::DispatchJobId aJob)
{
  if (!admission_.IsOn()) {
    return;
  }
  auto found = jobs_.find(aJob);
  if (found == jobs_.end()) {
    return;
  }
  DispatchedJob& job = *found->second;
  if (job.started || !job.waitingKey || IsBehind()) {
    admission_.OnAccepted(job);
    return;
  }
  WorkAhead ahead(servers_);
  for (const WaitingKey& key : waiting_) {
    if (key == *job.waitingKey) {
      break;
    }
    ahead.Add(*jobs_.at(std::get<3>(key)));
  }
  AdmissionRecord record = admission_.DecideNew(job, ahead.Of(job));
  if (record.decision == AdmissionDecision::eAccepted) {
    admission_.OnAccepted(job);
  }
  RejectByForecast(record);
}

void
JobDispatcher::ExamineWaitingJobs()
{
  if (!admission_.IsOn() || IsBehind()) {
    return;
  }
  WorkAhead ahead(servers_);
  std::vector<AdmissionRecord> rejected;
  for (const WaitingKey& key : waiting_) {
    const DispatchedJob& job = *jobs_.at(std::get<3>(key));
    if (!job.started && rejected.size() < kMaxRejectionsPerTick) {
      AdmissionRecord record = admission_.DecideWaiting(job, ahead.Of(job));
      if (record.decision != AdmissionDecision::eAccepted) {
        rejected.push_back(record);
        continue;
      }
    }
    ahead.Add(job);
  }
  for (const AdmissionRecord& record : rejected) {
    RejectByForecast(record);
  }
}

void
JobDispatcher::RejectByForecast(const AdmissionRecord& aRecord)
{
  if (hooks_.admissionDecided) {
    hooks_.admissionDecided(aRecord);
  }
  if (aRecord.decision == AdmissionDecision::eAccepted) {
    return;
  }
  const DispatchedJob& job = *jobs_.at(aRecord.job);
  admission_.OnRejected(job);
  if (aRecord.decision == AdmissionDecision::eWithdrawn) {
    admission_.OnWaitEnded(job, aRecord.inputs.timeLeftMs);
  }
  End(aRecord.job,
      { DispatchResult::eRejected,
        DispatchReason::eOverload,
        aRecord.retryAfter });
}

}
