#include <algorithm>
#include <limits>

#include "coordination/scheduling/fair_queue.h"

// The part of FairQueue that searches for the next task to start.
namespace greengage::coordination {

namespace {

// Bounds of the search for a task for a slow slot. If none is found within
// them, the slot stays free until the next search.
constexpr int kMaxOrganisationsTried = 8;
constexpr int kMaxFirstJobsTried = 3;
constexpr std::size_t kMaxLastJobsTried = 16;

}

std::optional<DequeuedTask>
FairQueue::Dequeue(const Chooser& aChooser, state::MonotonicTime aNow)
{
  Search search{ aChooser, aNow };
  for (Tier tier : { Tier::eBelowQuota, Tier::eSharedByWeight }) {
    double lowest = std::numeric_limits<double>::lowest();
    auto next = active_.lower_bound({ tier, lowest, 0 });
    int tried = 0;
    for (; next != active_.end() && next->tier == tier; ++next) {
      if (++tried > kMaxOrganisationsTried) {
        break;
      }
      auto dequeued = DequeueFrom(organisations_[next->organisation], search);
      if (!dequeued) {
        continue;
      }
      // Tasks within a quota do not advance the virtual time of the sharing by
      // weight, unless every organisation with queued tasks is below its quota;
      // then the virtual time must not fall behind.
      if (tier == Tier::eSharedByWeight ||
          active_.rbegin()->tier == Tier::eBelowQuota) {
        virtualTime_ = std::max(virtualTime_, next->virtualStart);
      }
      return dequeued;
    }
  }
  return std::nullopt;
}

std::optional<DequeuedTask>
FairQueue::DequeueFrom(OrganisationState& aOrganisation, Search& aSearch)
{
  auto dequeued = DequeueFromFirstJobs(aOrganisation, aSearch);
  if (!dequeued) {
    dequeued = DequeueFromLastJobs(aOrganisation, aSearch);
  }
  if (!dequeued && aOrganisation.active->tier == Tier::eBelowQuota) {
    aSearch.workBelowQuotas += aOrganisation.totalWork;
  }
  return dequeued;
}

std::optional<DequeuedTask>
FairQueue::DequeueFromFirstJobs(OrganisationState& aOrganisation,
                                Search& aSearch)
{
  double workPassedOver = 0;
  int tried = 0;
  for (const auto& [key, workTemplate] : aOrganisation.heads) {
    const TemplateQueue& templateQueue =
      aOrganisation.templateQueues[workTemplate];
    if (aSearch.IsBlocked(templateQueue.needs)) {
      continue;
    }
    if (++tried > kMaxFirstJobsTried) {
      break;
    }
    JobIndex index = templateQueue.first;
    Choice choice = EvaluateJob(aOrganisation, index, workPassedOver, aSearch);
    if (choice == Choice::eStartLongest || choice == Choice::eStartShortest) {
      return DequeueTask(index, choice == Choice::eStartLongest);
    }
    if (choice == Choice::eSkipNeeds) {
      aSearch.blockedNeeds.push_back(templateQueue.needs);
    }
    if (choice == Choice::eSkipJob && !jobs_[index].firstSkippedAt) {
      jobs_[index].firstSkippedAt = aSearch.now;
    }
    workPassedOver += jobs_[index].queuedWork;
  }
  return std::nullopt;
}

std::optional<DequeuedTask>
FairQueue::DequeueFromLastJobs(OrganisationState& aOrganisation,
                               Search& aSearch)
{
  templatesByWork_.clear();
  for (const auto& [key, workTemplate] : aOrganisation.heads) {
    const TemplateQueue& templateQueue =
      aOrganisation.templateQueues[workTemplate];
    if (templatesByWork_.size() == kMaxLastJobsTried) {
      break;
    }
    if (!aSearch.IsBlocked(templateQueue.needs)) {
      templatesByWork_.emplace_back(templateQueue.shortestWork, workTemplate);
    }
  }
  // Short tasks lose the least time on a slow server.
  std::sort(templatesByWork_.begin(), templatesByWork_.end());
  for (const auto& [work, workTemplate] : templatesByWork_) {
    const TemplateQueue& templateQueue =
      aOrganisation.templateQueues[workTemplate];
    JobIndex index = templateQueue.last;
    double ahead = aOrganisation.totalWork - jobs_[index].queuedWork;
    Choice choice = EvaluateJob(aOrganisation, index, ahead, aSearch);
    if (choice == Choice::eStartLongest || choice == Choice::eStartShortest) {
      return DequeueTask(index, choice == Choice::eStartLongest);
    }
  }
  return std::nullopt;
}

Choice
FairQueue::EvaluateJob(const OrganisationState& aOrganisation,
                       JobIndex aJob,
                       double aOwnWorkAhead,
                       const Search& aSearch) const
{
  const Job& job = jobs_[aJob];
  Candidate candidate{ job.info, job.tasks[job.nextTask], job.tasks.back() };
  candidate.workAhead = aSearch.workBelowQuotas + aOwnWorkAhead;
  candidate.jobWork = job.queuedWork;
  if (job.firstSkippedAt) {
    candidate.timeSinceFirstSkip = aSearch.now - *job.firstSkippedAt;
  }
  if (aOrganisation.active->tier == Tier::eSharedByWeight) {
    // Tasks of other organisations, if any are queued, start in between.
    double slowdown = activeWeight_ / aOrganisation.parameters.Weight();
    double others = queuedWork_ - aOrganisation.totalWork;
    candidate.workAhead += std::min(others, aOwnWorkAhead * (slowdown - 1));
    candidate.jobWork += std::min(others, job.queuedWork * (slowdown - 1));
  }
  return aSearch.chooser(candidate);
}

DequeuedTask
FairQueue::DequeueTask(JobIndex aJob, bool aLongest)
{
  Job& job = jobs_[aJob];
  DequeuedTask dequeued{ aJob,
                         aLongest ? job.tasks[job.nextTask]
                                  : job.tasks.back() };
  if (aLongest) {
    ++job.nextTask;
  } else {
    job.tasks.pop_back();
  }
  job.firstSkippedAt.reset();
  UpdateQueuedWork(job, dequeued.task, -1);
  if (job.Empty()) {
    job.tasks.clear();
    job.nextTask = 0;
    RemoveFromTemplateQueue(aJob);
  }
  return dequeued;
}

}
