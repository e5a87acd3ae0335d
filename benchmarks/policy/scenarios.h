#pragma once

#include <cstdint>

#include "policy/figure.h"

namespace greengage::policy {

/** Size of a measurement. */
struct Scale
{
  std::size_t servers = 11;
  /** Measured virtual time; the learning before it is not measured. */
  double seconds = 300;
  std::uint32_t seed = 1;

  auto operator<=>(const Scale&) const = default;
};

/** Response times at 80% load against the ideal, by tasks per job. */
Figures
MeasureResponse(const Scale& aScale, std::uint32_t aTasksPerJob);

/** Single requests and 100-task jobs together, each against the ideal. */
Figures
MeasureMixedResponse(const Scale& aScale);

/** One organisation offers ten times the fleet's capacity. */
Figures
MeasureFlood(const Scale& aScale, std::uint8_t aUrgency);

/** Wasted messages at 80% load while servers leave, jobs fail and are
 * cancelled. */
Figures
MeasureWaste(const Scale& aScale);

/** One server fails every task at once. */
Figures
MeasureFailFast(const Scale& aScale);

/** A hundredth of the runs takes ten times as long. */
Figures
MeasureStragglers(const Scale& aScale);

/** Half of the jobs are cancelled at one moment. */
Figures
MeasureCancellations(const Scale& aScale);

}
