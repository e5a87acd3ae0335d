#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/scheduling/rate_estimator.h"
#include "coordination/scheduling/scheduler_types.h"
#include "state/clock.h"
#include "state/job_spec.h"
#include "state/organisation_parameters.h"

namespace greengage::coordination {

/** A task that waits for a slot. */
struct QueuedTask
{
  std::uint32_t task = 0;
  std::uint32_t attempt = 0;
  SizeClass size = 0;
  /** Expected work in seconds at speed 1, as estimated when it was queued. */
  double work = 0;

  auto operator<=>(const QueuedTask&) const = default;
};

/** What the queue keeps of a job while it has tasks queued or running. */
struct JobFacts
{
  JobHandle handle = 0;
  OrganisationIndex organisation = 0;
  TemplateIndex workTemplate = 0;
  TaskNeeds needs;
  std::uint8_t urgency = 0;
  state::MonotonicTime queuedAt;
  /** Tasks of the whole job. */
  std::size_t taskCount = 1;

  bool operator==(const JobFacts&) const = default;
};

/** A job whose tasks may be started next. */
struct Candidate
{
  const JobFacts& job;
  /** The queued task with the most expected work, and the one with least. */
  const QueuedTask& longest;
  const QueuedTask& shortest;
  /** Work that is expected to start before this job's tasks, in seconds. */
  double workAhead = 0;
  /** Work of the job's queued tasks and of others' started meanwhile. */
  double jobWork = 0;
  /** How long the job has been refusing slots without starting a task. */
  std::chrono::duration<double> refusingFor{ 0 };
};

enum class Choice : std::uint8_t
{
  eTakeLongest,
  eTakeShortest,
  /** No task of this job now; a later one may have a use for the slot. */
  eSkipJob,
  /** Nothing with these needs can start now. */
  eSkipNeeds,
};

/** A task taken from the queue. */
struct TakenTask
{
  JobIndex job = 0;
  QueuedTask task;

  auto operator<=>(const TakenTask&) const = default;
};

/**
 * Queue of all organisations. An organisation inside its quota goes first;
 * the others share by weight (start-time fair queueing over slot time).
 * Inside an organisation, urgency and waiting time decide; the tasks of a job
 * stay together.
 */
class FairQueue
{
public:
  using Chooser = std::function<Choice(const Candidate&)>;

  explicit FairQueue(std::chrono::milliseconds aAgingPeriod);

  OrganisationIndex SetOrganisation(
    const state::OrganisationParameters& aParameters);
  /** Position of an organisation; a new one has default parameters. */
  OrganisationIndex Organisation(const std::string& aName);
  std::optional<OrganisationIndex> Find(const std::string& aName) const;
  const state::OrganisationParameters& Parameters(
    OrganisationIndex aOrganisation) const;

  /** Adds a job without tasks, or finds it; an earlier one keeps its place. */
  JobIndex OpenJob(const JobFacts& aFacts);
  void AddTasks(JobIndex aJob, std::vector<QueuedTask> aTasks);
  /** Removes the queued tasks of a job. */
  void Drop(JobHandle aJob);
  const JobFacts& Facts(JobIndex aJob) const { return jobs_[aJob].facts; }

  /**
   * Offers jobs in order until one is chosen. If the first job of every
   * template would rather wait, the last ones are offered, which would wait
   * longest. Looks at a bounded number of jobs, so that the cost does not
   * depend on the length of the queue.
   */
  std::optional<TakenTask> Take(const Chooser& aChooser,
                                state::MonotonicTime aNow);

  /** Charges the expected slot time of a task that was started. */
  void OnStarted(JobIndex aJob, double aExpectedSeconds);
  /** Corrects the charge; forgets the job after its last task. */
  void OnEnded(JobIndex aJob, double aExpectedSeconds, double aActualSeconds);

  std::size_t QueuedTasks() const { return queuedTasks_; }
  /** Queued work of an organisation at this urgency and above, in seconds. */
  double QueuedWork(OrganisationIndex aOrganisation,
                    std::uint8_t aUrgency) const;
  double QueuedWork() const { return queuedWork_; }
  std::uint32_t Running(OrganisationIndex aOrganisation) const;
  /** Part of the fleet that an organisation gets if it queues tasks now. */
  double WeightShare(OrganisationIndex aOrganisation) const;

private:
  /** Earliest first; urgency counts as waiting time, then arrival order. */
  using OrderKey = std::pair<state::MonotonicTime, JobHandle>;

