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
  /** Expected run time on the server that it was bound to. */
  float expectedSeconds = 0;
  SizeClass size = 0;

  bool operator==(const RunningTask&) const = default;
};

/** Servers that may take a task now, the fastest classes first. */
struct FreeServers
{
  static constexpr std::size_t kMaxServers = 4;
  std::array<ServerIndex, kMaxServers> servers{};
  std::size_t count = 0;

  auto operator<=>(const FreeServers&) const = default;
};

/** Slots of all servers that are faster than some class. */
struct FasterSlots
{
  /** Work per second of these slots. */
  double rate = 0;
  std::uint32_t slots = 0;
  /** Seconds per unit of work of one of these slots on average. */
  double slotSecondsPerWork = 0;

  auto operator<=>(const FasterSlots&) const = default;
};

/**
 * The known servers and what runs on them. Servers with a free slot are kept
 * in rate classes, so that finding the fastest does not depend on their number.
 */
class ServerTable
{
public:
  /** Eight classes for each doubling of the speed, from 1/16 to 16. */
  static constexpr std::size_t kRateClasses = 64;
  static constexpr std::uint32_t kNoLimit =
    std::numeric_limits<std::uint32_t>::max();

  static double SpeedOfClass(std::size_t aClass);

  /** Adds or replaces the description; the position stays. */
  ServerIndex Set(const ProcessInfo& aInfo);
  /** Forgets a server; returns what was running there. */
  std::vector<RunningTask> Remove(ServerIndex aServer);
  std::optional<ServerIndex> Find(const state::ProcessId& aAgent) const;

  void Start(ServerIndex aServer, const RunningTask& aTask);
  /** Frees the slot; empty if the task does not run there. */
  std::optional<RunningTask> End(ServerIndex aServer, const TaskRef& aTask);

  /** Moves a server to the class of its learned speed. */
  void SetSpeed(ServerIndex aServer, double aSpeed);
  /** Upper bound of running tasks for a server on probation; 0: none. */
  void SetLimit(ServerIndex aServer, std::uint32_t aLimit);
  /** The agent refuses starts because it is leaving. */
  void SetDraining(ServerIndex aServer);
  /** Takes a free slot out of use until ReleaseHeld. */
  void Hold(ServerIndex aServer);
  void ReleaseHeld(ServerIndex aServer);

  bool AnyFree() const { return freeClasses_ != 0; }
  /** Up to four servers of the fastest classes with room for the needs. */
  FreeServers FindFree(const TaskNeeds& aNeeds) const;
  /** True if an empty server, perhaps draining, has room for the needs. */
  bool FitsAnyServer(const TaskNeeds& aNeeds) const;

  /** Classes above the given one that have slots in use, as a bit set. */
  std::uint64_t ClassesAbove(std::size_t aClass) const;
  /** Slots of all usable servers of this class and above. */
  const FasterSlots& AtLeast(std::size_t aClass) const
  {
    return atLeast_[aClass];
  }
  double UsableRate() const { return atLeast_[0].rate; }
  std::uint32_t UsableSlots() const { return atLeast_[0].slots; }
  /** Speed of the fastest usable class; 0 if there is none. */
  double FastestSpeed() const;

  const ProcessInfo& Info(ServerIndex aServer) const;
  std::size_t ClassOf(ServerIndex aServer) const;
  std::span<const RunningTask> Running(ServerIndex aServer) const;
  /** Changes when the position is given to another server. */
  std::uint32_t Generation(ServerIndex aServer) const;
  std::size_t Count() const { return byId_.size(); }
  std::size_t RunningTasks() const { return running_; }
  /** Positions in use, in no particular order. */
  std::vector<ServerIndex> Indexes() const;

private:
  struct Server
  {
    ProcessInfo info;
    std::vector<RunningTask> running;
    /** The tasks of running in the same order, compact for the search. */
    std::vector<TaskRef> runningRefs;
    std::uint32_t held = 0;
    std::uint32_t limit = kNoLimit;
    std::uint32_t generation = 0;
    TaskNeeds used;
    std::size_t rateClass = kRateClasses / 2;
    /** Slots counted in slots_ for this server. */
    std::uint32_t countedSlots = 0;
    std::optional<std::uint32_t> freePosition;
  };

  bool HasFreeSlot(const Server& aServer) const;
  static bool HasRoom(const Server& aServer, const TaskNeeds& aNeeds);
  void UpdateFree(ServerIndex aServer);
  void RemoveFree(Server& aServer);
  void UpdateRates(Server& aServer);
  void RecomputeRates();

  std::vector<Server> servers_;
  std::vector<ServerIndex> unused_;
  std::unordered_map<state::ProcessId, ServerIndex> byId_;
  std::array<std::vector<ServerIndex>, kRateClasses> free_;
  /** Bit c is set if free_[c] is not empty. */
  std::uint64_t freeClasses_ = 0;
  std::array<std::uint32_t, kRateClasses> slots_{};
  std::uint64_t usedClasses_ = 0;
  std::array<FasterSlots, kRateClasses> atLeast_{};
  std::size_t running_ = 0;
};

}
