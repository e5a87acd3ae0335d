#include "coordination/execution/job_execution.h"

#include <algorithm>
#include <set>

namespace greengage::coordination {

using state::JobOutcome;
using state::RefusalCode;
using state::RunState;
using state::TaskRecord;
using state::TaskState;

JobExecution::JobExecution(std::uint32_t aShard,
                           TaskScheduler& aScheduler,
                           const state::Clock& aClock,
                           JobTable& aTable,
                           OwnerCounters& aCounters,
                           JobExecutionHooks aHooks)
  : shard_(aShard)
  , scheduler_(aScheduler)
  , clock_(aClock)
  , table_(aTable)
  , counters_(aCounters)
  , hooks_(std::move(aHooks))
{
}

void
JobExecution::Clear()
{
  for (JobHandle job : table_.LiveJobs()) {
    scheduler_.DropQueued(job);
  }
  table_.Clear();
  attemptTimer_.Clear();
}

void
JobExecution::Begin(OwnedJob& aJob)
{
  std::vector<TaskRef> tasks;
  for (std::uint32_t i = 0; i < aJob.tasks.size(); ++i) {
    tasks.push_back({ aJob.handle, i, aJob.tasks[i].nextAttempt++ });
  }
  aJob.queuedAttempts += tasks.size();
  scheduler_.Enqueue(aJob.handle, *aJob.spec, tasks, aJob.deadline);
}

void
JobExecution::Resume(OwnedJob& aJob,
                     const MergedHistory& aHistory,
                     bool aComplete)
{
  aJob.certainlyStarted = aHistory.started;
  aJob.maybeStarted = !aComplete;
  for (std::uint32_t i = 0; i < aHistory.tasks.size(); ++i) {
    const TaskHistory& task = aHistory.tasks[i];
    aJob.tasks[i].nextAttempt = task.nextAttempt;
    aJob.tasks[i].result = task.result;
    aJob.missingResults -= task.result ? 1 : 0;
    for (const AgentRecord& running : task.running) {
      TaskRef ref{ aJob.handle, i, running.record.attempt };
      table_.AddRunning(aJob, ref, running.agent);
      scheduler_.AdoptRunning(running.agent, ref, *aJob.spec);
    }
  }
  ResumePlan plan = PlanResume(*aJob.spec, aHistory, aComplete);
  if (plan.outcome && plan.mayRetry) {
    RetryOrEnd(aJob, counters_.retriesAfterAgentLoss, *std::move(plan.outcome));
    return;
  }
  if (plan.outcome) {
    End(aJob, *std::move(plan.outcome));
    return;
  }
  for (std::uint32_t task : plan.tasksToStart) {
    EnqueueNextAttempt(aJob, task, {});
  }
  EndIfComplete(aJob);
}

void
JobExecution::End(OwnedJob& aJob, JobOutcome aOutcome)
{
  if (aJob.outcome) {
    return;
  }
  scheduler_.DropQueued(aJob.handle);
  if (!aOutcome.complete || !aJob.running.empty()) {
    CancelAtAgents(aJob);
  }
  table_.End(aJob, std::move(aOutcome));
  hooks_.jobEnded(aJob);
}

void
JobExecution::CancelAtAgents(const OwnedJob& aJob)
{
  std::set<state::ProcessId> agents;
  for (const auto& [task, agent] : aJob.running) {
    agents.insert(agent);
  }
  if (agents.empty() && aJob.lastAgent) {
    // One agent records the end of the job for the next owner.
    agents.insert(*aJob.lastAgent);
  }
  for (const state::ProcessId& agent : agents) {
    hooks_.cancelTasks(agent, { agent, shard_, token_, { aJob.key } });
  }
}

void
JobExecution::Enqueue(OwnedJob& aJob, const TaskRef& aTask)
{
  scheduler_.Enqueue(aJob.handle, *aJob.spec, { aTask }, aJob.deadline);
}

void
JobExecution::EnqueueNextAttempt(OwnedJob& aJob,
                                 std::uint32_t aTask,
                                 std::chrono::milliseconds aDelay)
{
  TaskRef task{ aJob.handle, aTask, aJob.tasks[aTask].nextAttempt++ };
  ++aJob.queuedAttempts;
  if (aDelay.count() == 0) {
    Enqueue(aJob, task);
    return;
  }
  attemptTimer_.ScheduleRetry(task, clock_.MonotonicNow() + aDelay);
}

void
JobExecution::OnAgentLost(const state::ProcessId& aAgent)
{
  scheduler_.RemoveServer(aAgent);
  for (const TaskRef& task : table_.TasksOn(aAgent)) {
    OwnedJob* job = table_.Find(task.job);
    table_.RemoveRunning(*job, task, aAgent);
    job->maybeStarted = true;
    if (job->outcome) {
      continue;
    }
    // The task may have started, so the outcome cannot be not_run.
    auto lost =
      UnknownOutcome("a worker was lost while it was running the job");
    if (job->spec->Idempotent()) {
      RetryOrEnd(*job, counters_.retriesAfterAgentLoss, std::move(lost));
    } else {
      End(*job, std::move(lost));
    }
  }
}

void
JobExecution::OnResynced(const state::ProcessId& aAgent,
                         const std::vector<state::JobKey>& aKeys,
                         const std::vector<TaskRecord>& aRecords)
{
  std::set<std::tuple<state::JobKey, std::uint32_t, std::uint32_t>> recorded;
  for (const TaskRecord& record : aRecords) {
    recorded.emplace(record.key, record.task, record.attempt);
    OwnedJob* job = table_.Find(record.key);
    TaskRef task{ job ? job->handle : 0, record.task, record.attempt };
    if (job && job->running.contains(task)) {
      OnRecord(aAgent, record);
    }
  }
  Batches batches;
  for (const state::JobKey& key : aKeys) {
    OwnedJob* job = table_.Find(key);
    if (!job || job->outcome) {
      continue;
    }
    for (const auto& [task, agent] : job->running) {
      // The start was lost. It is sent again to the same agent as the same
      // attempt: if the first copy still arrives, the agent's start registry
      // refuses one of the two.
      if (agent == aAgent &&
          !recorded.contains({ key, task.task, task.attempt })) {
        AddStart(batches, *job, task, agent);
      }
    }
  }
  for (auto& [agent, batch] : batches) {
    hooks_.startTasks(agent, std::move(batch));
  }
}

void
JobExecution::Drop(JobHandle aJob)
{
  OwnedJob* job = table_.Find(aJob);
  TaskRecord unknown;
  unknown.key = job->key;
  for (const auto& [task, agent] : job->running) {
    scheduler_.OnTaskEnded(agent, task, unknown);
  }
  table_.Remove(aJob);
}

void
JobExecution::Tick()
{
  EndOverdueJobs();
  EnqueueDelayed();
  StartHedges();
}

void
JobExecution::EndOverdueJobs()
{
  for (JobHandle handle : table_.PopOverdue(clock_.MonotonicNow())) {
    OwnedJob* job = table_.Find(handle);
    End(*job,
        JobOutcome::Failed(RefusalCode::eDeadlineExceeded,
                           job->CurrentRunState(),
                           "the deadline passed before the job ended"));
  }
}

void
JobExecution::EnqueueDelayed()
{
  for (const TaskRef& task :
       attemptTimer_.PopDueRetries(clock_.MonotonicNow())) {
    OwnedJob* job = table_.Find(task.job);
    if (job && !job->outcome) {
      Enqueue(*job, task);
    }
  }
}

void
JobExecution::StartHedges()
{
  for (JobHandle handle : attemptTimer_.PopDueHedges(clock_.MonotonicNow())) {
    OwnedJob* job = table_.Find(handle);
    bool canHedge = job && !job->outcome && !job->hedged &&
                    job->running.size() == 1 && job->queuedAttempts == 0;
    if (!canHedge) {
      continue;
    }
    if (!retryBudget_.TryConsume()) {
      ++counters_.retriesOverBudget;
      continue;
    }
    job->hedged = true;
    ++counters_.hedges;
    EnqueueNextAttempt(*job, 0, {});
  }
}

void
JobExecution::Dispatch()
{
  // Tasks whose deadline has passed must not start.
  EndOverdueJobs();
  Batches batches;
  for (const Assignment& assignment : scheduler_.Assign()) {
    OwnedJob* job = table_.Find(assignment.task.job);
    if (!job || job->outcome) {
      scheduler_.OnTaskEnded(assignment.agent, assignment.task, {});
      continue;
    }
    --job->queuedAttempts;
    table_.AddRunning(*job, assignment.task, assignment.agent);
    AddStart(batches, *job, assignment.task, assignment.agent);
    if (job->spec->TaskCount() == 1 && assignment.task.attempt == 0) {
      retryBudget_.OnStart();
    }
    if (job->spec->Idempotent() && !job->hedged) {
      attemptTimer_.ScheduleHedge(
        job->handle, job->spec->TemplateName(), clock_.MonotonicNow());
    }
  }
  for (auto& [agent, batch] : batches) {
    hooks_.startTasks(agent, std::move(batch));
  }
}

void
JobExecution::AddStart(Batches& aBatches,
                       OwnedJob& aJob,
                       const TaskRef& aTask,
                       const state::ProcessId& aAgent)
{
  StartTasks& batch = aBatches[aAgent];
  batch.agent = aAgent;
  batch.shard = shard_;
  batch.token = token_;
  auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
    aJob.deadline - clock_.MonotonicNow());
  batch.tasks.push_back({ aJob.key,
                          aTask.task,
                          aTask.attempt,
                          aJob.spec->TemplateName(),
                          aJob.spec->Payloads()[aTask.task],
                          remaining });
  ++counters_.starts;
}

}
