#pragma once

#include <functional>
#include <string>
#include <vector>

#include "policy/fleet_simulation.h"
#include "policy/scenarios.h"

/** Functions that the scenarios share. */
namespace greengage::policy {

/** Returns the measured time, which starts after a warm-up in which the
 * scheduler learns run times and speeds. */
MeasurementWindow
MeasurementWindowOf(const Scale& aScale);

/**
 * Returns parameters of an organisation. The default queue time is the longest
 * valid one, so that no job is refused: the ideal refuses none either.
 */
state::OrganisationParameters
MakeOrganisation(
  const std::string& aName,
  std::uint32_t aQuotaSlots,
  std::chrono::milliseconds aMaxQueueTime = state::kMaxQueueTime);

using ArrivalFilter = std::function<bool(const Arrival&)>;

/** Returns the response times of the complete jobs that arrived in the measured
 * time and match the filter. */
ResponseTimes
ResponsesOf(const std::vector<Arrival>& aArrivals,
            const std::vector<JobResult>& aResults,
            const MeasurementWindow& aWindow,
            const ArrivalFilter& aFilter = {});

/** Returns the share of the arrivals that completed. It must be 1, because the
 * response times leave out jobs that did not complete. */
Figure
CompletedShare(const std::string& aName,
               const std::vector<Arrival>& aArrivals,
               const ResponseTimes& aResponses,
               const MeasurementWindow& aWindow);

/** Returns the wasted messages per started task, in total and by kind. The
 * bound applies to the total. */
Figures
WasteFigures(const std::string& aName,
             const SimulationCounters& aCounters,
             double aBound);

}
