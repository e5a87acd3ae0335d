#include "coordination/scheduling/fair_queue.h"

#include <algorithm>
#include <numeric>

namespace greengage::coordination {

FairQueue::FairQueue(std::chrono::milliseconds aAgingPeriod)
  : agingPeriod_(aAgingPeriod)
{
}

OrganisationIndex
FairQueue::SetOrganisation(const state::OrganisationParameters& aParameters)
{
  OrganisationIndex index = FindOrAddOrganisation(aParameters.Name());
  OrganisationState& organisation = organisations_[index];
  if (organisation.active) {
    activeWeight_ += aParameters.Weight() - organisation.parameters.Weight();
  }
  organisation.parameters = aParameters;
  UpdateActiveKey(index);
  return index;
}

OrganisationIndex
FairQueue::FindOrAddOrganisation(const std::string& aName)
{
  auto [known, added] = organisationsByName_.emplace(
    aName, static_cast<OrganisationIndex>(organisations_.size()));
  if (added) {
    organisations_.emplace_back();
  }
  return known->second;
}

std::optional<OrganisationIndex>
FairQueue::Find(const std::string& aName) const
{
  auto known = organisationsByName_.find(aName);
  if (known == organisationsByName_.end()) {
    return std::nullopt;
  }
  return known->second;
}

const state::OrganisationParameters&
FairQueue::Parameters(OrganisationIndex aOrganisation) const
{
  return organisations_[aOrganisation].parameters;
}

JobIndex
FairQueue::OpenJob(const JobInfo& aInfo)
{
  auto known = jobsByHandle_.find(aInfo.handle);
  if (known != jobsByHandle_.end()) {
    return known->second;
  }
  JobIndex index = 0;
  if (unusedJobIndexes_.empty()) {
    index = static_cast<JobIndex>(jobs_.size());
    jobs_.emplace_back();
  } else {
    index = unusedJobIndexes_.back();
    unusedJobIndexes_.pop_back();
  }
  Job& job = jobs_[index];
  job = Job{};
  job.info = aInfo;
  job.orderKey = OrderKeyOf(aInfo);
  jobsByHandle_.emplace(aInfo.handle, index);
  return index;
}

void
FairQueue::AddTasks(JobIndex aJob, std::vector<QueuedTask> aTasks)
{
  if (aTasks.empty()) {
    RemoveIfDone(aJob);
    return;
  }
  Job& job = jobs_[aJob];
  for (const QueuedTask& task : aTasks) {
    UpdateQueuedWork(job, task, 1);
  }
  bool hadNoTasks = job.Empty();
  if (hadNoTasks) {
    job.tasks = std::move(aTasks);
  } else {
    job.tasks.erase(job.tasks.begin(), job.tasks.begin() + job.nextTask);
    job.tasks.insert(job.tasks.end(), aTasks.begin(), aTasks.end());
  }
  job.nextTask = 0;
  std::stable_sort(job.tasks.begin(),
                   job.tasks.end(),
                   [](const QueuedTask& aLeft, const QueuedTask& aRight) {
                     return aLeft.work > aRight.work;
                   });
  if (hadNoTasks) {
    AddToTemplateQueue(aJob);
  }
  UpdateActiveKey(job.info.organisation);
}

void
FairQueue::Drop(JobHandle aJob)
{
  auto known = jobsByHandle_.find(aJob);
  if (known == jobsByHandle_.end()) {
    return;
  }
  JobIndex index = known->second;
  Job& job = jobs_[index];
  if (!job.Empty()) {
    for (std::size_t i = job.nextTask; i < job.tasks.size(); ++i) {
      UpdateQueuedWork(job, job.tasks[i], -1);
    }
    job.tasks.clear();
    job.nextTask = 0;
    RemoveFromTemplateQueue(index);
    UpdateActiveKey(job.info.organisation);
  }
  RemoveIfDone(index);
}

void
FairQueue::OnStarted(JobIndex aJob, double aExpectedSeconds)
{
  Job& job = jobs_[aJob];
  ++job.running;
  OrganisationState& organisation = organisations_[job.info.organisation];
  ++organisation.running;
  organisation.virtualStart +=
    aExpectedSeconds / organisation.parameters.Weight();
  UpdateActiveKey(job.info.organisation);
}

void
FairQueue::OnEnded(JobIndex aJob,
                   double aExpectedSeconds,
                   double aActualSeconds)
{
  Job& job = jobs_[aJob];
  --job.running;
  OrganisationState& organisation = organisations_[job.info.organisation];
  --organisation.running;
  organisation.virtualStart +=
    (aActualSeconds - aExpectedSeconds) / organisation.parameters.Weight();
  UpdateActiveKey(job.info.organisation);
  RemoveIfDone(aJob);
}

double
FairQueue::QueuedWork(OrganisationIndex aOrganisation,
                      std::uint8_t aUrgency) const
{
  const auto& byUrgency = organisations_[aOrganisation].queuedWork;
  return std::accumulate(byUrgency.begin() + aUrgency, byUrgency.end(), 0.0);
}

std::uint32_t
FairQueue::Running(OrganisationIndex aOrganisation) const
{
  return organisations_[aOrganisation].running;
}

double
FairQueue::WeightShare(OrganisationIndex aOrganisation) const
{
  const OrganisationState& organisation = organisations_[aOrganisation];
  double own = organisation.parameters.Weight();
  return own / (organisation.active ? activeWeight_ : activeWeight_ + own);
}

FairQueue::Tier
FairQueue::TierOf(const OrganisationState& aOrganisation)
{
  const auto& limits = aOrganisation.parameters;
  if (limits.MaxSlots() > 0 && aOrganisation.running >= limits.MaxSlots()) {
    return Tier::eAtHardCap;
  }
  return aOrganisation.running < limits.QuotaSlots() ? Tier::eBelowQuota
                                                     : Tier::eSharedByWeight;
}

void
FairQueue::UpdateActiveKey(OrganisationIndex aOrganisation)
{
  OrganisationState& organisation = organisations_[aOrganisation];
  if (!organisation.active && organisation.queuedTasks == 0) {
    return;
  }
  if (!organisation.active) {
    // An organisation gains no credit while it has no queued tasks.
    organisation.virtualStart =
      std::max(organisation.virtualStart, virtualTime_);
    organisation.active = { TierOf(organisation),
                            organisation.virtualStart,
                            aOrganisation };
    active_.insert(*organisation.active);
    activeWeight_ += organisation.parameters.Weight();
    return;
  }
  if (organisation.queuedTasks == 0) {
    active_.erase(*organisation.active);
    organisation.active.reset();
    activeWeight_ -= organisation.parameters.Weight();
    activeWeight_ = active_.empty() ? 0 : activeWeight_;
    return;
  }
  ActiveKey key{ TierOf(organisation),
                 organisation.virtualStart,
                 aOrganisation };
  if (key == *organisation.active) {
    return;
  }
  auto node = active_.extract(*organisation.active);
  node.value() = key;
  active_.insert(std::move(node));
  organisation.active = key;
}

void
FairQueue::UpdateQueuedWork(Job& aJob, const QueuedTask& aTask, int aSign)
{
  OrganisationState& organisation = organisations_[aJob.info.organisation];
  double work = aSign * aTask.work;
  aJob.queuedWork += work;
  organisation.queuedWork[aJob.info.urgency] += work;
  organisation.totalWork += work;
  queuedWork_ += work;
  queuedTasks_ += aSign;
  organisation.queuedTasks += aSign;
  // Prevents rounding errors from accumulating over millions of tasks.
  if (organisation.queuedTasks == 0) {
    organisation.queuedWork.fill(0);
    organisation.totalWork = 0;
  }
  if (queuedTasks_ == 0) {
    queuedWork_ = 0;
  }
}

void
FairQueue::AddToTemplateQueue(JobIndex aJob)
{
  const Job& job = jobs_[aJob];
  OrganisationState& organisation = organisations_[job.info.organisation];
  if (job.info.workTemplate >= organisation.templateQueues.size()) {
    organisation.templateQueues.resize(job.info.workTemplate + 1);
  }
  TemplateQueue& templateQueue =
    organisation.templateQueues[job.info.workTemplate];
  templateQueue.needs = job.info.needs;
  templateQueue.shortestWork = job.tasks.back().work;
  std::optional<OrderKey> oldKey;
  if (!templateQueue.jobs.empty()) {
    oldKey = templateQueue.jobs.begin()->first;
  }
  templateQueue.jobs.emplace(job.orderKey, aJob);
  UpdateHeads(organisation, job.info.workTemplate, oldKey);
}

void
FairQueue::RemoveFromTemplateQueue(JobIndex aJob)
{
  const Job& job = jobs_[aJob];
  OrganisationState& organisation = organisations_[job.info.organisation];
  TemplateQueue& templateQueue =
    organisation.templateQueues[job.info.workTemplate];
  OrderKey oldKey = templateQueue.jobs.begin()->first;
  templateQueue.jobs.erase(job.orderKey);
  UpdateHeads(organisation, job.info.workTemplate, oldKey);
}

void
FairQueue::UpdateHeads(OrganisationState& aOrganisation,
                       TemplateIndex aTemplate,
                       const std::optional<OrderKey>& aOldKey)
{
  TemplateQueue& templateQueue = aOrganisation.templateQueues[aTemplate];
  templateQueue.UpdateFirstAndLast();
  auto& heads = aOrganisation.heads;
  if (!templateQueue.jobs.empty() &&
      aOldKey == templateQueue.jobs.begin()->first) {
    return;
  }
  if (aOldKey) {
    heads.erase(std::lower_bound(
      heads.begin(), heads.end(), std::pair{ *aOldKey, aTemplate }));
  }
  if (!templateQueue.jobs.empty()) {
    std::pair head{ templateQueue.jobs.begin()->first, aTemplate };
    heads.insert(std::lower_bound(heads.begin(), heads.end(), head), head);
  }
}

void
FairQueue::RemoveIfDone(JobIndex aJob)
{
  Job& job = jobs_[aJob];
  if (job.running > 0 || !job.Empty()) {
    return;
  }
  jobsByHandle_.erase(job.info.handle);
  unusedJobIndexes_.push_back(aJob);
}

FairQueue::OrderKey
FairQueue::OrderKeyOf(const JobInfo& aInfo) const
{
  return { aInfo.queuedAt - aInfo.urgency * agingPeriod_, aInfo.handle };
}
}
