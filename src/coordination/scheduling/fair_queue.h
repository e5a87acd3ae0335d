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
  SizeClass sizeClass = 0;
  /** Expected work when the task was queued, in seconds at speed 1. */
  double work = 0;

  auto operator<=>(const QueuedTask&) const = default;
};

/** Description of a job that has queued or running tasks. */
struct JobInfo
{
  JobHandle handle = 0;
  OrganisationIndex organisation = 0;
  TemplateIndex workTemplate = 0;
  TaskNeeds needs;
  std::uint8_t urgency = 0;
  state::MonotonicTime queuedAt;
  /** Number of all tasks of the job. */
  std::size_t taskCount = 1;

  bool operator==(const JobInfo&) const = default;
};

/** A job whose tasks may be started next. */
struct Candidate
{
  const JobInfo& job;
  /** The queued tasks with the most and with the least expected work. */
  const QueuedTask& longest;
  const QueuedTask& shortest;
  /** Work that is expected to start before this job's tasks, in seconds. */
  double workAhead = 0;
  /**
   * Work of the job's queued tasks and of those of other organisations that are
   * expected to start in between, in seconds.
   */
  double jobWork = 0;
  /** Time since the job first skipped a slot after it last started a task. */
  std::chrono::duration<double> timeSinceFirstSkip{ 0 };
};

enum class Choice : std::uint8_t
{
  eStartLongest,
  eStartShortest,
  /** Starts no task of this job; the search goes on with other jobs. */
  eSkipJob,
  /** Starts no task with these needs, as no server has capacity for them. */
  eSkipNeeds,
};

/** A task that was removed from the queue in order to start it. */
struct DequeuedTask
{
  JobIndex job = 0;
  QueuedTask task;

  auto operator<=>(const DequeuedTask&) const = default;
};

/**
 * Queue of the tasks of all organisations. Organisations below their quota are
 * served first; the others share the slots by weight (start-time fair queueing
 * over slot time). Within an organisation, jobs are ordered by urgency and
 * waiting time, and the tasks of a job stay together.
 */
class FairQueue
{
public:
  using Chooser = std::function<Choice(const Candidate&)>;

  explicit FairQueue(std::chrono::milliseconds aAgingPeriod);

  OrganisationIndex SetOrganisation(
    const state::OrganisationParameters& aParameters);
  /**
   * Returns the index of an organisation; adds it with default parameters if it
   * is unknown.
   */
  OrganisationIndex FindOrAddOrganisation(const std::string& aName);
  std::optional<OrganisationIndex> Find(const std::string& aName) const;
  const state::OrganisationParameters& Parameters(
    OrganisationIndex aOrganisation) const;

  /**
   * Returns the index of a job; adds it without tasks if it is unknown. A job
   * that is in the queue already keeps its description and position.
   */
  JobIndex OpenJob(const JobInfo& aInfo);
  void AddTasks(JobIndex aJob, std::vector<QueuedTask> aTasks);
  /** Removes the queued tasks of a job. */
  void Drop(JobHandle aJob);
  const JobInfo& Info(JobIndex aJob) const { return jobs_[aJob].info; }

  /**
   * Removes and returns the next task to start. Calls aChooser for one job
   * after the other, in order, until it selects a task. If it skips the first
   * job of every template, the last jobs are tried, which would wait longest.
   * The number of calls is bounded, so that the cost does not depend on the
   * queue length.
   */
  std::optional<DequeuedTask> Dequeue(const Chooser& aChooser,
                                      state::MonotonicTime aNow);

  /** Charges the expected slot time of a task that was started. */
  void OnStarted(JobIndex aJob, double aExpectedSeconds);
  /**
   * Replaces the charge by the actual slot time; removes the job after its last
   * task.
   */
  void OnEnded(JobIndex aJob, double aExpectedSeconds, double aActualSeconds);

  std::size_t QueuedTasks() const { return queuedTasks_; }
  /** Queued work of an organisation of at least this urgency, in seconds. */
  double QueuedWork(OrganisationIndex aOrganisation,
                    std::uint8_t aUrgency) const;
  double QueuedWork() const { return queuedWork_; }
  std::uint32_t Running(OrganisationIndex aOrganisation) const;
  /** Share of the fleet that an organisation receives if it queues tasks. */
  double WeightShare(OrganisationIndex aOrganisation) const;

private:
  /** Arrival time less the bonus for urgency, then arrival order. */
  using OrderKey = std::pair<state::MonotonicTime, JobHandle>;

  /** Jobs of one organisation and template that have queued tasks. */
  struct TemplateQueue
  {
    TaskNeeds needs;
    /** Least work of a task of the job that was added last, in seconds. */
    double shortestWork = 0;
    std::map<OrderKey, JobIndex> jobs;
    /** First and last entry of jobs, cached to avoid cache misses. */
    JobIndex first = 0;
    JobIndex last = 0;

