#pragma once

#include <chrono>
#include <string>

#include "coordination/dispatch/crash_history.h"
#include "coordination/dispatch/dispatched_job.h"
#include "coordination/dispatch/queue_isolation.h"

namespace greengage::coordination {

/** Record of an ended job and its outcome, for the log and metrics. */
struct JobRecord
{
  state::DispatchJobId job;
  std::string queue;
  std::uint64_t configurationVersion = 0;
  std::uint32_t tasks = 0;
  std::uint32_t tasksDone = 0;
  std::uint32_t runs = 0;
  /** Time from submission to the first run, or to the end if none started. */
  std::chrono::milliseconds waited{ 0 };
  std::chrono::milliseconds total{ 0 };
  /** Target response time, which is derived from expectedWorkMs. */
  std::chrono::milliseconds objective{ 0 };
  double expectedWorkMs = 0;
  std::size_t waitingJobs = 0;
  std::size_t readyServers = 0;
  state::DispatchOutcome outcome;

  auto operator<=>(const JobRecord&) const = default;
};

/**
 * Creates the record of an ended job. The configuration version and the counts
 * of waiting jobs and ready servers are not part of the job and stay zero.
 */
JobRecord
MakeJobRecord(const DispatchedJob& aJob,
              const state::DispatchOutcome& aOutcome,
              state::MonotonicTime aNow);

/** A submission that was accepted, or that joined a job in progress. */
struct SubmissionRecord
{
  state::DispatchJobId job;
  /** Time since the request was read from its connection. */
  std::chrono::milliseconds age{ 0 };
  /** Number of submissions of the job that wait for its answer. */
  std::size_t submissions = 0;

  auto operator<=>(const SubmissionRecord&) const = default;
};

/** A crash that was counted for a task of a job of this entry. */
struct TaskCrashRecord
{
  state::ProcessId agent;
  /** Number of the crash among those that the agent reports. */
  std::uint64_t number = 0;
  /** Time since the crash was detected. */
  std::chrono::milliseconds age{ 0 };
  /** Number of tasks that had a run on the server. */
  std::size_t tasks = 0;
  CrashedTask task;

  auto operator<=>(const TaskCrashRecord&) const = default;
};

/** The begin or the end of the limit of a queue at this entry. */
struct QueueLimitRecord
{
  QueueLimitChange change;
  /** Number of servers that the queue may use; 0: not limited. */
  std::size_t servers = 0;
  std::size_t limitedQueues = 0;

  auto operator<=>(const QueueLimitRecord&) const = default;
};

/** Tasks of a job sent to one agent, and the inputs of that decision. */
struct PlacementRecord
{
  state::ProcessId agent;
  state::DispatchJobId job;
  std::uint32_t step = 0;
  std::uint32_t tasks = 0;
  double workMs = 0;
  /** Speed of the server as estimated from earlier run times. */
  double speed = 1;
  /** Longest run time that still meets the objective. */
  double objectiveMs = 0;

  auto operator<=>(const PlacementRecord&) const = default;
};

}
