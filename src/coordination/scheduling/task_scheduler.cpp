#include "coordination/scheduling/task_scheduler.h"

#include <algorithm>

namespace greengage::coordination {

using state::RefusalCode;
using state::TaskState;

namespace {

// Weight of the latest task in the moving mean of the work of started tasks.
constexpr double kMeanWorkGain = 1.0 / 64;

bool
IsServerFailure(const state::TaskRecord& aRecord)
{
  switch (aRecord.code) {
    case RefusalCode::eTaskFailed:
    case RefusalCode::eTaskTimeout:
    case RefusalCode::eBackendUnreachable:
    case RefusalCode::eOutcomeUnknown:
      return aRecord.taskState == TaskState::eFailed ||
             aRecord.taskState == TaskState::eNotStarted;
    default:
      return false;
  }
}

}

TaskScheduler::TaskScheduler(const state::Clock& aClock,
                             SchedulerSettings aSettings)
  : clock_(aClock)
  , settings_(aSettings)
  , queue_(aSettings.agingPeriod)
  , health_(aSettings)
  , chooser_([this](const Candidate& aCandidate) { return Choose(aCandidate); })
{
}

void
TaskScheduler::SetTemplate(const state::WorkTemplate& aTemplate)
{
  TemplateIndex index = FindOrAddTemplate(aTemplate.Name());
  KnownTemplate& known = templates_[index];
  known.definition = aTemplate;
  known.needs = { aTemplate.MemoryMb(), aTemplate.Accelerators() };
  known.published = true;
  rates_.SetTemplate(index, aTemplate.ExpectedRunTime());
}

void
TaskScheduler::RemoveTemplate(const std::string& aName)
{
  auto known = templatesByName_.find(aName);
  if (known != templatesByName_.end()) {
    templates_[known->second].published = false;
  }
}

void
TaskScheduler::SetOrganisation(const state::OrganisationParameters& aParameters)
{
  queue_.SetOrganisation(aParameters);
  publishedOrganisations_.insert(aParameters.Name());
}

void
TaskScheduler::RemoveOrganisation(const std::string& aName)
{
  publishedOrganisations_.erase(aName);
}

void
TaskScheduler::SetServer(const ProcessInfo& aServer)
{
  bool known = servers_.Find(aServer.id).has_value();
  ServerIndex index = servers_.Set(aServer);
  if (!known) {
    rates_.ResetServer(index);
  }
  health_.AddServer(index, aServer.slots);
  fitsAnyServerCache_.clear();
}

void
TaskScheduler::RemoveServer(const state::ProcessId& aAgent)
{
  auto index = servers_.Find(aAgent);
  if (!index) {
    return;
  }
  auto now = clock_.MonotonicNow();
  for (const RunningTask& task : servers_.Remove(*index)) {
    std::chrono::duration<double> ran = now - task.startedAt;
    queue_.OnEnded(task.job, task.expectedSeconds, ran.count());
  }
  rates_.RemoveServer(*index);
  health_.RemoveServer(*index);
  fitsAnyServerCache_.clear();
}

void
TaskScheduler::Enqueue(JobHandle aJob,
                       const state::JobSpec& aSpec,
                       const std::vector<TaskRef>& aTasks,
                       state::MonotonicTime aDeadline)
{
  // A task that is queued again keeps the position of its job. The arrival time
  // of the job is computed from the deadline.
  auto queuedAt = std::min(clock_.MonotonicNow(), aDeadline - aSpec.Deadline());
  JobInfo info = DescribeJob(aJob, aSpec, queuedAt);
  std::vector<QueuedTask> tasks;
  tasks.reserve(aTasks.size());
  for (const TaskRef& ref : aTasks) {
    auto sizeClass = RateEstimator::ClassOf(aSpec.Payloads()[ref.task].size());
    double work = rates_.Work(info.workTemplate, sizeClass);
    tasks.push_back({ ref.task, ref.attempt, sizeClass, work });
  }
  queue_.AddTasks(queue_.OpenJob(info), std::move(tasks));
}

void
TaskScheduler::AdoptRunning(const state::ProcessId& aAgent,
                            const TaskRef& aTask,
                            const state::JobSpec& aSpec)
{
  auto server = servers_.Find(aAgent);
  if (!server) {
    return;
  }
  auto now = clock_.MonotonicNow();
  JobInfo info = DescribeJob(aTask.job, aSpec, now);
  auto sizeClass = RateEstimator::ClassOf(aSpec.Payloads()[aTask.task].size());
  RunningTask running{ aTask, now, queue_.OpenJob(info) };
  running.workTemplate = info.workTemplate;
  running.sizeClass = sizeClass;
  running.needs = info.needs;
  running.expectedSeconds =
    static_cast<float>(rates_.Work(info.workTemplate, sizeClass) /
                       rates_.Speed(*server, info.workTemplate));
  servers_.Start(*server, running);
  queue_.OnStarted(running.job, running.expectedSeconds);
}

void
TaskScheduler::DropQueued(JobHandle aJob)
{
  queue_.Drop(aJob);
}

std::vector<Assignment>
TaskScheduler::Assign()
{
  std::vector<Assignment> assignments;
  now_ = clock_.MonotonicNow();
  ReleaseHeldSlots();
  ApplyLimits(health_.Tick(now_));
  while (servers_.HasFreeServer()) {
    ++searchNumber_;
    auto dequeued = queue_.Dequeue(chooser_, now_);
    if (!dequeued) {
      break;
    }
    assignments.push_back(AssignTask(*dequeued));
  }
  counters_.assignments += assignments.size();
  return assignments;
}

void
TaskScheduler::OnTaskEnded(const state::ProcessId& aAgent,
                           const TaskRef& aTask,
                           const state::TaskRecord& aRecord)
{
  auto server = servers_.Find(aAgent);
  if (!server) {
    return;
  }
  auto ended = servers_.End(*server, aTask);
  if (!ended) {
    return;
  }
  bool ran = aRecord.taskState != TaskState::eNotStarted;
  std::chrono::duration<double> used = clock_.MonotonicNow() - ended->startedAt;
  queue_.OnEnded(ended->job, ended->expectedSeconds, ran ? used.count() : 0.0);
  if (!ran) {
    ++counters_.refusedStarts[std::size_t(aRecord.code)];
  }
  UpdateRates(*server, *ended, aRecord);
  UpdateHealth(*server, *ended, aRecord);
}

std::vector<ServerView>
TaskScheduler::ServerViews() const
{
  std::vector<ServerView> views;
  for (ServerIndex index : servers_.Indexes()) {
    views.push_back(
      { servers_.Info(index),
        static_cast<std::uint32_t>(servers_.Running(index).size()),
        rates_.Speed(index),
        health_.State(index) });
  }
  std::sort(
    views.begin(), views.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.info.id < aRight.info.id;
    });
  return views;
}