  /** Jobs of one template with queued tasks. */
  struct Lane
  {
    TaskNeeds needs;
    /** Least work of a task of the job that joined last, in seconds. */
    double shortestWork = 0;
    std::map<OrderKey, JobIndex> jobs;
    /** The first and the last of jobs, kept here to save cache misses. */
    JobIndex first = 0;
    JobIndex last = 0;

    void UpdateEnds()
    {
      if (!jobs.empty()) {
        first = jobs.begin()->second;
        last = jobs.rbegin()->second;
      }
    }
  };

  struct Job
  {
    JobFacts facts;
    OrderKey orderKey;
    /** Sorted by work, longest first. */
    std::vector<QueuedTask> tasks;
    std::size_t first = 0;
    double queuedWork = 0;
    std::uint32_t running = 0;
    /** When it first refused a slot since it last started a task. */
    std::optional<state::MonotonicTime> refusingSince;

    bool Empty() const { return first == tasks.size(); }
  };

  enum class Tier : std::uint8_t
  {
    eInsideQuota,
    eByWeight,
    eAtHardCap,
  };

  struct ActiveKey
  {
    Tier tier = Tier::eByWeight;
    double tag = 0;
    OrganisationIndex organisation = 0;

    auto operator<=>(const ActiveKey&) const = default;
  };

  struct OrganisationState
  {
    state::OrganisationParameters parameters;
    /** Virtual time at which its next task starts, in slot seconds. */
    double tag = 0;
    std::uint32_t running = 0;
    std::size_t queuedTasks = 0;
    std::array<double, state::kMaxUrgency + 1> queuedWork{};
    double totalWork = 0;
    /** By template, so that a task that fits nowhere does not block others,
     * and a slow slot finds the short tasks. */
    std::vector<Lane> lanes;
    /** Lanes with jobs, sorted by the key of their first job. A vector, as
     * it is read far more often than changed. */
    std::vector<std::pair<OrderKey, TemplateIndex>> heads;
    std::optional<ActiveKey> active;
  };

  /** State of one search through the queue. */
  struct Offer
  {
    const Chooser& chooser;
    state::MonotonicTime now;
    /** Work inside quotas that was passed over, in seconds. */
    double workInsideQuotas = 0;
    /** Needs for which no server has room. */
    std::vector<TaskNeeds> blockedNeeds = {};

    bool Blocked(const TaskNeeds& aNeeds) const
    {
      return std::find(blockedNeeds.begin(), blockedNeeds.end(), aNeeds) !=
             blockedNeeds.end();
    }
  };

  static Tier TierOf(const OrganisationState& aOrganisation);
  void Reposition(OrganisationIndex aOrganisation);
  void AccountQueued(Job& aJob, const QueuedTask& aTask, int aSign);
  void JoinLane(JobIndex aJob);
  void LeaveLane(JobIndex aJob);
  static void UpdateHead(OrganisationState& aOrganisation,
                         TemplateIndex aTemplate,
                         const std::optional<OrderKey>& aOldKey);
  void CloseIfDone(JobIndex aJob);
  OrderKey OrderKeyOf(const JobFacts& aFacts) const;
  std::optional<TakenTask> TakeFrom(OrganisationState& aOrganisation,
                                    Offer& aOffer);
  std::optional<TakenTask> TakeFirst(OrganisationState& aOrganisation,
                                     Offer& aOffer);
  std::optional<TakenTask> TakeLast(OrganisationState& aOrganisation,
                                    Offer& aOffer);
  Choice OfferJob(const OrganisationState& aOrganisation,
                  JobIndex aJob,
                  double aOwnWorkAhead,
                  const Offer& aOffer) const;
  TakenTask TakeTask(JobIndex aJob, bool aLongest);

  std::chrono::milliseconds agingPeriod_;
  std::vector<OrganisationState> organisations_;
  std::unordered_map<std::string, OrganisationIndex> organisationsByName_;
  std::set<ActiveKey> active_;
  double activeWeight_ = 0;
  double virtualTime_ = 0;
  /** Kept between searches to avoid allocations. */
  std::vector<std::pair<double, TemplateIndex>> lanesByWork_;
  std::vector<Job> jobs_;
  std::vector<JobIndex> unusedJobs_;
  std::unordered_map<JobHandle, JobIndex> jobsByHandle_;
  std::size_t queuedTasks_ = 0;
  double queuedWork_ = 0;
};
}
