#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <set>
#include <unordered_map>
#include <vector>

#include "coordination/scheduling/scheduler_settings.h"
#include "coordination/scheduling/scheduler_types.h"
#include "state/clock.h"

namespace greengage::coordination {

enum class HealthState : std::uint8_t
{
  eHealthy,
  /** Gets no task for some time. */
  eEjected,
  /** Gets a few tasks, more with each success. */
  eProbation,
};

/** How many tasks a server may run from now on. */
struct LimitChange
{
  ServerIndex server = 0;
  std::uint32_t limit = 0;

  auto operator<=>(const LimitChange&) const = default;
};

/** End of one task as far as the health of its server is concerned. */
struct HealthSample
{
  ServerIndex server = 0;
  TemplateIndex workTemplate = 0;
  JobHandle job = 0;
  bool failed = false;

  auto operator<=>(const HealthSample&) const = default;
};

/** Numbers since the start. */
struct HealthCounters
{
  std::uint64_t ejections = 0;
  /** Ejections not done because too many servers were ejected already. */
  std::uint64_t ejectionsOverCap = 0;
  std::uint64_t reinstatements = 0;
  /** Jobs whose failures were counted against the job. */
  std::uint64_t failingJobs = 0;

  auto operator<=>(const HealthCounters&) const = default;
};

/**
 * Finds servers that fail more than the others do on the same templates and
 * takes them out of service for a time, a bounded part of the fleet at once.
 */
class WorkerHealth
{
public:
  explicit WorkerHealth(SchedulerSettings aSettings);

  void AddServer(ServerIndex aServer, std::uint32_t aSlots);
  void RemoveServer(ServerIndex aServer);

  /** Takes one result and returns the new limits that follow. */
  std::vector<LimitChange> OnResult(const HealthSample& aSample,
                                    state::MonotonicTime aNow);
  /** Ends ejections that are over; call before slots are given out. */
  std::vector<LimitChange> Tick(state::MonotonicTime aNow);

  /**
   * True while a server fails task after task. Its slots must not be given
   * out faster than if it ran them, or it would attract most of the queue.
   */
  bool FailsRepeatedly(ServerIndex aServer) const;
  HealthState State(ServerIndex aServer) const;
  /** Servers that are ejected or on probation. */
  std::size_t OutOfService() const { return outOfService_; }
  const HealthCounters& Counters() const { return counters_; }

private:
  /** Recent results; old ones are halved away. */
  struct Tally
  {
    float results = 0;
    float failures = 0;

    void Add(bool aFailed, float aWindow);
    void Remove();
  };

  struct Server
  {
    bool known = false;
    std::uint32_t slots = 0;
    std::vector<Tally> byTemplate;
    std::uint32_t failuresInARow = 0;
    HealthState state = HealthState::eHealthy;
    std::uint32_t limit = 0;
    state::MonotonicTime ejectedUntil;
    std::chrono::milliseconds ejection{ 0 };
    state::MonotonicTime reinstatedAt;
  };

  /** The first servers on which tasks of a job failed. */
  struct JobFailures
  {
    std::array<ServerIndex, 3> servers{};
    std::size_t count = 0;
  };

  bool CountsAgainstServer(const HealthSample& aSample);
  void Uncount(const JobFailures& aFailures, const HealthSample& aSample);
  Tally& TallyOf(ServerIndex aServer, TemplateIndex aTemplate);
  Tally& FleetTally(TemplateIndex aTemplate);
  bool OutOfLine(const Server& aServer) const;
  std::vector<LimitChange> OnSuccess(ServerIndex aServer,
                                     state::MonotonicTime aNow);
  std::vector<LimitChange> Eject(ServerIndex aServer,
                                 state::MonotonicTime aNow);

  SchedulerSettings settings_;
  std::vector<Server> servers_;
  std::vector<Tally> fleet_;
  std::unordered_map<JobHandle, JobFailures> jobFailures_;
  /** Order in which entries of jobFailures_ are dropped. */
  std::deque<JobHandle> jobOrder_;
  std::set<std::pair<state::MonotonicTime, ServerIndex>> ejected_;
  std::size_t serverCount_ = 0;
  std::size_t outOfService_ = 0;
  HealthCounters counters_;
};

}
