#pragma once

#include <chrono>
#include <string>

#include "coordination/dispatch/dispatched_job.h"

namespace greengage::coordination {

/** A job that has ended, with what decided it, for the log and metrics. */
struct JobRecord
{
  std::uint64_t job = 0;
  std::string queue;
  std::uint64_t configurationVersion = 0;
  std::uint32_t tasks = 0;
  std::uint32_t tasksDone = 0;
  std::uint32_t runs = 0;
  /** From the submission to the first run, or to the end if none started. */
  std::chrono::milliseconds waited{ 0 };
  std::chrono::milliseconds total{ 0 };
  /** Response time that was aimed at, and the work it was taken from. */
  std::chrono::milliseconds objective{ 0 };
  double expectedWorkMs = 0;
  std::size_t waitingJobs = 0;
  std::size_t readyServers = 0;
  state::DispatchOutcome outcome;

  auto operator<=>(const JobRecord&) const = default;
};

/** What the job itself knows of its end; the rest is left at zero. */
JobRecord
MakeJobRecord(const DispatchedJob& aJob,
              const state::DispatchOutcome& aOutcome,
              state::MonotonicTime aNow);

/** Tasks of a job that were sent to one agent, with what decided it. */
struct PlacementRecord
{
  state::ProcessId agent;
  std::uint64_t job = 0;
  std::uint32_t step = 0;
  std::uint32_t tasks = 0;
  double workMs = 0;
  /** Learned speed of the server. */
  double speed = 1;
  /** Longest run time that still meets the objective. */
  double objectiveMs = 0;

  auto operator<=>(const PlacementRecord&) const = default;
};

}
