#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

#include "state/dispatch/dispatch_job_id.h"

namespace greengage::coordination {

/** What the time of the next attempt of a rejected job depends on. */
struct RetryInputs
{
  state::DispatchJobId job;
  /** Time by which the job would have started too late, in ms. */
  double excessMs = 0;
  /** Time that the work rejected in the last second would take, in ms. */
  double rejectedMs = 0;
  /** Time for which the caller has waited, in ms. */
  double waitedMs = 0;

  auto operator<=>(const RetryInputs&) const = default;
};

/**
 * Returns the time after which the caller should submit again, in whole
 * seconds, at least 1. Callers that are rejected together get different times.
 */
std::chrono::milliseconds
RetryDelay(const RetryInputs& aInputs);

}
