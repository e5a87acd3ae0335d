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
  /** Receives no tasks until the ejection ends. */
  eEjected,
  /** Receives a limited number of tasks, which doubles with each success. */
  eProbation,
};

/** New limit of the number of tasks that a server may run at once. */
struct LimitChange
{
  ServerIndex server = 0;
  std::uint32_t limit = 0;

  auto operator<=>(const LimitChange&) const = default;
};

/** Result of one task, used to assess the health of its server. */
struct HealthSample
{
  ServerIndex server = 0;
  TemplateIndex workTemplate = 0;
  JobHandle job = 0;
  bool failed = false;

  auto operator<=>(const HealthSample&) const = default;
};

/** Counters since the start of the process. */
struct HealthCounters
{
  std::uint64_t ejections = 0;
  /** Ejections that SchedulerSettings::maxEjectedShare prevented. */
  std::uint64_t ejectionsOverCap = 0;
  std::uint64_t reinstatements = 0;
  /** Jobs whose failures were attributed to the job, not to the servers. */
  std::uint64_t failingJobs = 0;

  auto operator<=>(const HealthCounters&) const = default;
};

/**
 * Detects servers whose tasks fail more often than tasks of the same templates
 * do on other servers, and ejects them for some time. The share of servers that
 * are out of service at once is bounded.
 */
class WorkerHealth
{
public:
  explicit WorkerHealth(SchedulerSettings aSettings);

  void AddServer(ServerIndex aServer, std::uint32_t aSlots);
  void RemoveServer(ServerIndex aServer);

  /** Records the result of a task; returns the limits that change. */
  std::vector<LimitChange> OnResult(const HealthSample& aSample,
                                    state::MonotonicTime aNow);
  /**
   * Starts the probation of servers whose ejection has ended; returns their new
   * limits. Must be called before tasks are assigned.
   */
  std::vector<LimitChange> Tick(state::MonotonicTime aNow);

  /**
   * True if the most recent tasks of the server failed in a row. A server that
   * fails tasks quickly frees its slots faster than others and would receive
   * most of the queue, so its slots must be held for the expected run time.
   */
  bool FailsRepeatedly(ServerIndex aServer) const;
  HealthState State(ServerIndex aServer) const;
  /** Number of servers that are ejected or on probation. */
  std::size_t OutOfServiceCount() const { return outOfServiceCount_; }
  const HealthCounters& Counters() const { return counters_; }

private:
  /** Counts of recent results; halved when the window is full. */
  struct Tally
  {
    float results = 0;
    float failures = 0;

    void Add(bool aFailed, float aWindow);
    void Remove();
  };

  struct Server
  {
    bool isKnown = false;
    std::uint32_t slots = 0;
    std::vector<Tally> byTemplate;
    std::uint32_t consecutiveFailures = 0;
    HealthState state = HealthState::eHealthy;
    std::uint32_t limit = 0;
    state::MonotonicTime ejectedUntil;
    std::chrono::milliseconds ejectionTime{ 0 };
    state::MonotonicTime reinstatedAt;
  };

  /** The first servers on which tasks of a job failed. */
  struct JobFailures
  {
    std::array<ServerIndex, 3> servers{};
    std::size_t count = 0;
  };

  /**
   * Records on which servers a job failed. Returns false if the job failed on
   * this server before, or on so many servers that the job is the likely cause.
   */
  bool CountsAgainstServer(const HealthSample& aSample);
  /** Removes the earlier failures of a job from the tallies of its servers. */
  void RemoveFailures(const JobFailures& aFailures,
                      const HealthSample& aSample);
  Tally& TallyOf(ServerIndex aServer, TemplateIndex aTemplate);
  Tally& FleetTally(TemplateIndex aTemplate);
  bool IsOutlier(const Server& aServer) const;
  std::vector<LimitChange> OnSuccess(ServerIndex aServer,
                                     state::MonotonicTime aNow);
  std::vector<LimitChange> Eject(ServerIndex aServer,
                                 state::MonotonicTime aNow);

  SchedulerSettings settings_;
  std::vector<Server> servers_;
  std::vector<Tally> fleetTallies_;
  std::unordered_map<JobHandle, JobFailures> jobFailures_;
  /** Keys of jobFailures_, oldest first; the oldest are dropped first. */
  std::deque<JobHandle> trackedJobs_;
  std::set<std::pair<state::MonotonicTime, ServerIndex>> ejectionEnds_;
  std::size_t serverCount_ = 0;
  std::size_t outOfServiceCount_ = 0;
  HealthCounters counters_;
};

}
