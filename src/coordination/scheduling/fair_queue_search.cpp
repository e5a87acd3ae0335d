#include <algorithm>
#include <limits>

#include "coordination/scheduling/fair_queue.h"

// The search for the next task to start.
namespace greengage::coordination {

namespace {

// Bounds of the search for a use of a slow slot. Beyond them the slot stays
// free until the next event, which looks again.
constexpr int kMaxOrganisationsOffered = 8;
constexpr int kMaxFirstJobsOffered = 3;
constexpr std::size_t kMaxLastJobsOffered = 16;

}

std::optional<TakenTask>
FairQueue::Take(const Chooser& aChooser, state::MonotonicTime aNow)
{
  Offer offer{ aChooser, aNow };
  for (Tier tier : { Tier::eInsideQuota, Tier::eByWeight }) {
    double lowest = std::numeric_limits<double>::lowest();
    auto next = active_.lower_bound({ tier, lowest, 0 });
    int offered = 0;
    for (; next != active_.end() && next->tier == tier; ++next) {
      if (++offered > kMaxOrganisationsOffered) {
        break;
      }
      auto taken = TakeFrom(organisations_[next->organisation], offer);
      if (!taken) {
        continue;
      }
      // Service inside a quota is not part of the sharing by weight, unless
      // nobody else waits; then virtual time must not fall behind.
      if (tier == Tier::eByWeight ||
          active_.rbegin()->tier == Tier::eInsideQuota) {
        virtualTime_ = std::max(virtualTime_, next->tag);
      }
      return taken;
    }
  }
  return std::nullopt;
}

std::optional<TakenTask>
FairQueue::TakeFrom(OrganisationState& aOrganisation, Offer& aOffer)
{
  auto taken = TakeFirst(aOrganisation, aOffer);
  if (!taken) {
    taken = TakeLast(aOrganisation, aOffer);
  }
  if (!taken && aOrganisation.active->tier == Tier::eInsideQuota) {
    aOffer.workInsideQuotas += aOrganisation.totalWork;
  }
  return taken;
}

std::optional<TakenTask>
FairQueue::TakeFirst(OrganisationState& aOrganisation, Offer& aOffer)
{
  double passed = 0;
  int offered = 0;
  for (const auto& [key, workTemplate] : aOrganisation.heads) {
    const Lane& lane = aOrganisation.lanes[workTemplate];
    if (aOffer.Blocked(lane.needs)) {
      continue;
    }
    if (++offered > kMaxFirstJobsOffered) {
      break;
    }
    JobIndex index = lane.first;
    Choice choice = OfferJob(aOrganisation, index, passed, aOffer);
    if (choice == Choice::eTakeLongest || choice == Choice::eTakeShortest) {
      return TakeTask(index, choice == Choice::eTakeLongest);
    }
    if (choice == Choice::eSkipNeeds) {
      aOffer.blockedNeeds.push_back(lane.needs);
    }
    if (choice == Choice::eSkipJob && !jobs_[index].refusingSince) {
      jobs_[index].refusingSince = aOffer.now;
    }
    passed += jobs_[index].queuedWork;
  }
  return std::nullopt;
}

std::optional<TakenTask>
FairQueue::TakeLast(OrganisationState& aOrganisation, Offer& aOffer)
{
  lanesByWork_.clear();
  for (const auto& [key, workTemplate] : aOrganisation.heads) {
    const Lane& lane = aOrganisation.lanes[workTemplate];
    if (lanesByWork_.size() == kMaxLastJobsOffered) {
      break;
    }
    if (!aOffer.Blocked(lane.needs)) {
      lanesByWork_.emplace_back(lane.shortestWork, workTemplate);
    }
  }
  // A slow server costs a short task the least time.
  std::sort(lanesByWork_.begin(), lanesByWork_.end());
  for (const auto& [work, workTemplate] : lanesByWork_) {
    const Lane& lane = aOrganisation.lanes[workTemplate];
    JobIndex index = lane.last;
    double ahead = aOrganisation.totalWork - jobs_[index].queuedWork;
    Choice choice = OfferJob(aOrganisation, index, ahead, aOffer);
    if (choice == Choice::eTakeLongest || choice == Choice::eTakeShortest) {
      return TakeTask(index, choice == Choice::eTakeLongest);
    }
  }
  return std::nullopt;
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
  if (job.refusingSince) {
    candidate.refusingFor = aOffer.now - *job.refusingSince;
  }
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
  job.refusingSince.reset();
  AccountQueued(job, taken.task, -1);
  if (job.Empty()) {
    job.tasks.clear();
    job.first = 0;
    LeaveLane(aJob);
  }
  return taken;
}

}
