#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "coordination/dispatch/dispatch_messages.h"
#include "state/clock.h"
#include "state/process_id.h"

// The only rule that decides for how long a start order without an answer keeps
// other runs of its task from existing. An answered stop makes the incarnation
// that answered it refuse the order, so the task may run elsewhere. The next
// incarnation knows neither the stop nor the fencing token of the agent, and
// may carry the order out as soon as it listens. From the end of an incarnation
// until the agent has a list of the next one, the task is therefore held: it
// has no run elsewhere, and none is started.
namespace greengage::coordination {

/**
 * Longest time between sending a start order without an answer and carrying it
 * out, as the users' platform states it.
 */
constexpr std::chrono::milliseconds kLongestStartDelay{ 12'000 };
/**
 * Maximum number of tasks that a process holds; those that expire first are
 * dropped. At 53 starts/s at each of 1,000 servers, half of which remain
 * unanswered, 318 are pending.
 */
constexpr std::size_t kMaxHeldTasks = 1024;

/** Start orders without an answer, and until when they may be carried out. */
using LateStarts = std::map<state::RunKey, state::MonotonicTime>;

/** Tasks, and until when they are held. */
using HeldTasks = std::map<state::TaskKey, state::MonotonicTime>;

/** What an agent knows about the present incarnation of its server. */
struct ServerFence
{
  /** Its process may have ended if it cannot be reached. */
  bool isReachable = false;
  /** It has announced its end. */
  bool hasLeft = false;
  /**
   * It has listed its runs after a call with the present fencing token, and
   * each of them was ordered by the agent, or has ended.
   */
  bool areAllRunsKnown = false;

  auto operator<=>(const ServerFence&) const = default;
};

/**
 * Returns true if the incarnation refuses all start orders that are withdrawn,
 * and has not carried out one of them.
 */
bool
RefusesLateStarts(const ServerFence& aFence);

/** Removes the orders that are not carried out any more. */
void
RemoveExpired(LateStarts& aStarts, state::MonotonicTime aNow);

/** Returns the tasks that an agent holds because of these orders. */
HeldTasks
TasksToHold(const LateStarts& aStarts, const ServerFence& aFence);

/** Returns the message that states these tasks. */
TaskHolds
MakeTaskHolds(std::uint64_t aNumber,
              const HeldTasks& aTasks,
              state::MonotonicTime aNow);

/** The holds of one process, as known to an entry. */
struct KnownHolds
{
  std::uint64_t number = 0;
  HeldTasks tasks;
  state::MonotonicTime receivedAt;

  auto operator<=>(const KnownHolds&) const = default;
};

/** The holds of all processes, as known to an entry. */
using HoldTable = std::map<state::ProcessId, KnownHolds>;

/** Replaces the holds of a process; returns false if these are not newer. */
bool
ApplyHolds(HoldTable& aTable,
           const ReportedHolds& aHolds,
           state::MonotonicTime aNow);

/** Removes processes whose holds have expired, and cannot arrive again. */
void
RemoveExpired(HoldTable& aTable, state::MonotonicTime aNow);

/** Returns true if any process holds the task. */
bool
IsHeld(const HoldTable& aTable,
       const state::TaskKey& aTask,
       state::MonotonicTime aNow);

}