    void UpdateFirstAndLast()
    {
      if (!jobs.empty()) {
        first = jobs.begin()->second;
        last = jobs.rbegin()->second;
      }
    }
  };

  struct Job
  {
    JobInfo info;
    OrderKey orderKey;
    /** Sorted by work, longest first; those before nextTask have started. */
    std::vector<QueuedTask> tasks;
    std::size_t nextTask = 0;
    double queuedWork = 0;
    std::uint32_t running = 0;
    /** Time at which the job first skipped a slot after its last start. */
    std::optional<state::MonotonicTime> firstSkippedAt;

    bool Empty() const { return nextTask == tasks.size(); }
  };

  /** Order in which organisations are served; those at the cap are not. */
  enum class Tier : std::uint8_t
  {
    eBelowQuota,
    eSharedByWeight,
    eAtHardCap,
  };

  struct ActiveKey
  {
    Tier tier = Tier::eSharedByWeight;
    double virtualStart = 0;
    OrganisationIndex organisation = 0;

    auto operator<=>(const ActiveKey&) const = default;
  };

  struct OrganisationState
  {
    state::OrganisationParameters parameters;
    /** Virtual start time of the next task, in slot seconds. */
    double virtualStart = 0;
    std::uint32_t running = 0;
    std::size_t queuedTasks = 0;
    std::array<double, state::kMaxUrgency + 1> queuedWork{};
    double totalWork = 0;
    /**
     * One queue for each template, so that a task that fits on no server does
     * not block others, and short tasks are found for a slow slot.
     */
    std::vector<TemplateQueue> templateQueues;
    /**
     * Templates with jobs, sorted by the key of their first job. A vector, as
     * it is read far more often than it is changed.
     */
    std::vector<std::pair<OrderKey, TemplateIndex>> heads;
    /** Entry in active_; empty while the organisation has no queued tasks. */
    std::optional<ActiveKey> active;
  };

  /** State of one search through the queue. */
  struct Search
  {
    const Chooser& chooser;
    state::MonotonicTime now;
    /** Queued work below quotas for which no task was selected, in seconds. */
    double workBelowQuotas = 0;
    /** Needs for which no server has free capacity. */
    std::vector<TaskNeeds> blockedNeeds = {};

    bool IsBlocked(const TaskNeeds& aNeeds) const
    {
      return std::find(blockedNeeds.begin(), blockedNeeds.end(), aNeeds) !=
             blockedNeeds.end();
    }
  };

  static Tier TierOf(const OrganisationState& aOrganisation);
  void UpdateActiveKey(OrganisationIndex aOrganisation);
  void UpdateQueuedWork(Job& aJob, const QueuedTask& aTask, int aSign);
  void AddToTemplateQueue(JobIndex aJob);
  void RemoveFromTemplateQueue(JobIndex aJob);
  static void UpdateHeads(OrganisationState& aOrganisation,
                          TemplateIndex aTemplate,
                          const std::optional<OrderKey>& aOldKey);
  void RemoveIfDone(JobIndex aJob);
  OrderKey OrderKeyOf(const JobInfo& aInfo) const;
  std::optional<DequeuedTask> DequeueFrom(OrganisationState& aOrganisation,
                                          Search& aSearch);
  std::optional<DequeuedTask> DequeueFromFirstJobs(
    OrganisationState& aOrganisation,
    Search& aSearch);
  std::optional<DequeuedTask> DequeueFromLastJobs(
    OrganisationState& aOrganisation,
    Search& aSearch);
  Choice EvaluateJob(const OrganisationState& aOrganisation,
                     JobIndex aJob,
                     double aOwnWorkAhead,
                     const Search& aSearch) const;
  DequeuedTask DequeueTask(JobIndex aJob, bool aLongest);

  std::chrono::milliseconds agingPeriod_;
  std::vector<OrganisationState> organisations_;
  std::unordered_map<std::string, OrganisationIndex> organisationsByName_;
  /** Organisations with queued tasks, in the order in which they are served. */
  std::set<ActiveKey> active_;
  double activeWeight_ = 0;
  double virtualTime_ = 0;
  /** Scratch space of DequeueFromLastJobs; a member to avoid allocations. */
  std::vector<std::pair<double, TemplateIndex>> templatesByWork_;
  std::vector<Job> jobs_;
  std::vector<JobIndex> unusedJobIndexes_;
  std::unordered_map<JobHandle, JobIndex> jobsByHandle_;
  std::size_t queuedTasks_ = 0;
  double queuedWork_ = 0;
};
}
