#pragma once

#include <chrono>
#include <cstdint>

#include <tl/expected.hpp>

#include "coordination/coordination_error.h"
#include "state/job_spec.h"
#include "state/organisation_parameters.h"

namespace greengage::coordination {

/** State of the fleet that an admission decision depends on. */
struct FleetState
{
  std::size_t servers = 0;
  /**
   * At least one known server, draining ones included, has the memory and the
   * accelerators that the job needs.
   */
  bool fitsAnyServer = false;
  std::uint32_t usableSlots = 0;
  /** Work per second of all usable slots together. */
  double usableRate = 0;
  double fastestSpeed = 0;

  auto operator<=>(const FleetState&) const = default;
};

/** State of the organisation's queue, and estimates for the new job. */
struct QueueState
{
  /** Queued work of the organisation that starts before the job, in seconds. */
  double workAhead = 0;
  /** Share of the fleet that the organisation receives by its weight. */
  double weightShare = 1;
  std::uint32_t runningSlots = 0;
  /** Expected work of the job and of its longest task, in seconds. */
  double jobWork = 0;
  double longestTask = 0;
  /** True if the work is estimated from measured run times. */
  bool workIsLearned = false;

  auto operator<=>(const QueueState&) const = default;
};

/** Expected time in the queue, in seconds; infinite without usable slots. */
double
ExpectedQueueTime(const FleetState& aFleet,
                  const QueueState& aQueue,
                  const state::OrganisationParameters& aLimits);

/**
 * Decides whether a job may enter the queue. Its organisation and template must
 * exist. Errors: eNoWorkers, eImpossibleRequirements, eDeadlineUnreachable,
 * eQueueFull, eQuotaExceeded.
 */
tl::expected<void, CoordinationError>
DecideAdmission(const state::JobSpec& aSpec,
                const FleetState& aFleet,
                const QueueState& aQueue,
                const state::OrganisationParameters& aLimits);

}
