#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "state/dispatch/resource_amount.h"

namespace greengage::state {

/** Tasks of a job that start together once the steps before them are done. */
struct DispatchStep
{
  std::uint32_t taskCount = 0;
  /** What each task occupies while it runs. */
  ResourceAmount need;
  /** The caller's rough guess of a task's run time; zero if none is given. */
  std::chrono::milliseconds estimate{ 0 };
  /** Numbers of earlier steps that must be done first. */
  std::vector<std::uint32_t> after;
  /** Label that a backend server must have; empty if any will do. */
  std::string requiredLabel;
  /** Rack of the step's data; empty if there is none. */
  std::string dataRack;
  /** Most tasks of this step on one backend server; 0: not limited. */
  std::uint32_t maxPerServer = 0;

  auto operator<=>(const DispatchStep&) const = default;
};

/**
 * A job that its entry keeps in memory only and answers when it has ended. If
 * the entry fails, the caller submits the job again.
 */
struct DispatchJob
{
  std::uint64_t id = 0;
  /** Handed to the backend server with every task. */
  std::string payload;
  std::vector<DispatchStep> steps;

  auto operator<=>(const DispatchJob&) const = default;
};

/** One task of a job. */
struct TaskKey
{
  std::uint64_t job = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const TaskKey&) const = default;
};

/** One start of a task; a later start of the task has a higher number. */
struct RunKey
{
  TaskKey task;
  std::uint32_t run = 0;

  auto operator<=>(const RunKey&) const = default;
};

/** What a caller is told of its job. */
enum class DispatchResult : std::uint8_t
{
  eCompleted,
  /** Tasks may have run; the job is over. */
  eFailed,
  /** No task has started and none will. */
  eRejected,
  /** No configured queue takes the job; nothing has run. */
  eUnknownQueue,
};

/** Why a job ended as it did. */
enum class DispatchReason : std::uint8_t
{
  eNone,
  /** The queue's attempts are used up by failures of a task. */
  eAttemptsUsed,
  /** It could no longer be done in time. */
  eTooLate,
  /** The wait for room is longer than the job has time. */
  eOverload,
  /** No backend server could ever hold one of the tasks. */
  eImpossible,
  /** A backend server that ran a task is out of reach. */
  eServerLost,
  /** No configuration is known yet. */
  eNotConfigured,
  /** This kind of job is not served. */
  eUnsupported,
  /** The request's body is larger than the configuration allows. */
  eTooLarge,
  /** It waited in a socket while this process was paused. */
  ePaused,
  /** This process is about to end. */
  eStopping,
  /** The caller has gone. */
  eAbandoned,
  /** The caller cancelled it. */
  eCancelled,
};

/** Name for log lines and metrics. */
const char*
ToString(DispatchReason aReason);

const char*
ToString(DispatchResult aResult);

struct DispatchOutcome
{
  DispatchResult result = DispatchResult::eFailed;
  DispatchReason reason = DispatchReason::eNone;
  /** With eRejected: when a new submission is likely to be served. */
  std::chrono::milliseconds retryAfter{ 0 };

  auto operator<=>(const DispatchOutcome&) const = default;
};

/** Outcome of a job of which tasks may have run. */
inline DispatchOutcome
FailedOutcome(DispatchReason aReason)
{
  return { DispatchResult::eFailed, aReason, std::chrono::milliseconds(0) };
}

}
