#include "coordination/fair_queue.h"

#include <algorithm>
#include <numeric>

namespace greengage::coordination {

namespace {

// Bounds of the search for a use of a slow slot. Beyond them the slot stays
// free until the next event, which looks again.
constexpr int kMaxOrganisationsOffered = 8;
constexpr int kMaxJobsOffered = 16;

}

/** State of one search through the queue. */
struct FairQueue::Offer
{
  const Chooser& chooser;
  /** Work inside quotas that was passed over, in seconds. */
  double workInsideQuotas = 0;
  /** Needs for which no server has room. */
  std::vector<TaskNeeds> blockedNeeds = {};
};

FairQueue::FairQueue(std::chrono::milliseconds aAgingPeriod)
  : agingPeriod_(aAgingPeriod)
{
}

OrganisationIndex
FairQueue::SetOrganisation(const state::OrganisationParameters& aParameters)
{
  OrganisationIndex index = Organisation(aParameters.Name());
  OrganisationState& organisation = organisations_[index];
  if (organisation.active) {
    activeWeight_ += aParameters.Weight() - organisation.parameters.Weight();
  }
  organisation.parameters = aParameters;
  Reposition(index);
  return index;
}

OrganisationIndex
FairQueue::Organisation(const std::string& aName)
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
FairQueue::OpenJob(const JobFacts& aFacts)
{
  auto known = jobsByHandle_.find(aFacts.handle);
  if (known != jobsByHandle_.end()) {
    return known->second;
  }
  JobIndex index = 0;
  if (unusedJobs_.empty()) {
    index = static_cast<JobIndex>(jobs_.size());
    jobs_.emplace_back();
  } else {
    index = unusedJobs_.back();
    unusedJobs_.pop_back();
  }
  Job& job = jobs_[index];
  job = Job{};
  job.facts = aFacts;
  job.orderKey = OrderKeyOf(aFacts);
  jobsByHandle_.emplace(aFacts.handle, index);
  return index;
}

void
FairQueue::AddTasks(JobIndex aJob, std::vector<QueuedTask> aTasks)
{
  if (aTasks.empty()) {
    CloseIfDone(aJob);
    return;
  }
  Job& job = jobs_[aJob];
  OrganisationState& organisation = organisations_[job.facts.organisation];
  for (const QueuedTask& task : aTasks) {
    AccountQueued(job, task, 1);
  }
  if (job.Empty()) {
    job.tasks = std::move(aTasks);
    organisation.lanes[job.facts.needs].emplace(job.orderKey, aJob);
  } else {
    job.tasks.erase(job.tasks.begin(), job.tasks.begin() + job.first);
    job.tasks.insert(job.tasks.end(), aTasks.begin(), aTasks.end());
  }
  job.first = 0;
  std::stable_sort(job.tasks.begin(),
                   job.tasks.end(),
                   [](const QueuedTask& aLeft, const QueuedTask& aRight) {
                     return aLeft.work > aRight.work;
                   });
  Reposition(job.facts.organisation);
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
    for (std::size_t i = job.first; i < job.tasks.size(); ++i) {
      AccountQueued(job, job.tasks[i], -1);
    }
    job.tasks.clear();
    job.first = 0;
    LeaveLane(index);
    Reposition(job.facts.organisation);
  }
  CloseIfDone(index);
}

std::optional<TakenTask>
FairQueue::Take(const Chooser& aChooser)
{
  Offer offer{ aChooser };
  int offered = 0;
  for (const ActiveKey& key : active_) {
    if (key.tier == Tier::eAtHardCap || ++offered > kMaxOrganisationsOffered) {
      break;
    }
    OrganisationState& organisation = organisations_[key.organisation];
    auto taken = TakeFrom(organisation, offer);
    if (!taken) {
      continue;
    }
    // Service inside a quota is not part of the sharing by weight, unless
    // nobody else waits; then virtual time must not fall behind.
    if (key.tier == Tier::eByWeight ||
        active_.rbegin()->tier == Tier::eInsideQuota) {
      virtualTime_ = std::max(virtualTime_, key.tag);
    }
    return taken;
  }
  return std::nullopt;
}

std::optional<TakenTask>
FairQueue::TakeFrom(OrganisationState& aOrganisation, Offer& aOffer)
{
  OpenCursors(aOrganisation, aOffer);
  double passed = 0;
  for (int i = 1; i <= kMaxJobsOffered && !cursors_.empty(); ++i) {
    auto cursor =
      std::min_element(cursors_.begin(),
                       cursors_.end(),
                       [](const Cursor& aLeft, const Cursor& aRight) {
                         return aLeft.next->first < aRight.next->first;
                       });
    JobIndex index = cursor->next->second;
    double jobWork = jobs_[index].queuedWork;
    // The last job offered stands for all that are not.
    double ahead =
      i == kMaxJobsOffered ? aOrganisation.totalWork - jobWork : passed;
    Choice choice = OfferJob(aOrganisation, index, ahead, aOffer);
    if (choice == Choice::eTakeLongest || choice == Choice::eTakeShortest) {
      return TakeTask(index, choice == Choice::eTakeLongest);
    }
    if (choice == Choice::eSkipNeeds) {
      aOffer.blockedNeeds.push_back(cursor->needs);
      cursors_.erase(cursor);
      continue;
    }
    passed += jobWork;
    if (++cursor->next == cursor->lane->end()) {
      cursors_.erase(cursor);
    }
  }
  if (aOrganisation.active->tier == Tier::eInsideQuota) {
    aOffer.workInsideQuotas += passed;
  }
  return std::nullopt;
}

