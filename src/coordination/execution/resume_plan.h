#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "coordination/execution/job_history.h"
#include "state/job_outcome.h"

namespace greengage::coordination {

/** How a new owner goes on with a job of the earlier owner's time. */
struct ResumePlan
{
  /** The job ends with this at once. */
  std::optional<state::JobOutcome> end;
  /** The request is idempotent: the retry budget may allow an attempt. */
  bool mayRetry = false;
  /** Tasks that were certainly not started and may start now. */
  std::vector<std::uint32_t> queued;

  bool operator==(const ResumePlan&) const = default;
};

/** aComplete: every agent that may hold a record of the job has answered. */
ResumePlan
PlanResume(const state::JobSpec& aSpec,
           const MergedHistory& aHistory,
           bool aComplete);

/** Outcome of a job of which one task failed. */
state::JobOutcome
TaskFailure(const state::TaskRecord& aRecord);

/** Outcome of a job of which a task may or may not have run. */
state::JobOutcome
UnknownOutcome(std::string aMessage);

}
