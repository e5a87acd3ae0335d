#pragma once

#include <cstdint>

#include "policy/figure.h"

namespace greengage::policy {

/** Fleet size, duration and seed of a measurement. */
struct Scale
{
  std::size_t servers = 11;
  /** Measured virtual time. The warm-up before it does not count. */
  double seconds = 300;
  std::uint32_t seed = 1;

  auto operator<=>(const Scale&) const = default;
};

/** Measures the response times at 80% load relative to the ideal. */
Figures
MeasureResponse(const Scale& aScale, std::uint32_t aTasksPerJob);

/** Measures the response times of single requests and of 100-task jobs that run
 * together, each relative to the ideal. */
Figures
MeasureMixedResponse(const Scale& aScale);

/** Measures the service of nine organisations while another one offers ten
 * times the capacity of the fleet. */
Figures
MeasureFlood(const Scale& aScale, std::uint8_t aUrgency);

/** Measures the wasted messages at 80% load while servers leave and jobs fail
 * or are cancelled. */
Figures
MeasureWaste(const Scale& aScale);

/** Measures the share of failed jobs while one server fails every task
 * immediately. */
Figures
MeasureFailFast(const Scale& aScale);

/** Measures the response times while 1% of the tasks take ten times as long. */
Figures
MeasureStragglers(const Scale& aScale);

/** Measures the cancel messages and the starts after cancellation when half of
 * the jobs are cancelled at the same time. */
Figures
MeasureCancellations(const Scale& aScale);

}
