#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "coordination/dispatch/run_time_model.h"
#include "coordination/dispatch/server_pool.h"
#include "state/clock.h"
#include "state/dispatch/dispatch_configuration.h"
#include "state/dispatch/dispatch_job.h"

namespace greengage::coordination {

/**
 * Identifies one caller waiting for the end of a job; set by the entry process,
 * which serves the callers.
 */
using SubmissionId = std::uint64_t;

enum class TaskPhase : std::uint8_t
{
  eWaiting,
  eRunning,
  /** Ordered to stop; returns to eWaiting once the agent reports the end. */
  eStopping,
  eDone,
};

struct DispatchedTask
{
  TaskPhase phase = TaskPhase::eWaiting;
  std::uint32_t run = 0;
  std::uint32_t failures = 0;
  state::ProcessId server;
  state::MonotonicTime sentAt;
  /** Expected run time, as placed or as forecast since. */
  double expectedMs = 0;
  /** Work derived from the progress of a run; zero until it is known. */
  double workMs = 0;
  /** Number of moves to another server caused by forecasts. */
  std::uint32_t moves = 0;
  bool isOverdue = false;
  /** Number of runs of the task that were overdue. */
  std::uint8_t overdueRuns = 0;
  /** A server may start a run of the task at any later time. */
  bool isStartUncertain = false;
};

struct DispatchedStep
{
  std::vector<DispatchedTask> tasks;
  std::uint32_t done = 0;
  std::uint32_t waiting = 0;
  double workMs = 0;
  std::map<state::ProcessId, std::uint32_t> runsByServer;
};

/**
 * Order in which jobs receive free capacity: priority, started jobs first,
 * latest start, job id.
 */
using WaitingKey =
  std::tuple<std::uint32_t, bool, state::MonotonicTime, state::DispatchJobId>;

/** A job that an entry has accepted, and its progress. */
struct DispatchedJob
{
  state::DispatchJob spec;
  state::WorkQueue queue;
  std::vector<SubmissionId> submissions;
  std::vector<DispatchedStep> steps;
  state::MonotonicTime submittedAt;
  state::MonotonicTime objectiveAt;
  /** An answer after this time has no value to the caller. */
  state::MonotonicTime usefulUntil;
  state::MonotonicTime deadline;
  state::MonotonicTime firstRunAt;
  /** Latest start that meets the objective on the fastest server. */
  state::MonotonicTime latestStart;
  /** Work on the longest chain of dependent steps. */
  double workMs = 0;
  std::uint32_t runs = 0;
  bool started = false;
  /** Forecast on arrival, without correction; see AdmissionControl. */
  std::optional<double> forecastMs;
  /** Position in the queue of jobs that wait for free capacity. */
  std::optional<WaitingKey> waitingKey;
  /**
   * Runs of an earlier submission to this entry whose end was not reported when
   * this one arrived, with their agents.
   */
  std::vector<std::pair<state::ProcessId, state::RunKey>> earlierRuns;
  /** Servers on which a run of this job failed. */
  std::set<state::ProcessId> failedOn;
};

/**
 * Returns the longest time until the answer. What the caller states goes first:
 * callers state more for larger jobs, and the timeout of the queue is the same
 * for all of them. At most ten minutes of it count, so that a job whose caller
 * states days does not occupy memory for as long.
 * @param aCallerTimeout empty if the caller states none
 */
std::chrono::milliseconds
TimeLimit(const state::WorkQueue& aQueue,
          std::optional<std::chrono::milliseconds> aCallerTimeout);

/**
 * Creates the state of a newly submitted job, with its objective and the times
 * derived from it.
 * @param aTimeout the time until the answer
 */
DispatchedJob
MakeDispatchedJob(state::DispatchJob aSpec,
                  const state::WorkQueue& aQueue,
                  const RunTimeModel& aModel,
                  state::MonotonicTime aNow,
                  std::chrono::milliseconds aTimeout);

/**
 * Returns the present requirements of a task of the step on a server.
 * @param aTask null for a task without known progress
 */
PlacementRequest
MakePlacementRequest(const DispatchedJob& aJob,
                     std::size_t aStep,
                     const DispatchedTask* aTask,
                     double aRemoteRackFactor,
                     state::MonotonicTime aNow);

/** Returns the time until the deadline that tasks can use, in ms. */
double
UsableTimeMs(const DispatchedJob& aJob, state::MonotonicTime aNow);

/** Returns true if all steps that this step depends on are done. */
bool
IsReady(const DispatchedJob& aJob, const state::DispatchStep& aStep);

/**
 * Returns true if a server may start a run of the job at any later time, so
 * that its callers must not submit the job again.
 */
bool
HasUncertainStart(const DispatchedJob& aJob);

/** Returns true if all tasks of all steps are done. */
bool
IsComplete(const DispatchedJob& aJob);

/**
 * Returns true if the job has this task. Reports may name tasks of an earlier
 * submission with the same id.
 */
bool
HasTask(const DispatchedJob& aJob, const state::TaskKey& aTask);

state::RunKey
KeyOf(const DispatchedJob& aJob, std::size_t aStep, std::uint32_t aIndex);

WaitingKey
WaitingKeyOf(const DispatchedJob& aJob);

/** Returns the time between two moments in ms, with fractions. */
double
MillisecondsBetween(state::MonotonicTime aFrom, state::MonotonicTime aTo);

/**
 * Converts to whole milliseconds, rounded towards zero and limited to 100 days.
 */
std::chrono::milliseconds
ToMilliseconds(double aMs);

/** Standard deviation of log(work), for estimates that are off by 40%. */
inline constexpr double kWorkDeviation = 0.3;

/**
 * Overhead of a move to another server beside the new run, in ms: the stop and
 * two messages.
 */
inline constexpr double kMoveMs = 70;

}
