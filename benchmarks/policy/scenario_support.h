#pragma once

#include <functional>
#include <string>
#include <vector>

#include "policy/fleet_simulation.h"
#include "policy/scenarios.h"

/** What the scenarios have in common. */
namespace greengage::policy {

/** Learning takes the time before it, which is not measured. */
MeasuredTime
MeasuredTimeOf(const Scale& aScale);

/**
 * The default queue time refuses nothing, as the ideal refuses nothing either.
 */
state::OrganisationParameters
MakeOrganisation(
  const std::string& aName,
  std::uint32_t aQuotaSlots,
  std::chrono::milliseconds aMaxQueueTime = state::kMaxQueueTime);

using ArrivalFilter = std::function<bool(const Arrival&)>;

/** Response times of complete jobs that arrived in the measured time. */
ResponseTimes
ResponsesOf(const std::vector<Arrival>& aArrivals,
            const std::vector<JobResult>& aResults,
            const MeasuredTime& aMeasured,
            const ArrivalFilter& aFilter = {});

/** All arrivals must be complete, or the response times mean nothing. */
Figure
CompletedShare(const std::string& aName,
               const std::vector<Arrival>& aArrivals,
               const ResponseTimes& aResponses,
               const MeasuredTime& aMeasured);

/** Wasted messages per task started, in total and by kind. */
Figures
WasteFigures(const std::string& aName,
             const SimulationCounters& aCounters,
             double aBound);

}