SchedulerCounters
TaskScheduler::Counters() const
{
  SchedulerCounters counters = counters_;
  counters.health = health_.Counters();
  return counters;
}

TemplateIndex
TaskScheduler::FindOrAddTemplate(const std::string& aName)
{
  auto [known, added] = templatesByName_.emplace(
    aName, static_cast<TemplateIndex>(templates_.size()));
  if (added) {
    templates_.emplace_back();
    rates_.SetTemplate(known->second,
                       templates_.back().definition.ExpectedRunTime());
  }
  return known->second;
}

JobInfo
TaskScheduler::DescribeJob(JobHandle aJob,
                           const state::JobSpec& aSpec,
                           state::MonotonicTime aQueuedAt)
{
  TemplateIndex index = FindOrAddTemplate(aSpec.TemplateName());
  return { aJob,
           queue_.FindOrAddOrganisation(aSpec.Key().organisation),
           index,
           templates_[index].needs,
           aSpec.Urgency(),
           aQueuedAt,
           aSpec.TaskCount() };
}

Choice
TaskScheduler::Choose(const Candidate& aCandidate)
{
  const BestSlot& best = FindBestSlot(aCandidate.job);
  if (!best.found) {
    return Choice::eSkipNeeds;
  }
  chosenServer_ = best.server;
  if (!settings_.waitForFaster) {
    return Choice::eStartLongest;
  }
  return ChooseTask(best.slot, servers_.FastestSpeed(), aCandidate, meanWork_);
}

