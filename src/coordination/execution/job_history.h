#pragma once

#include <optional>
#include <string>
#include <vector>

#include "coordination/execution/history_recovery.h"
#include "state/job_spec.h"

namespace greengage::coordination {

/** What the start records say of one task. */
struct TaskHistory
{
  /** Result of an attempt that succeeded and is still kept. */
  std::optional<std::string> result;
  /** Why an attempt failed, or that its result was dropped. */
  std::optional<state::TaskRecord> failure;
  /** Attempts that run now. */
  std::vector<AgentRecord> running;
  /** Higher than every attempt that any agent was asked to start. */
  std::uint32_t nextAttempt = 0;

  bool operator==(const TaskHistory&) const = default;

  /** True if some attempt was started. */
  bool Started() const { return result || failure || !running.empty(); }
};

/** What the start records say of a job; says nothing of missing agents. */
struct MergedHistory
{
  std::vector<TaskHistory> tasks;
  /** Some task was started. */
  bool started = false;
  /** An earlier owner ended the job. */
  bool cancelled = false;
  /** The records are of another job under the same ID. */
  bool conflict = false;

  bool operator==(const MergedHistory&) const = default;
};

/** Combines the records of all agents for a job of aTaskCount tasks. */
MergedHistory
MergeHistory(std::size_t aTaskCount, const JobHistory& aHistory);

}
