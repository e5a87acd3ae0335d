#include "coordination/execution/job_table.h"

namespace greengage::coordination {

using state::RunState;

namespace {

// Table entry, index nodes and key of an ended job, without its results.
constexpr std::size_t kEndedJobBytes = 700;

std::size_t
OutcomeBytes(const state::JobOutcome& aOutcome)
{
  std::size_t bytes = kEndedJobBytes + aOutcome.message.size();
  for (const std::string& result : aOutcome.results) {
    bytes += sizeof(result) + result.size();
  }
  return bytes;
}

}

RunState
OwnedJob::CurrentRunState() const
{
  if (certainlyStarted) {
    return RunState::eRan;
  }
  return running.empty() && !maybeStarted ? RunState::eNotRun
                                          : RunState::eUnknown;
}

OwnedJob*
JobTable::Find(const state::JobKey& aKey)
{
  auto job = jobs_.find(aKey);
  return job == jobs_.end() ? nullptr : &job->second;
}

OwnedJob*
JobTable::Find(JobHandle aHandle)
{
  auto job = byHandle_.find(aHandle);
  return job == byHandle_.end() ? nullptr : job->second;
}

OwnedJob&
JobTable::Insert(const state::JobKey& aKey)
{
  OwnedJob& job = jobs_[aKey];
  job.handle = ++lastHandle_;
  job.key = aKey;
  byHandle_.emplace(job.handle, &job);
  byCreation_.emplace(aKey.id.CreationTime(), job.handle);
  return job;
}

OwnedJob&
JobTable::Add(const state::JobSpec& aSpec, state::MonotonicTime aDeadline)
{
  OwnedJob& job = Insert(aSpec.Key());
  job.fingerprint = SpecFingerprint::Of(aSpec);
  job.spec = aSpec;
  job.deadline = aDeadline;
  job.tasks.resize(aSpec.TaskCount());
  job.missingResults = aSpec.TaskCount();
  byDeadline_.emplace(aDeadline, job.handle);
  return job;
}

OwnedJob&
JobTable::AddEnded(const state::JobKey& aKey)
{
  return Insert(aKey);
}

void
JobTable::AddRunning(OwnedJob& aJob,
                     const TaskRef& aTask,
                     const state::ProcessId& aAgent)
{
  aJob.running.emplace(aTask, aAgent);
  aJob.lastAgent = aAgent;
  byAgent_[aAgent].insert(aTask);
}

bool
JobTable::RemoveRunning(OwnedJob& aJob,
                        const TaskRef& aTask,
                        const state::ProcessId& aAgent)
{
  auto running = aJob.running.find(aTask);
  if (running == aJob.running.end() || running->second != aAgent) {
    return false;
  }
  aJob.running.erase(running);
  auto agent = byAgent_.find(aAgent);
  agent->second.erase(aTask);
  if (agent->second.empty()) {
    byAgent_.erase(agent);
  }
  return true;
}

std::vector<TaskRef>
JobTable::TasksOn(const state::ProcessId& aAgent) const
{
  auto agent = byAgent_.find(aAgent);
  if (agent == byAgent_.end()) {
    return {};
  }
  return { agent->second.begin(), agent->second.end() };
}

std::vector<JobHandle>
JobTable::PopOverdue(state::MonotonicTime aNow)
{
  std::vector<JobHandle> overdue;
  while (!byDeadline_.empty() && byDeadline_.begin()->first <= aNow) {
    overdue.push_back(byDeadline_.begin()->second);
    byDeadline_.erase(byDeadline_.begin());
  }
  return overdue;
}

void
JobTable::End(OwnedJob& aJob, state::JobOutcome aOutcome)
{
  byDeadline_.erase({ aJob.deadline, aJob.handle });
  if (aOutcome.complete) {
    completeJobs_.insert(aJob.handle);
  }
  endedBytes_ += OutcomeBytes(aOutcome);
  aJob.outcome = std::move(aOutcome);
  aJob.spec.reset();
  aJob.tasks = {};
  aJob.queuedAttempts = 0;
}

std::vector<JobHandle>
JobTable::ExpiredBefore(state::WallTime aOldest) const
{
  std::vector<JobHandle> expired;
  for (const auto& [created, handle] : byCreation_) {
    // Few jobs of this age have not ended, because every deadline is shorter
    // than kJobRetention.
    if (created >= aOldest) {
      break;
    }
    if (byHandle_.at(handle)->outcome) {
      expired.push_back(handle);
    }
  }
  return expired;
}

std::vector<JobHandle>
JobTable::CompleteJobsOverLimit(std::size_t aMaxBytes)
{
  std::vector<JobHandle> overLimit;
  std::size_t bytes = endedBytes_;
  for (JobHandle handle : completeJobs_) {
    if (bytes <= aMaxBytes) {
      break;
    }
    const OwnedJob& job = *byHandle_.at(handle);
    if (job.running.empty()) {
      bytes -= OutcomeBytes(*job.outcome);
      overLimit.push_back(handle);
    }
  }
  return overLimit;
}

void
JobTable::Remove(JobHandle aHandle)
{
  auto entry = byHandle_.find(aHandle);
  if (entry == byHandle_.end()) {
    return;
  }
  OwnedJob& job = *entry->second;
  for (const auto& [task, agent] : std::map(job.running)) {
    RemoveRunning(job, task, agent);
  }
  if (job.outcome) {
    endedBytes_ -= OutcomeBytes(*job.outcome);
  }
  completeJobs_.erase(aHandle);
  byCreation_.erase({ job.key.id.CreationTime(), aHandle });
  byDeadline_.erase({ job.deadline, aHandle });
  byHandle_.erase(entry);
  jobs_.erase(state::JobKey(job.key));
}

void
JobTable::Clear()
{
  jobs_.clear();
  byHandle_.clear();
  byAgent_.clear();
  byCreation_.clear();
  byDeadline_.clear();
  completeJobs_.clear();
  endedBytes_ = 0;
}

std::vector<JobHandle>
JobTable::LiveJobs() const
{
  std::vector<JobHandle> live;
  for (const auto& [handle, job] : byHandle_) {
    if (!job->outcome) {
      live.push_back(handle);
    }
  }
  return live;
}

}