const TaskScheduler::BestSlot&
TaskScheduler::FindBestSlot(const JobInfo& aJob)
{
  bestSlots_.resize(templates_.size());
  BestSlot& best = bestSlots_[aJob.workTemplate];
  if (best.searchNumber == searchNumber_) {
    return best;
  }
  best = { searchNumber_, false, 0, {} };
  double speed = 0;
  FreeServers free = servers_.FindFree(aJob.needs);
  for (std::size_t i = 0; i < free.count; ++i) {
    ServerIndex server = free.servers[i];
    double estimated = rates_.Speed(server, aJob.workTemplate);
    if (estimated > speed) {
      speed = estimated;
      best.server = server;
    }
  }
  best.found = free.count > 0;
  if (best.found) {
    best.slot = DescribeSlot(servers_, speed, servers_.ClassOf(best.server));
  }
  return best;
}

Assignment
TaskScheduler::AssignTask(const DequeuedTask& aDequeued)
{
  const JobInfo& info = queue_.Info(aDequeued.job);
  double work = rates_.Work(info.workTemplate, aDequeued.task.sizeClass);
  RunningTask running{
    { info.handle, aDequeued.task.task, aDequeued.task.attempt },
    now_,
    aDequeued.job
  };
  running.workTemplate = info.workTemplate;
  running.sizeClass = aDequeued.task.sizeClass;
  running.needs = info.needs;
  running.expectedSeconds =
    static_cast<float>(work / rates_.Speed(chosenServer_, info.workTemplate));
  meanWork_ += (work - meanWork_) * kMeanWorkGain;
  servers_.Start(chosenServer_, running);
  queue_.OnStarted(aDequeued.job, running.expectedSeconds);
  return { servers_.Info(chosenServer_).id, running.task };
}

void
TaskScheduler::ReleaseHeldSlots()
{
  while (!heldSlots_.empty() && heldSlots_.top().until <= now_) {
    HeldSlot slot = heldSlots_.top();
    heldSlots_.pop();
    if (servers_.Generation(slot.server) == slot.generation) {
      servers_.ReleaseHeldSlot(slot.server);
    }
  }
}

void
TaskScheduler::UpdateRates(ServerIndex aServer,
                           const RunningTask& aTask,
                           const state::TaskRecord& aRecord)
{
  if (aRecord.taskState != TaskState::eSucceeded) {
    return;
  }
  std::chrono::duration<double> ran = aRecord.runTime;
  rates_.AddSample(aServer, aTask.workTemplate, aTask.sizeClass, ran.count());
  servers_.SetSpeed(aServer, rates_.Speed(aServer));
}

void
TaskScheduler::UpdateHealth(ServerIndex aServer,
                            const RunningTask& aTask,
                            const state::TaskRecord& aRecord)
{
  bool succeeded = aRecord.taskState == TaskState::eSucceeded;
  if (succeeded || IsServerFailure(aRecord)) {
    HealthSample sample{
      aServer, aTask.workTemplate, aTask.task.job, !succeeded
    };
    ApplyLimits(health_.OnResult(sample, clock_.MonotonicNow()));
  }
  if (succeeded) {
    return;
  }
  if (aRecord.code == RefusalCode::eDraining) {
    servers_.SetDraining(aServer);
  }
  if (aRecord.code == RefusalCode::eBusy ||
      (IsServerFailure(aRecord) && health_.FailsRepeatedly(aServer))) {
    HoldSlot(aServer, aTask);
  }
}

void
TaskScheduler::HoldSlot(ServerIndex aServer, const RunningTask& aTask)
{
  std::chrono::duration<double> expected(aTask.expectedSeconds);
  auto until =
    aTask.startedAt +
    std::chrono::duration_cast<state::MonotonicTime::duration>(expected);
  if (until <= clock_.MonotonicNow()) {
    return;
  }
  servers_.HoldSlot(aServer);
  heldSlots_.push({ until, aServer, servers_.Generation(aServer) });
}

void
TaskScheduler::ApplyLimits(const std::vector<LimitChange>& aChanges)
{
  for (const LimitChange& change : aChanges) {
    servers_.SetLimit(change.server, change.limit);
  }
}

}
