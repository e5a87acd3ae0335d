#pragma once

#include <array>
#include <bit>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "coordination/messages.h"
#include "coordination/scheduling/rate_estimator.h"
#include "coordination/scheduling/scheduler_types.h"
#include "state/clock.h"

namespace greengage::coordination {

/** A task that occupies a slot. */
struct RunningTask
{
  TaskRef task;
  state::MonotonicTime startedAt;
  JobIndex job = 0;
  TemplateIndex workTemplate = 0;
  TaskNeeds needs;
  /** Expected run time on the server that the task is assigned to. */
  float expectedSeconds = 0;
  SizeClass sizeClass = 0;

  bool operator==(const RunningTask&) const = default;
};

/** Servers that can start a task now, those of the fastest class only. */
struct FreeServers
{
  static constexpr std::size_t kMaxServers = 4;
  std::array<ServerIndex, kMaxServers> servers{};
  std::size_t count = 0;

  auto operator<=>(const FreeServers&) const = default;
};

/** Totals over the usable slots of all servers of some rate classes. */
struct SlotTotals
{
  /** Work per second of these slots. */
  double rate = 0;
  std::uint32_t slots = 0;
  /** Mean time per unit of work on one of these slots, in seconds. */
  double slotSecondsPerWork = 0;

  auto operator<=>(const SlotTotals&) const = default;
};

/**
 * The known servers and the tasks that run on them. Servers with a free slot
 * are grouped into rate classes, so that the cost of finding the fastest does
 * not depend on the number of servers.
 */
class ServerTable
{
public:
  /** Eight classes for each doubling of the speed, from 1/16 to 16. */
  static constexpr std::size_t kRateClasses = 64;
  static constexpr std::uint32_t kNoLimit =
    std::numeric_limits<std::uint32_t>::max();

  static double SpeedOfClass(std::size_t aClass);

  /** Adds a server or replaces its description; the index does not change. */
  ServerIndex Set(const ProcessInfo& aInfo);
  /** Removes a server; returns the tasks that were running on it. */
  std::vector<RunningTask> Remove(ServerIndex aServer);
  std::optional<ServerIndex> Find(const state::ProcessId& aAgent) const;

  void Start(ServerIndex aServer, const RunningTask& aTask);
  /** Removes a running task; returns empty if it does not run on the server. */
  std::optional<RunningTask> End(ServerIndex aServer, const TaskRef& aTask);

  /** Moves a server to the rate class of its estimated speed. */
  void SetSpeed(ServerIndex aServer, double aSpeed);
  /** Sets the upper bound of running tasks; 0 excludes the server. */
  void SetLimit(ServerIndex aServer, std::uint32_t aLimit);
  /** Excludes a server whose agent refuses starts because it is draining. */
  void SetDraining(ServerIndex aServer);
  /** Takes one slot out of use until ReleaseHeldSlot is called. */
  void HoldSlot(ServerIndex aServer);
  void ReleaseHeldSlot(ServerIndex aServer);

  bool HasFreeServer() const { return freeClasses_ != 0; }
  /**
   * Returns servers of the fastest class that has any with free capacity for
   * the needs, at most FreeServers::kMaxServers of them.
   */
  FreeServers FindFree(const TaskNeeds& aNeeds) const;
  /** True if a server, draining ones included, meets the needs when idle. */
  bool FitsAnyServer(const TaskNeeds& aNeeds) const;

  /** Bit set of the classes above aClass that have usable slots. */
  std::uint64_t ClassesAbove(std::size_t aClass) const;
  /** Totals over the usable slots of this class and all faster ones. */
  const SlotTotals& TotalsFromClass(std::size_t aClass) const
  {
    return totalsFromClass_[aClass];
  }
  double UsableRate() const { return totalsFromClass_[0].rate; }
  std::uint32_t UsableSlots() const { return totalsFromClass_[0].slots; }
  /** Speed of the fastest class with usable slots; 0 if there is none. */
  double FastestSpeed() const;

  const ProcessInfo& Info(ServerIndex aServer) const;
  std::size_t ClassOf(ServerIndex aServer) const;
  std::span<const RunningTask> Running(ServerIndex aServer) const;
  /** Changes when the index is reused for another server. */
  std::uint32_t Generation(ServerIndex aServer) const;
  std::size_t Count() const { return indexById_.size(); }
  std::size_t RunningTasks() const { return runningCount_; }
  /** Indexes of all known servers, in no particular order. */
  std::vector<ServerIndex> Indexes() const;

private:
  struct Server
  {
    ProcessInfo info;
    std::vector<RunningTask> running;
    /** The TaskRefs of running in the same order; compact, for fast search. */
    std::vector<TaskRef> runningRefs;
    std::uint32_t heldSlots = 0;
    std::uint32_t limit = kNoLimit;
    std::uint32_t generation = 0;
    TaskNeeds usedResources;
    std::size_t rateClass = kRateClasses / 2;
    /** Usable slots of this server that are counted in slotsByClass_. */
    std::uint32_t countedSlots = 0;
    /** Position in the list of its class in freeByClass_, if it is there. */
    std::optional<std::uint32_t> freePosition;
  };

  bool HasFreeSlot(const Server& aServer) const;
  static bool HasFreeCapacity(const Server& aServer, const TaskNeeds& aNeeds);
  void UpdateFreeList(ServerIndex aServer);
  void RemoveFromFreeList(Server& aServer);
  void UpdateRates(Server& aServer);
  void RecomputeRates();

  std::vector<Server> servers_;
  std::vector<ServerIndex> unusedIndexes_;
  std::unordered_map<state::ProcessId, ServerIndex> indexById_;
  std::array<std::vector<ServerIndex>, kRateClasses> freeByClass_;
  /** Bit c is set if freeByClass_[c] is not empty. */
  std::uint64_t freeClasses_ = 0;
  std::array<std::uint32_t, kRateClasses> slotsByClass_{};
  std::uint64_t usableClasses_ = 0;
  std::array<SlotTotals, kRateClasses> totalsFromClass_{};
  std::size_t runningCount_ = 0;
};

}
