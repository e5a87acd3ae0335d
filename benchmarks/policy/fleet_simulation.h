#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

#include "coordination/scheduling/task_scheduler.h"
#include "policy/job_result.h"
#include "policy/reference_queues.h"
#include "policy/virtual_clock.h"
#include "policy/workload.h"

namespace greengage::policy {

/** Duration and outcome of one run of a task on a server. */
struct RunPlan
{
  double seconds = 0;
  bool fails = false;

  auto operator<=>(const RunPlan&) const = default;
};

/** Functions by which a scenario changes the default behaviour. */
struct SimulationHooks
{
  /**
   * Returns the plan for a run. Without this hook, a run succeeds after its
   * work divided by the speed of the server.
   */
  std::function<RunPlan(std::size_t aServer, double aWork, double aNow)> plan;
  /** Returns true while the agent of a server refuses starts because it drains.
   */
  std::function<bool(std::size_t aServer, double aNow)> refusesStarts;
  /** Returns the time at which a job is cancelled, or a negative number if it
   * is not cancelled. */
  std::function<double(std::size_t aArrival)> cancelAt;
};

/** Messages and slot use of one simulated run. */
struct SimulationCounters
{
  std::uint64_t starts = 0;
  std::uint64_t refusedStarts = 0;
  /** Results that arrived after the end of their job, except those of cancelled
   * tasks. */
  std::uint64_t lateResults = 0;
  std::uint64_t duplicateStarts = 0;
  std::uint64_t cancelMessages = 0;
  std::uint64_t startsAfterCancel = 0;
  std::vector<std::uint64_t> startsByServer;
  /** Sum of the run times of all tasks within the measurement window. */
  double busySeconds = 0;

  auto operator<=>(const SimulationCounters&) const = default;

  std::uint64_t WastedMessages() const
  {
    return refusedStarts + lateResults + duplicateStarts;
  }
};

/** The measured part of a simulation, in seconds of virtual time. */
struct MeasurementWindow
{
  double start = 0;
  double end = 0;

  auto operator<=>(const MeasurementWindow&) const = default;
};

/**
 * Discrete-event simulation that runs the production TaskScheduler with a fleet
 * of simulated servers. Every message takes kMessageDelay.
 */
class FleetSimulation
{
public:
  FleetSimulation(std::vector<FleetServer> aFleet,
                  MeasurementWindow aWindow,
                  SimulationHooks aHooks = {},
                  coordination::SchedulerSettings aSettings = {});
  ~FleetSimulation();

  void SetOrganisation(const state::OrganisationParameters& aParameters);
  /** Runs until no events are pending. Returns the results in the order of the
   * arrivals. */
  std::vector<JobResult> Run(const std::vector<Arrival>& aArrivals);

  const SimulationCounters& Counters() const { return counters_; }
  coordination::TaskScheduler& Scheduler() { return scheduler_; }

private:
  enum class EventKind : std::uint8_t
  {
    eArrival,
    eStartAtServer,
    eResultAtOwner,
    eCancel,
    eCancelAtServer,
    eTick,
  };

  struct Event
  {
    double time = 0;
    std::uint64_t number = 0;
    EventKind kind = EventKind::eTick;
    /** Index of an arrival or a run, depending on the kind; unused for a tick.
     */
    std::size_t subject = 0;

    auto operator<=>(const Event&) const = default;
  };

  /** One start of a task. */
  struct TaskRun
  {
    coordination::TaskRef task;
    std::size_t server = 0;
    double startedAt = -1;
    double endsAt = -1;
    bool reported = false;
    state::TaskRecord record;
  };

  struct Job
  {
    std::size_t unfinishedTasks = 0;
    bool ended = false;
    bool submitted = false;
    std::vector<std::uint8_t> starts;
  };

  void Schedule(double aTime, EventKind aKind, std::size_t aSubject);
  void Handle(const Event& aEvent);
  void OnArrival(std::size_t aArrival);
  void OnStartAtServer(std::size_t aRun);
  void OnResult(std::size_t aRun);
  void OnCancel(std::size_t aArrival);
  void OnCancelAtServer(std::size_t aRun);
  void Dispatch();
  void EndJob(std::size_t aArrival, state::RefusalCode aCode);
  void CancelRuns(std::size_t aArrival);
  state::JobSpec SpecOf(const Arrival& aArrival) const;
  void AddBusySeconds(const TaskRun& aRun);

  std::vector<FleetServer> fleet_;
  MeasurementWindow window_;
  SimulationHooks hooks_;
  VirtualClock clock_;
  coordination::TaskScheduler scheduler_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t lastEventNumber_ = 0;
  std::size_t pendingEvents_ = 0;
  const std::vector<Arrival>* arrivals_ = nullptr;
  std::vector<Job> jobs_;
  std::vector<JobResult> results_;
  std::vector<TaskRun> runs_;
  std::unordered_map<std::size_t, std::vector<std::size_t>> runsOfJob_;
  SimulationCounters counters_;
};

}
