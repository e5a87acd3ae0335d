#include "coordination/job_owner.h"

#include <fmt/format.h>

namespace greengage::coordination {

using state::JobOutcome;
using state::RefusalCode;
using state::RunState;
using state::TaskState;

JobOwner::JobOwner(std::uint32_t aShard,
                   TaskScheduler& aScheduler,
                   const state::Clock& aClock,
                   JobOwnerHooks aHooks)
  : shard_(aShard)
  , scheduler_(aScheduler)
  , clock_(aClock)
  , hooks_(std::move(aHooks))
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
  activatedAt_ = aActivatedAt;
  agentsComplete_ = aAgentsComplete;
  for (AgentInUse& agent : aAgents) {
    state::ProcessId id = agent.process.id;
    agents_.insert_or_assign(id, std::move(agent));
    hooks_.fence(id, { id, shard_, token_ });
  }
}

void
JobOwner::UpdateToken(const state::OwnershipToken& aToken)
{
  token_ = aToken;
}

void
JobOwner::AddAgent(const ProcessInfo& aAgent)
{
  agents_.insert_or_assign(aAgent.id, AgentInUse{ aAgent, std::nullopt });
  scheduler_.SetServer(aAgent);
}

void
JobOwner::UpdateAgent(const ProcessInfo& aAgent)
{
  auto known = agents_.find(aAgent.id);
  if (known != agents_.end() && !known->second.goneSince) {
    AddAgent(aAgent);
  }
}

void
JobOwner::Deactivate()
{
  active_ = false;
  for (const auto& [handle, key] : keys_) {
    scheduler_.DropQueued(handle);
  }
  jobs_.clear();
  keys_.clear();
  byCreation_.clear();
  byDeadline_.clear();
  for (const auto& [id, agent] : agents_) {
    scheduler_.RemoveServer(id);
  }
  agents_.clear();
}

void
JobOwner::OnSubmit(const state::ProcessId& aRequester, const SubmitJob& aSubmit)
{
  Requester requester{ aRequester, aSubmit.submission };
  const state::JobKey& key = aSubmit.spec.Key();
  if (!active_) {
    Answer(requester,
           key,
           JobOutcome::Failed(RefusalCode::eNotOwner,
                              RunState::eNotRun,
                              "this process does not own the job's shard"));
    return;
  }
  auto known = jobs_.find(key);
  if (known == jobs_.end()) {
    Accept(requester, aSubmit.spec);
    return;
  }
  Job& job = known->second;
  if (!(job.spec == aSubmit.spec)) {
    Answer(requester,
           key,
           JobOutcome::Failed(RefusalCode::eJobIdConflict,
                              RunState::eNotRun,
                              "the job ID is in use for another job"));
    return;
  }
  if (job.outcome) {
    Answer(requester, key, *job.outcome);
    return;
  }
  job.requesters.push_back(requester);
}

void
JobOwner::OnQuery(const state::ProcessId& aRequester, const QueryJob& aQuery)
{
  Requester requester{ aRequester, aQuery.submission };
  auto known = jobs_.find(aQuery.key);
  if (!active_ || known == jobs_.end()) {
    Answer(requester,
           aQuery.key,
           JobOutcome::Failed(active_ ? RefusalCode::eUnknownJob
                                      : RefusalCode::eNotOwner,
                              RunState::eUnknown,
                              "the job is not known here"));
    return;
  }
  if (!known->second.outcome) {
    Answer(requester,
           aQuery.key,
           JobOutcome::Failed(RefusalCode::eJobRunning,
                              RunState::eUnknown,
                              "the job has not ended"));
    return;
  }
  Answer(requester, aQuery.key, *known->second.outcome);
}

