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
#include "policy/workload.h"

namespace greengage::policy {

/** Clock of the simulation. */
class VirtualClock : public state::Clock
{
public:
  state::MonotonicTime MonotonicNow() const override;
  state::WallTime WallNow() const override;
  void Set(double aSeconds) { now_ = aSeconds; }
  double Now() const { return now_; }

private:
  double now_ = 0;
};

/** How one run of a task goes on a server. */
struct RunPlan
{
  double seconds = 0;
  bool fails = false;

  auto operator<=>(const RunPlan&) const = default;
};

/** What a scenario changes of the plain behaviour. */
struct SimulationHooks
{
  /** Run of a task of this work on this server; empty: work over speed. */
  std::function<RunPlan(std::size_t aServer, double aWork, double aNow)> plan;
  /** True while the agent refuses starts because it is leaving. */
  std::function<bool(std::size_t aServer, double aNow)> refusesStarts;
  /** When the job of an arrival is cancelled; negative: never. */
  std::function<double(std::size_t aArrival)> cancelAt;
};

/** Messages and slot use of one simulated run. */
struct SimulationCounters
{
  std::uint64_t starts = 0;
  std::uint64_t refusedStarts = 0;
  /** Results of tasks whose job had ended. */
  std::uint64_t lateAnswers = 0;
  std::uint64_t duplicateStarts = 0;
  std::uint64_t cancelMessages = 0;
  std::uint64_t startsAfterCancel = 0;
  std::vector<std::uint64_t> startsByServer;
  /** Slot seconds in use at the servers inside the measured time. */
  double busySeconds = 0;

  auto operator<=>(const SimulationCounters&) const = default;

  std::uint64_t Wasted() const
  {
    return refusedStarts + lateAnswers + duplicateStarts;
  }
};

/** Measured part of a run, in seconds of virtual time. */
struct MeasuredTime
{
  double start = 0;
  double end = 0;

  auto operator<=>(const MeasuredTime&) const = default;
};

/**
 * Discrete-event loop that drives the real TaskScheduler with a fleet of fake
 * servers. Every message takes kMessageDelay.
 */
class FleetSimulation
{
public:
  FleetSimulation(std::vector<FleetServer> aFleet,
                  MeasuredTime aMeasured,
                  SimulationHooks aHooks = {},
                  coordination::SchedulerSettings aSettings = {});
  ~FleetSimulation();

  void SetOrganisation(const state::OrganisationParameters& aParameters);
  /** Runs until all events are handled; results in order of arrival. */
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
    /** Arrival, run or server, depending on the kind. */
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
    std::size_t missing = 0;
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
  void CountBusy(const TaskRun& aRun);

  std::vector<FleetServer> fleet_;
  MeasuredTime measured_;
  SimulationHooks hooks_;
  VirtualClock clock_;
  coordination::TaskScheduler scheduler_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t lastEvent_ = 0;
  std::size_t openEvents_ = 0;
  const std::vector<Arrival>* arrivals_ = nullptr;
  std::vector<Job> jobs_;
  std::vector<JobResult> results_;
  std::vector<TaskRun> runs_;
  std::unordered_map<std::size_t, std::vector<std::size_t>> runsOfJob_;
  SimulationCounters counters_;
};

}
