#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "coordination/execution/job_history.h"
#include "state/job_outcome.h"

namespace greengage::coordination {

/** How a new owner continues a job that an earlier owner accepted. */
struct ResumePlan
{
  /** Outcome with which the job ends; empty if it continues. */
  std::optional<state::JobOutcome> outcome;
  /** True if the request may be retried instead, within the retry budget. */
  bool mayRetry = false;
  /** Tasks that were not started and may start now if the job continues. */
  std::vector<std::uint32_t> tasksToStart;

  bool operator==(const ResumePlan&) const = default;
};

/**
 * Decides how the job continues. aComplete states whether every agent that may
 * hold a record of the job has replied.
 */
ResumePlan
PlanResume(const state::JobSpec& aSpec,
           const MergedHistory& aHistory,
           bool aComplete);

/** Returns the outcome of a job with a failed task. */
state::JobOutcome
TaskFailure(const state::TaskRecord& aRecord);

/** Returns the outcome of a job with a task that may or may not have run. */
state::JobOutcome
UnknownOutcome(std::string aMessage);

}