void
JobOwner::OnCancel(const state::ProcessId& aRequester, const CancelJob& aCancel)
{
  Requester requester{ aRequester, aCancel.submission };
  auto known = jobs_.find(aCancel.key);
  if (!active_ || known == jobs_.end()) {
    OnQuery(aRequester, { aCancel.submission, aCancel.key });
    return;
  }
  Job& job = known->second;
  if (!job.outcome) {
    bool untouched =
      job.running.empty() && job.missingResults == job.spec.TaskCount();
    EndJob(job,
           JobOutcome::Failed(RefusalCode::eCancelled,
                              untouched ? RunState::eNotRun : RunState::eRan,
                              "the job was cancelled"));
  }
  Answer(requester, aCancel.key, *job.outcome);
}

void
JobOwner::OnTaskResults(const TaskResults& aResults)
{
  if (!active_) {
    return;
  }
  for (const state::TaskRecord& record : aResults.records) {
    HandleRecord(aResults.agent, record);
  }
}

void
JobOwner::OnAgentGone(const state::ProcessId& aAgent)
{
  scheduler_.RemoveServer(aAgent);
  auto gone = agents_.find(aAgent);
  if (gone != agents_.end() && !gone->second.goneSince) {
    gone->second.goneSince = clock_.WallNow();
  }
  for (auto& [key, job] : jobs_) {
    if (job.outcome) {
      continue;
    }
    for (const auto& [task, agent] : job.running) {
      if (agent == aAgent) {
        EndJob(job,
               JobOutcome::Failed(RefusalCode::eOutcomeUnknown,
                                  RunState::eUnknown,
                                  "a worker was lost while it ran the job"));
        break;
      }
    }
  }
}

void
JobOwner::Tick()
{
  auto now = clock_.MonotonicNow();
  while (!byDeadline_.empty() && byDeadline_.begin()->first <= now) {
    auto job = jobs_.find(byDeadline_.begin()->second);
    byDeadline_.erase(byDeadline_.begin());
    if (job == jobs_.end() || job->second.outcome) {
      continue;
    }
    bool untouched = job->second.running.empty() &&
                     job->second.missingResults == job->second.spec.TaskCount();
    EndJob(job->second,
           JobOutcome::Failed(RefusalCode::eDeadlineExceeded,
                              untouched ? RunState::eNotRun : RunState::eRan,
                              "the deadline passed before the job ended"));
  }
  auto oldest = clock_.WallNow() - state::kJobMemory - state::kClockMargin;
  while (!byCreation_.empty() && byCreation_.begin()->first < oldest) {
    auto job = jobs_.find(byCreation_.begin()->second);
    if (job != jobs_.end() && !job->second.outcome) {
      break;
    }
    if (job != jobs_.end()) {
      keys_.erase(job->second.handle);
      jobs_.erase(job);
    }
    byCreation_.erase(byCreation_.begin());
  }
}

void
JobOwner::Dispatch()
{
  if (!active_) {
    return;
  }
  std::map<state::ProcessId, StartTasks> batches;
  for (const Assignment& assignment : scheduler_.Assign()) {
    auto key = keys_.find(assignment.task.job);
    if (key == keys_.end()) {
      scheduler_.OnTaskEnded(assignment.agent, assignment.task, {});
      continue;
    }
    Job& job = jobs_.at(key->second);
    job.running.emplace(assignment.task, assignment.agent);
    StartTasks& batch = batches[assignment.agent];
    batch.agent = assignment.agent;
    batch.shard = shard_;
    batch.token = token_;
    auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      job.deadline - clock_.MonotonicNow());
    batch.tasks.push_back({ key->second,
                            assignment.task.task,
                            assignment.task.attempt,
                            job.spec.TemplateName(),
                            job.spec.Payloads()[assignment.task.task],
                            remaining });
  }
  for (auto& [agent, batch] : batches) {
    hooks_.startTasks(agent, std::move(batch));
  }
}

void
JobOwner::Answer(const Requester& aRequester,
                 const state::JobKey& aKey,
                 JobOutcome aOutcome)
{
  hooks_.answer(aRequester.process,
                { aRequester.submission, aKey, std::move(aOutcome) });
}