void
FairQueue::OpenCursors(const OrganisationState& aOrganisation,
                       const Offer& aOffer)
{
  cursors_.clear();
  const auto& blocked = aOffer.blockedNeeds;
  for (const auto& [needs, lane] : aOrganisation.lanes) {
    bool isBlocked =
      std::find(blocked.begin(), blocked.end(), needs) != blocked.end();
    if (!lane.empty() && !isBlocked) {
      cursors_.push_back({ needs, &lane, lane.begin() });
    }
  }
}

Choice
FairQueue::OfferJob(const OrganisationState& aOrganisation,
                    JobIndex aJob,
                    double aOwnWorkAhead,
                    const Offer& aOffer) const
{
  const Job& job = jobs_[aJob];
  Candidate candidate{ job.facts, job.tasks[job.first], job.tasks.back() };
  candidate.workAhead = aOffer.workInsideQuotas + aOwnWorkAhead;
  candidate.jobWork = job.queuedWork;
  if (aOrganisation.active->tier == Tier::eByWeight) {
    // The others' tasks are started in between, as far as there are any.
    double slowdown = activeWeight_ / aOrganisation.parameters.Weight();
    double others = queuedWork_ - aOrganisation.totalWork;
    candidate.workAhead += std::min(others, aOwnWorkAhead * (slowdown - 1));
    candidate.jobWork += std::min(others, job.queuedWork * (slowdown - 1));
  }
  return aOffer.chooser(candidate);
}

TakenTask
FairQueue::TakeTask(JobIndex aJob, bool aLongest)
{
  Job& job = jobs_[aJob];
  TakenTask taken{ aJob, aLongest ? job.tasks[job.first] : job.tasks.back() };
  if (aLongest) {
    ++job.first;
  } else {
    job.tasks.pop_back();
  }
  AccountQueued(job, taken.task, -1);
  if (job.Empty()) {
    job.tasks.clear();
    job.first = 0;
    LeaveLane(aJob);
  }
  return taken;
}

void
FairQueue::OnStarted(JobIndex aJob, double aExpectedSeconds)
{
  Job& job = jobs_[aJob];
  ++job.running;
  OrganisationState& organisation = organisations_[job.facts.organisation];
  ++organisation.running;
  organisation.tag += aExpectedSeconds / organisation.parameters.Weight();
  Reposition(job.facts.organisation);
}

void
FairQueue::OnEnded(JobIndex aJob,
                   double aExpectedSeconds,
                   double aActualSeconds)
{
  Job& job = jobs_[aJob];
  --job.running;
  OrganisationState& organisation = organisations_[job.facts.organisation];
  --organisation.running;
  organisation.tag +=
    (aActualSeconds - aExpectedSeconds) / organisation.parameters.Weight();
  Reposition(job.facts.organisation);
  CloseIfDone(aJob);
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
  return aOrganisation.running < limits.QuotaSlots() ? Tier::eInsideQuota
                                                     : Tier::eByWeight;
}

void
FairQueue::Reposition(OrganisationIndex aOrganisation)
{
  OrganisationState& organisation = organisations_[aOrganisation];
  if (!organisation.active && organisation.queuedTasks == 0) {
    return;
  }
  if (!organisation.active) {
    // Time without queued tasks earns no credit.
    organisation.tag = std::max(organisation.tag, virtualTime_);
    organisation.active = { TierOf(organisation),
                            organisation.tag,
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
  ActiveKey key{ TierOf(organisation), organisation.tag, aOrganisation };
  if (key == *organisation.active) {
    return;
  }
  auto node = active_.extract(*organisation.active);
  node.value() = key;
  active_.insert(std::move(node));
  organisation.active = key;
}

void
FairQueue::AccountQueued(Job& aJob, const QueuedTask& aTask, int aSign)
{
  OrganisationState& organisation = organisations_[aJob.facts.organisation];
  double work = aSign * aTask.work;
  aJob.queuedWork += work;
  organisation.queuedWork[aJob.facts.urgency] += work;
  organisation.totalWork += work;
  queuedWork_ += work;
  queuedTasks_ += aSign;
  organisation.queuedTasks += aSign;
  // Rounding errors must not pile up over millions of tasks.
  if (organisation.queuedTasks == 0) {
    organisation.queuedWork.fill(0);
    organisation.totalWork = 0;
  }
  if (queuedTasks_ == 0) {
    queuedWork_ = 0;
  }
}

void
FairQueue::LeaveLane(JobIndex aJob)
{
  const Job& job = jobs_[aJob];
  auto& lanes = organisations_[job.facts.organisation].lanes;
  lanes[job.facts.needs].erase(job.orderKey);
}

void
FairQueue::CloseIfDone(JobIndex aJob)
{
  Job& job = jobs_[aJob];
  if (job.running > 0 || !job.Empty()) {
    return;
  }
  jobsByHandle_.erase(job.facts.handle);
  unusedJobs_.push_back(aJob);
}

FairQueue::OrderKey
FairQueue::OrderKeyOf(const JobFacts& aFacts) const
{
  return { aFacts.queuedAt - aFacts.urgency * agingPeriod_, aFacts.handle };
}

}
