#pragma once

#include <chrono>
#include <cstdint>

#include <tl/expected.hpp>

#include "coordination/coordination_error.h"
#include "state/job_spec.h"
#include "state/organisation_parameters.h"

namespace greengage::coordination {

/** What admission knows of the fleet and of the job's template. */
struct FleetFacts
{
  std::size_t servers = 0;
  /** Some known server, perhaps draining, has the memory and accelerators. */
  bool fitsAnyServer = false;
  std::uint32_t usableSlots = 0;
  /** Work per second of all usable slots. */
  double usableRate = 0;
  double fastestSpeed = 0;

  auto operator<=>(const FleetFacts&) const = default;
};

/** What admission knows of the organisation's queue and of the job. */
struct QueueFacts
{
  /** Queued work of the organisation that goes before the job, in seconds. */
  double workAhead = 0;
  /** Part of the fleet that the organisation gets by its weight. */
  double weightShare = 1;
  std::uint32_t runningSlots = 0;
  /** Expected work of the job and of its longest task, in seconds. */
  double jobWork = 0;
  double longestTask = 0;
  /** The expectation is measured, not only declared. */
  bool workIsLearned = false;

  auto operator<=>(const QueueFacts&) const = default;
};

/** Expected time in the queue, in seconds; infinite without usable slots. */
double
ExpectedQueueTime(const FleetFacts& aFleet,
                  const QueueFacts& aQueue,
                  const state::OrganisationParameters& aLimits);

/**
 * Decides whether a job of a known organisation and template may enter the
 * queue. Errors: eNoWorkers, eImpossibleRequirements, eDeadlineUnreachable,
 * eQueueFull, eQuotaExceeded.
 */
tl::expected<void, CoordinationError>
DecideAdmission(const state::JobSpec& aSpec,
                const FleetFacts& aFleet,
                const QueueFacts& aQueue,
                const state::OrganisationParameters& aLimits);

}
