#pragma once

#include <array>
#include <map>
#include <queue>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <tl/expected.hpp>

#include "coordination/coordination_error.h"
#include "coordination/messages.h"
#include "coordination/scheduling/admission.h"
#include "coordination/scheduling/fair_queue.h"
#include "coordination/scheduling/rate_estimator.h"
#include "coordination/scheduling/scheduler_settings.h"
#include "coordination/scheduling/scheduler_types.h"
#include "coordination/scheduling/server_table.h"
#include "coordination/scheduling/slot_choice.h"
#include "coordination/scheduling/worker_health.h"
#include "state/clock.h"
#include "state/job_spec.h"
#include "state/organisation_parameters.h"
#include "state/task_record.h"
#include "state/work_template.h"

namespace greengage::coordination {

/** State of one server as shown to operators. */
struct ServerView
{
  ProcessInfo info;
  std::uint32_t running = 0;
  /** Estimated speed; 1 is the speed for which run times are declared. */
  double learnedSpeed = 1;
  HealthState health = HealthState::eHealthy;

  bool operator==(const ServerView&) const = default;
};

/** Counters since the start of the process, for metrics. */
struct SchedulerCounters
{
  /** Refused jobs by refusal code. */
  std::array<std::uint64_t, std::size_t(state::RefusalCode::eLast) + 1>
    refusals{};
  std::uint64_t assignments = 0;
  /** Task starts that agents refused, by refusal code. */
  std::array<std::uint64_t, std::size_t(state::RefusalCode::eLast) + 1>
    refusedStarts{};
  HealthCounters health;

  bool operator==(const SchedulerCounters&) const = default;
};

/**
 * Queues the tasks of one shard and assigns them to backend servers. A task is
 * assigned only when a slot is free for it, so that the choice of the server
 * stays open while the task waits. Used by the control thread only.
 */
class TaskScheduler
{
public:
  explicit TaskScheduler(const state::Clock& aClock,
                         SchedulerSettings aSettings = {});
  TaskScheduler(const TaskScheduler&) = delete;
  TaskScheduler& operator=(const TaskScheduler&) = delete;

  void SetTemplate(const state::WorkTemplate& aTemplate);
  void RemoveTemplate(const std::string& aName);
  void SetOrganisation(const state::OrganisationParameters& aParameters);
  void RemoveOrganisation(const std::string& aName);

  /** Adds a server or replaces its description, for example while draining. */
  void SetServer(const ProcessInfo& aServer);
  /** Removes a server; its running tasks are no longer counted. */
  void RemoveServer(const state::ProcessId& aAgent);

  /**
   * Decides whether a new job may enter the queue; changes only the counters of
   * refusals. Errors: eUnknownOrganisation, eUnknownTemplate and
   * those of DecideAdmission.
   */
  tl::expected<void, CoordinationError> Admit(const state::JobSpec& aSpec);

  /** Queues the given tasks of an admitted job. */
  void Enqueue(JobHandle aJob,
               const state::JobSpec& aSpec,
               const std::vector<TaskRef>& aTasks,
               state::MonotonicTime aDeadline);

  /** Adds a running task that was started on a server by a previous owner. */
  void AdoptRunning(const state::ProcessId& aAgent,
                    const TaskRef& aTask,
                    const state::JobSpec& aSpec);

  /** Removes all queued tasks of a job; its running tasks are unaffected. */
  void DropQueued(JobHandle aJob);

  /**
   * Assigns queued tasks to free slots. Must be called after every batch of
   * events and at least every 50 ms, as slots also become usable with time.
   */
  std::vector<Assignment> Assign();

  /**
   * Frees the slot of a task that ended or that the agent refused to start. A
   * task that was not started is not queued again by this call.
   */
  void OnTaskEnded(const state::ProcessId& aAgent,
                   const TaskRef& aTask,
                   const state::TaskRecord& aRecord);

  std::size_t QueuedTasks() const { return queue_.QueuedTasks(); }
  std::size_t RunningTasks() const { return servers_.RunningTasks(); }
  std::size_t ServerCount() const { return servers_.Count(); }
  /** Every known server, sorted by identity. */
  std::vector<ServerView> ServerViews() const;
  SchedulerCounters Counters() const;

private:
  struct KnownTemplate
  {
    state::WorkTemplate definition;
    TaskNeeds needs;
    bool published = false;
  };

  /** Best free slot for a template; valid until a slot is assigned. */
  struct BestSlot
  {
    std::uint64_t searchNumber = 0;
    bool found = false;
    ServerIndex server = 0;
    FreeSlot slot;
  };

  /** A slot that is kept out of use after a failure or a refused start. */
  struct HeldSlot
  {
    state::MonotonicTime until;
    ServerIndex server = 0;
    std::uint32_t generation = 0;

    auto operator<=>(const HeldSlot&) const = default;
  };

  TemplateIndex FindOrAddTemplate(const std::string& aName);
  JobInfo DescribeJob(JobHandle aJob,
                      const state::JobSpec& aSpec,
                      state::MonotonicTime aQueuedAt);
  FleetState DescribeFleet(const TaskNeeds& aNeeds);
  QueueState DescribeQueue(const state::JobSpec& aSpec,
                           OrganisationIndex aOrganisation,
                           TemplateIndex aTemplate) const;
  bool FitsAnyServer(const TaskNeeds& aNeeds);
  Choice Choose(const Candidate& aCandidate);
  const BestSlot& FindBestSlot(const JobInfo& aJob);
  Assignment AssignTask(const DequeuedTask& aDequeued);
  void ReleaseHeldSlots();
  void UpdateRates(ServerIndex aServer,
                   const RunningTask& aTask,
                   const state::TaskRecord& aRecord);
  void UpdateHealth(ServerIndex aServer,
                    const RunningTask& aTask,
                    const state::TaskRecord& aRecord);
  void HoldSlot(ServerIndex aServer, const RunningTask& aTask);
  void ApplyLimits(const std::vector<LimitChange>& aChanges);

  const state::Clock& clock_;
  SchedulerSettings settings_;
  std::vector<KnownTemplate> templates_;
  std::unordered_map<std::string, TemplateIndex> templatesByName_;
  std::unordered_set<std::string> publishedOrganisations_;
  RateEstimator rates_;
  ServerTable servers_;
  FairQueue queue_;
  WorkerHealth health_;
  FairQueue::Chooser chooser_;
  state::MonotonicTime now_;
  /** Server that the last call of Choose selected. */
  ServerIndex chosenServer_ = 0;
  double meanWork_ = 0;
  /**
   * Number of the current search for a task; the free slots do not change
   * during a search.
   */
  std::uint64_t searchNumber_ = 0;
  std::vector<BestSlot> bestSlots_;
  std::priority_queue<HeldSlot, std::vector<HeldSlot>, std::greater<>>
    heldSlots_;
  std::map<TaskNeeds, bool> fitsAnyServerCache_;
  SchedulerCounters counters_;
};

}
