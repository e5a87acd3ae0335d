#include "coordination/execution/job_owner.h"

#include <algorithm>
#include <set>

namespace greengage::coordination {

using state::JobOutcome;
using state::RefusalCode;
using state::RunState;
using state::TaskState;

JobOwner::JobOwner(std::uint32_t aShard,
                   TaskScheduler& aScheduler,
                   const state::Clock& aClock,
                   JobOwnerHooks aHooks,
                   const JobOwnerOptions& aOptions)
  : shard_(aShard)
  , scheduler_(aScheduler)
  , clock_(aClock)
  , hooks_(std::move(aHooks))
  , options_(aOptions)
  , execution_(aShard,
               aScheduler,
               aClock,
               table_,
               counters_,
               { hooks_.startTasks,
                 hooks_.cancelTasks,
                 [this](OwnedJob& aJob) { OnJobEnded(aJob); } })
  , recovery_(aShard,
              aClock,
              agents_,
              { hooks_.fence,
                hooks_.queryHistory,
                [this](const state::JobKey& aKey, const JobHistory& aHistory) {
                  OnHistory(aKey, aHistory);
                },
                [this](const state::ProcessId& aAgent,
                       const std::vector<state::JobKey>& aKeys,
                       const std::vector<state::TaskRecord>& aRecords) {
                  execution_.OnResynced(aAgent, aKeys, aRecords);
                } })
{
}

void
JobOwner::Activate(const state::OwnershipToken& aToken,
                   state::WallTime aActivatedAt,
                   std::vector<AgentInUse> aAgents,
                   bool aAgentsComplete)
{
  Deactivate();
  active_ = true;
  token_ = aToken;
  execution_.SetToken(aToken);
  agents_.Reset(std::move(aAgents));
  recovery_.Start(aToken, aActivatedAt, aAgentsComplete);
}

void
JobOwner::UpdateToken(const state::OwnershipToken& aToken)
{
  token_ = aToken;
  execution_.SetToken(aToken);
  recovery_.UpdateToken(aToken);
}

void
JobOwner::Deactivate()
{
  active_ = false;
  execution_.Clear();
  for (const state::ProcessId& agent : agents_.All()) {
    scheduler_.RemoveServer(agent);
  }
  agents_.Reset({});
  recovery_.Stop();
  recoveringRequests_.clear();
}

void
JobOwner::AddAgent(const ProcessInfo& aAgent)
{
  if (!active_) {
    return;
  }
  agents_.Add(aAgent);
  recovery_.OnAgentAdded(aAgent.id);
  scheduler_.SetServer(aAgent);
}

void
JobOwner::UpdateAgent(const ProcessInfo& aAgent)
{
  if (agents_.IsUsable(aAgent.id)) {
    AddAgent(aAgent);
  }
}

void
JobOwner::OnAgentLost(const state::ProcessId& aAgent)
{
  agents_.MarkLost(aAgent, clock_.WallNow());
  execution_.OnAgentLost(aAgent);
}

void
JobOwner::ResyncAgent(const state::ProcessId& aAgent)
{
  std::set<state::JobKey> keys;
  for (const TaskRef& task : table_.TasksOn(aAgent)) {
    keys.insert(table_.Find(task.job)->key);
  }
  recovery_.Resync(aAgent, { keys.begin(), keys.end() });
}

void
JobOwner::OnSubmit(const state::ProcessId& aRequester, const SubmitJob& aSubmit)
{
  Requester requester{ aRequester, aSubmit.submission };
  const state::JobKey& key = aSubmit.spec.Key();
  if (auto refused = refusedSubmissions_.Find(requester)) {
    Answer(requester, key, *std::move(refused));
    return;
  }
  if (!active_) {
    RefuseSubmit(
      requester,
      key,
      JobOutcome::Failed(RefusalCode::eNotOwner,
                         RunState::eNotRun,
                         "this process does not own the job's shard"));
    return;
  }
  if (OwnedJob* known = table_.Find(key)) {
    Attach(*known, requester, aSubmit.spec);
    return;
  }
  if (auto refused = CheckCreationTime(key)) {
    RefuseSubmit(requester, key, *std::move(refused));
    return;
  }
  if (!NeedsHistory(key)) {
    if (OwnedJob* job = Accept(requester, aSubmit.spec, true)) {
      execution_.Begin(*job);
    }
    return;
  }
  recoveringRequests_[key].submits.try_emplace(requester, aSubmit.spec);
  recovery_.RequestHistory(key);
}

void
JobOwner::OnQuery(const state::ProcessId& aRequester, const QueryJob& aQuery)
{
  Requester requester{ aRequester, aQuery.submission };
  if (const OwnedJob* known = table_.Find(aQuery.key)) {
    AnswerQuery(requester, *known);
    return;
  }
  if (active_ && !CheckCreationTime(aQuery.key) && NeedsHistory(aQuery.key)) {
    recoveringRequests_[aQuery.key].queries.push_back(requester);
    recovery_.RequestHistory(aQuery.key);
    return;
  }
  Answer(requester,
         aQuery.key,
         JobOutcome::Failed(active_ ? RefusalCode::eUnknownJob
                                    : RefusalCode::eNotOwner,
                            RunState::eUnknown,
                            "the job is not known here"));
}

void
JobOwner::OnCancel(const state::ProcessId& aRequester, const CancelJob& aCancel)
{
  Requester requester{ aRequester, aCancel.submission };
  if (OwnedJob* known = table_.Find(aCancel.key)) {
    CancelOwnedJob(requester, *known);
    return;
  }
  if (active_ && !CheckCreationTime(aCancel.key) && NeedsHistory(aCancel.key)) {
    recoveringRequests_[aCancel.key].cancels.push_back(requester);
    recovery_.RequestHistory(aCancel.key);
    return;
  }
  OnQuery(aRequester, { aCancel.submission, aCancel.key });
}

void
JobOwner::OnTaskResults(const TaskResults& aResults)
{
  if (!active_) {
    return;
  }
  for (const state::TaskRecord& record : aResults.records) {
    recovery_.OnResult(aResults.agent, record);
    execution_.OnRecord(aResults.agent, record);
    if (record.code == RefusalCode::eDraining &&
        agents_.IsUsable(aResults.agent)) {
      ProcessInfo agent = agents_.Find(aResults.agent)->process;
      agent.draining = true;
      AddAgent(agent);
    }
  }
}

void
JobOwner::OnFenceReply(const FenceReply& aReply)
{
  recovery_.OnFenceReply(aReply);
}

void
JobOwner::OnHistoryReply(const HistoryReply& aReply)
{
  if (!recovery_.OnHistoryReply(aReply)) {
    ++counters_.lateHistoryReplies;
  }
}

void
JobOwner::Tick()
{
  if (!active_) {
    return;
  }
  execution_.Tick();
  recovery_.Tick();
  DropOldJobs();
}

void
JobOwner::DropOldJobs()
{
  auto oldest = clock_.WallNow() - state::kJobRetention - state::kClockMargin;
  for (JobHandle job : table_.ExpiredBefore(oldest)) {
    execution_.Drop(job);
  }
  for (JobHandle job : table_.CompleteJobsOverLimit(options_.maxEndedBytes)) {
    recovery_.OnJobDropped(table_.Find(job)->key.id.CreationTime());
    execution_.Drop(job);
    ++counters_.droppedJobs;
  }
}

void
JobOwner::Dispatch()
{
  if (active_) {
    execution_.Dispatch();
  }
}

void
JobOwner::Answer(const Requester& aRequester,
                 const state::JobKey& aKey,
                 JobOutcome aOutcome)
{
  if (!aOutcome.complete) {
    counters_.refusals.Add(aOutcome.code);
  }
  hooks_.answer(aRequester.process,
                { aRequester.submission, aKey, std::move(aOutcome) });
}

void
JobOwner::RefuseSubmit(const Requester& aRequester,
                       const state::JobKey& aKey,
                       JobOutcome aOutcome)
{
  if (aOutcome.run == RunState::eNotRun) {
    refusedSubmissions_.Add(aRequester, aOutcome);
  }
  Answer(aRequester, aKey, std::move(aOutcome));
}

std::optional<JobOutcome>
JobOwner::CheckCreationTime(const state::JobKey& aKey) const
{
  auto created = aKey.id.CreationTime();
  auto now = clock_.WallNow();
  if (created + state::kJobRetention < now) {
    return JobOutcome::Failed(RefusalCode::eJobIdExpired,
                              RunState::eUnknown,
                              "the job ID is older than 10 minutes");
  }
  if (created > now + state::kMaxClockAhead) {
    // An earlier owner whose clock is ahead may have accepted the job.
    return JobOutcome::Failed(
      RefusalCode::eJobIdInFuture,
      NeedsHistory(aKey) ? RunState::eUnknown : RunState::eNotRun,
      "the job ID was created in the future; check the caller's clock");
  }
  return std::nullopt;
}

void
JobOwner::Attach(OwnedJob& aJob,
                 const Requester& aRequester,
                 const state::JobSpec& aSpec)
{
  bool isSameJob = aJob.fingerprint == SpecFingerprint{} ||
                   aJob.fingerprint == SpecFingerprint::Of(aSpec);
  if (!isSameJob) {
    // An earlier owner may have run the job with this spec.
    RefuseSubmit(aRequester,
                 aSpec.Key(),
                 JobOutcome::Failed(RefusalCode::eJobIdConflict,
                                    aJob.recovered ? RunState::eUnknown
                                                   : RunState::eNotRun,
                                    "the job ID is in use for another job"));
    return;
  }
  if (aJob.outcome) {
    Answer(aRequester, aSpec.Key(), *aJob.outcome);
    return;
  }
  auto& requesters = aJob.requesters;
  auto known = std::find(requesters.begin(), requesters.end(), aRequester);
  if (known == requesters.end()) {
    requesters.push_back(aRequester);
  }
}

OwnedJob*
JobOwner::Accept(const Requester& aRequester,
                 const state::JobSpec& aSpec,
                 bool aCheckAdmission)
{
  if (aCheckAdmission) {
    auto admitted = scheduler_.Admit(aSpec);
    if (!admitted) {
      RefuseSubmit(aRequester,
                   aSpec.Key(),
                   JobOutcome::Failed(admitted.error().code,
                                      RunState::eNotRun,
                                      admitted.error().message,
                                      admitted.error().retryAfter));
      return nullptr;
    }
  }
  OwnedJob& job = table_.Add(aSpec, clock_.MonotonicNow() + aSpec.Deadline());
  job.requesters.push_back(aRequester);
  return &job;
}

void
JobOwner::AnswerQuery(const Requester& aRequester, const OwnedJob& aJob)
{
  if (aJob.outcome) {
    Answer(aRequester, aJob.key, *aJob.outcome);
    return;
  }
  Answer(aRequester,
         aJob.key,
         JobOutcome::Failed(RefusalCode::eJobRunning,
                            RunState::eUnknown,
                            "the job has not ended"));
}

void
JobOwner::CancelOwnedJob(const Requester& aRequester, OwnedJob& aJob)
{
  if (aJob.outcome) {
    Answer(aRequester, aJob.key, *aJob.outcome);
    return;
  }
  // If the answer is lost, an entry submits the job to the next owner, which
  // may have no record of the cancellation.
  bool isOnlyRequester =
    std::all_of(aJob.requesters.begin(),
                aJob.requesters.end(),
                [&](const Requester& aOther) {
                  return aOther.process == aRequester.process;
                });
  auto outcome = JobOutcome::Failed(
    RefusalCode::eCancelled, aJob.CurrentRunState(), "the job was cancelled");
  JobOutcome answer = outcome;
  if (answer.run == RunState::eNotRun && !isOnlyRequester) {
    answer.run = RunState::eUnknown;
  }
  // Must be sent before the answers to the submissions: the router compares it
  // with the pending submissions that it ends.
  Answer(aRequester, aJob.key, std::move(answer));
  execution_.End(aJob, std::move(outcome));
}

void
JobOwner::OnJobEnded(OwnedJob& aJob)
{
  for (const Requester& requester : std::exchange(aJob.requesters, {})) {
    Answer(requester, aJob.key, *aJob.outcome);
  }
}

}