std::optional<JobOutcome>
JobOwner::CheckTime(const state::JobKey& aKey) const
{
  auto created = aKey.id.CreationTime();
  auto now = clock_.WallNow();
  if (created + state::kJobMemory < now) {
    return JobOutcome::Failed(RefusalCode::eJobIdExpired,
                              RunState::eUnknown,
                              "the job ID is older than 10 minutes");
  }
  if (created > now + state::kMaxClockAhead) {
    return JobOutcome::Failed(
      RefusalCode::eJobIdInFuture,
      RunState::eNotRun,
      "the job ID was created in the future; check the caller's clock");
  }
  return std::nullopt;
}

void
JobOwner::Accept(const Requester& aRequester, const state::JobSpec& aSpec)
{
  if (auto refused = CheckTime(aSpec.Key())) {
    Answer(aRequester, aSpec.Key(), *refused);
    return;
  }
  auto admitted = scheduler_.Admit(aSpec);
  if (!admitted) {
    Answer(aRequester,
           aSpec.Key(),
           JobOutcome::Failed(admitted.error().code,
                              RunState::eNotRun,
                              admitted.error().message,
                              admitted.error().retryAfter));
    return;
  }
  Job job;
  job.handle = ++lastHandle_;
  job.spec = aSpec;
  job.deadline = clock_.MonotonicNow() + aSpec.Deadline();
  job.results.resize(aSpec.TaskCount());
  job.missingResults = aSpec.TaskCount();
  job.requesters.push_back(aRequester);
  std::vector<TaskRef> tasks;
  for (std::uint32_t i = 0; i < aSpec.TaskCount(); ++i) {
    tasks.push_back({ job.handle, i, 0 });
  }
  scheduler_.Enqueue(job.handle, aSpec, tasks, job.deadline);
  keys_.emplace(job.handle, aSpec.Key());
  byCreation_.emplace(aSpec.Key().id.CreationTime(), aSpec.Key());
  byDeadline_.emplace(job.deadline, aSpec.Key());
  jobs_.emplace(aSpec.Key(), std::move(job));
}

void
JobOwner::HandleRecord(const state::ProcessId& aAgent,
                       const state::TaskRecord& aRecord)
{
  auto known = jobs_.find(aRecord.key);
  if (known == jobs_.end()) {
    return;
  }
  Job& job = known->second;
  TaskRef task{ job.handle, aRecord.task, aRecord.attempt };
  scheduler_.OnTaskEnded(aAgent, task, aRecord);
  auto running = job.running.find(task);
  if (running == job.running.end() || running->second != aAgent) {
    return;
  }
  job.running.erase(running);
  if (job.outcome) {
    return;
  }
  if (aRecord.taskState == TaskState::eNotStarted) {
    scheduler_.Enqueue(job.handle, job.spec, { task }, job.deadline);
    return;
  }
  if (aRecord.taskState != TaskState::eSucceeded) {
    EndJob(job,
           JobOutcome::Failed(
             aRecord.code,
             aRecord.code == RefusalCode::eOutcomeUnknown ? RunState::eUnknown
                                                          : RunState::eRan,
             fmt::format("task {}: {}", aRecord.task, aRecord.body)));
    return;
  }
  job.results[aRecord.task] = aRecord.body;
  if (--job.missingResults > 0) {
    return;
  }
  std::vector<std::string> results;
  for (auto& result : job.results) {
    results.push_back(*std::move(result));
  }
  EndJob(job, JobOutcome::Complete(std::move(results)));
}

void
JobOwner::EndJob(Job& aJob, JobOutcome aOutcome)
{
  scheduler_.DropQueued(aJob.handle);
  std::map<state::ProcessId, bool> agents;
  for (const auto& [task, agent] : aJob.running) {
    agents[agent] = true;
  }
  for (const auto& [agent, affected] : agents) {
    hooks_.cancelTasks(agent, { agent, shard_, token_, { aJob.spec.Key() } });
  }
  aJob.outcome = std::move(aOutcome);
  for (const Requester& requester : aJob.requesters) {
    Answer(requester, aJob.spec.Key(), *aJob.outcome);
  }
  aJob.requesters.clear();
}

}
