#pragma once

#include <optional>
#include <string>
#include <vector>

#include "coordination/execution/history_recovery.h"
#include "state/job_spec.h"

namespace greengage::coordination {

/** History of one task according to the start records. */
struct TaskHistory
{
  /** Result of a successful attempt, if the agent still stores it. */
  std::optional<std::string> result;
  /** Record of an attempt that failed or whose result was dropped. */
  std::optional<state::TaskRecord> failure;
  /** Attempts that are running. */
  std::vector<AgentRecord> running;
  /** Higher than every attempt for which an agent received a start. */
  std::uint32_t nextAttempt = 0;

  bool operator==(const TaskHistory&) const = default;

  /** True if an attempt was started. */
  bool WasStarted() const { return result || failure || !running.empty(); }
};

/**
 * History of a job according to the start records received. Records of agents
 * that did not reply are missing.
 */
struct MergedHistory
{
  std::vector<TaskHistory> tasks;
  /** True if a task was started. */
  bool started = false;
  /** True if an earlier owner ended the job. */
  bool cancelled = false;
  /** True if the records belong to another job with the same ID. */
  bool conflict = false;

  bool operator==(const MergedHistory&) const = default;
};

/** Merges the records of all agents for a job with aTaskCount tasks. */
MergedHistory
MergeHistory(std::size_t aTaskCount, const JobHistory& aHistory);

}
