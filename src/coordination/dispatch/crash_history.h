#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/dispatch/dispatch_messages.h"
#include "state/clock.h"
#include "state/process_id.h"

namespace greengage::coordination {

/** What a crash report changed for one of the tasks that it lists. */
struct CrashedTask
{
  state::TaskKey task;
  std::string queue;
  /** Crashes of servers during a run of the task. */
  std::uint32_t crashes = 0;
  /** Those of them that are attributed to the task. */
  std::uint32_t attributed = 0;
  /** The task reached the limit with this crash. */
  bool isGivenUp = false;

  auto operator<=>(const CrashedTask&) const = default;
};

/**
 * Counts the crashes of backend servers for each task, to find the task that
 * causes them. Most tasks on a server that crashes are victims. A crash with
 * suspects of an earlier one is therefore attributed to these only, and a crash
 * with a task that is given up is attributed to no other task. Evidence expires
 * after 30 s. All entries receive the same reports and come to the same
 * conclusions. Used by the control thread only.
 */
class CrashHistory
{
public:
  explicit CrashHistory(const state::Clock& aClock);

  /** Returns the changed tasks; empty if the crash is already counted. */
  std::vector<CrashedTask> OnCrash(const state::ProcessId& aAgent,
                                   const ServerCrash& aCrash);
  /** Removes what has expired. */
  void RemoveExpired();

  /** Returns true if no crash is known that could be attributed to a task. */
  bool IsEmpty() const { return counts_.empty(); }
  /** Returns the number of crashes that are attributed to the task. */
  std::uint32_t Attributed(const state::TaskKey& aTask) const;
  /** Returns true if the task must not be started again. */
  bool IsGivenUp(const state::TaskKey& aTask) const
  {
    return givenUp_.contains(aTask);
  }
  /** Returns true if a task of the job must not be started again. */
  bool HasGivenUpTask(state::DispatchJobId aJob) const;

private:
  struct Crash
  {
    std::pair<state::ProcessId, std::uint64_t> id;
    state::MonotonicTime at;
    std::vector<state::TaskKey> tasks;
    std::set<state::TaskKey> attributed;
  };

  struct Counts
  {
    std::uint32_t crashes = 0;
    std::uint32_t attributed = 0;
  };

  std::set<state::TaskKey> Attribute(const Crash& aCrash) const;
  /** Attributes the crashes that list this task to no other one. */
  void Exonerate(const state::TaskKey& aGivenUp);
  void RemoveOldest();

  const state::Clock& clock_;
  /** In the order of arrival. */
  std::deque<Crash> crashes_;
  std::set<std::pair<state::ProcessId, std::uint64_t>> known_;
  std::map<state::TaskKey, Counts> counts_;
  /** Tasks that are given up, and when. */
  std::map<state::TaskKey, state::MonotonicTime> givenUp_;
};

}
