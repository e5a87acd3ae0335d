#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "state/dispatch/dispatch_job_id.h"
#include "state/dispatch/resource_amount.h"

namespace greengage::state {

/** Tasks of a job that become ready together, after earlier steps are done. */
struct DispatchStep
{
  std::uint32_t taskCount = 0;
  /** Capacity that each task occupies while it runs. */
  ResourceAmount need;
  /** Rough estimate of a task's run time by the caller; zero if not given. */
  std::chrono::milliseconds estimate{ 0 };
  /** Indexes of earlier steps that must be done first. */
  std::vector<std::uint32_t> after;
  /** Label that a backend server must have; empty if none is required. */
  std::string requiredLabel;
  /** Rack of the step's data; empty if there is none. */
  std::string dataRack;
  /** Maximum number of tasks of this step on one server; 0: not limited. */
  std::uint32_t maxPerServer = 0;

  auto operator<=>(const DispatchStep&) const = default;
};

/**
 * A job that its entry holds in memory only and answers when it has ended. If
 * the entry fails, the caller submits the job again.
 */
struct DispatchJob
{
  DispatchJobId id;
  /** Passed to the backend server with every task. */
  std::string payload;
  std::vector<DispatchStep> steps;

  auto operator<=>(const DispatchJob&) const = default;
};

/** Identifies one task of a job. */
struct TaskKey
{
  DispatchJobId job;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const TaskKey&) const = default;
};

/** Identifies one run of a task; a later run has a higher number. */
struct RunKey
{
  TaskKey task;
  std::uint32_t run = 0;

  auto operator<=>(const RunKey&) const = default;
};

/** Result of a job that is returned to the caller. */
enum class DispatchResult : std::uint8_t
{
  eCompleted,
  /** The job has ended without success; tasks may have run. */
  eFailed,
  /** No task has started and none will. */
  eRejected,
  /** No configured queue matches the job; nothing has run. */
  eUnknownQueue,
};

/** Reason for the result of a job. */
enum class DispatchReason : std::uint8_t
{
  eNone,
  /** A task failed as often as the queue allows. */
  eAttemptsUsed,
  /** The job could not be completed in time any more. */
  eTooLate,
  /** No capacity became free before the latest start of the job. */
  eOverload,
  /** No backend server meets the requirements of one of the tasks. */
  eImpossible,
  /** A backend server that ran a task was lost. */
  eServerLost,
  /** Backend servers crashed during runs of one of the tasks. */
  eCrashedServers,
  /** The entry has not received a configuration yet. */
  eNotConfigured,
  /** This kind of job is not supported. */
  eUnsupported,
  /** The request's body is larger than the configuration allows. */
  eTooLarge,
  /** The request was buffered while this process was paused. */
  ePaused,
  /** This process is stopping. */
  eStopping,
  /** All callers that waited for the job left. */
  eAbandoned,
  /** A caller cancelled the job. */
  eCancelled,
  /**
   * A server left a start order unanswered and may still carry it out, so the
   * task must not be started again.
   */
  eOutcomeUnknown,
  /** Only servers in evacuated data centres could run one of the tasks. */
  eEvacuated,
  /** The memory of this process for its callers is used up. */
  eNoMemory,
};

/** Returns the name for log lines and metrics. */
const char*
ToString(DispatchReason aReason);

const char*
ToString(DispatchResult aResult);

struct DispatchOutcome
{
  DispatchResult result = DispatchResult::eFailed;
  DispatchReason reason = DispatchReason::eNone;
  /** With eRejected: delay after which a retry is likely to be accepted. */
  std::chrono::milliseconds retryAfter{ 0 };

  auto operator<=>(const DispatchOutcome&) const = default;
};

/** Returns the outcome of a failed job, of which tasks may have run. */
inline DispatchOutcome
FailedOutcome(DispatchReason aReason)
{
  return { DispatchResult::eFailed, aReason, std::chrono::milliseconds(0) };
}

}
