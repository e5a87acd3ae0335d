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

/** One caller's wait for the end of a job; chosen by the front. */
using SubmissionId = std::uint64_t;

enum class TaskPhase : std::uint8_t
{
  eWaiting,
  eRunning,
  /** Ordered to stop; it waits again once the agent says that it has. */
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
  double expectedMs = 0;
  /** Known from the progress of a run; zero before. */
  double workMs = 0;
  /** Times that a forecast made it change its server. */
  std::uint32_t moves = 0;
  bool overdue = false;
};

struct DispatchedStep
{
  std::vector<DispatchedTask> tasks;
  std::uint32_t done = 0;
  std::uint32_t waiting = 0;
  double workMs = 0;
  std::map<state::ProcessId, std::uint32_t> runsByServer;
};

/** Priority, not started, latest start, job: the order of getting room. */
using WaitingKey =
  std::tuple<std::uint32_t, bool, state::MonotonicTime, std::uint64_t>;

/** A job that an entry has accepted, and how far it is. */
struct DispatchedJob
{
  state::DispatchJob spec;
  state::WorkQueue queue;
  std::vector<SubmissionId> submissions;
  std::vector<DispatchedStep> steps;
  state::MonotonicTime submittedAt;
  state::MonotonicTime objectiveAt;
  /** An answer after this is worth nothing to the caller. */
  state::MonotonicTime uselessAt;
  state::MonotonicTime deadline;
  state::MonotonicTime firstRunAt;
  /** Latest start that meets the objective on the fastest server. */
  state::MonotonicTime latestStart;
  /** Work on the longest chain of steps. */
  double workMs = 0;
  std::uint32_t runs = 0;
  bool started = false;
  /** Its place among those that wait for room. */
  std::optional<WaitingKey> waitingKey;
  /** Servers on which a run of this job failed. */
  std::set<state::ProcessId> failedOn;
};

/**
 * A job as it begins, with its objective and the times that follow from it.
 * @param aPatience how long the caller waits for the answer
 */
DispatchedJob
MakeDispatchedJob(state::DispatchJob aSpec,
                  const state::WorkQueue& aQueue,
                  const RunTimeModel& aModel,
                  state::MonotonicTime aNow,
                  std::chrono::milliseconds aPatience);

/**
 * What a task of the step needs of a server at this moment.
 * @param aTask null for a task of which no progress is known
 */
PlacementRequest
MakePlacementRequest(const DispatchedJob& aJob,
                     std::size_t aStep,
                     const DispatchedTask* aTask,
                     double aFarFactor,
                     state::MonotonicTime aNow);

/** Time until the job's deadline that tasks can use, in ms. */
double
UsableTimeMs(const DispatchedJob& aJob, state::MonotonicTime aNow);

/** True if the steps before it are done. */
bool
IsReady(const DispatchedJob& aJob, const state::DispatchStep& aStep);

/** True if all tasks of all steps are done. */
bool
IsComplete(const DispatchedJob& aJob);

state::RunKey
KeyOf(const DispatchedJob& aJob, std::size_t aStep, std::uint32_t aIndex);

WaitingKey
WaitingKeyOf(const DispatchedJob& aJob);

/** Milliseconds with fractions from one moment to another. */
double
MillisecondsBetween(state::MonotonicTime aFrom, state::MonotonicTime aTo);

/** Whole milliseconds, rounded down. */
std::chrono::milliseconds
ToMilliseconds(double aMs);

/** Standard deviation of the logarithm of the work, with estimates 40% off. */
inline constexpr double kWorkDeviation = 0.3;

/** What a move to another server costs beside the new run, in ms: the stop and
 * two messages. */
inline constexpr double kMoveMs = 70;

}
