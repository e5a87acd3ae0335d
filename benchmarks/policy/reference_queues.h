#pragma once

#include <vector>

#include "policy/job_result.h"
#include "policy/workload.h"

namespace greengage::policy {

/** One-way delay of a message between owner and agent, in seconds. */
inline constexpr double kMessageDelay = 0.0015;

/**
 * The ideal of the design page: one FIFO queue that knows every true run time
 * and every free slot, without message delay. Each task takes the slot on
 * which it ends first.
 */
std::vector<JobResult>
RunIdeal(const std::vector<FleetServer>& aFleet,
         const std::vector<Arrival>& aArrivals);

enum class ServerChoice : std::uint8_t
{
  eRandom,
  eLeastLoadedOfTwo,
};

/**
 * Baselines: each task is sent on arrival to a server that has a FIFO queue.
 * The least loaded of two random servers is the one with fewer tasks.
 */
std::vector<JobResult>
RunBaseline(const std::vector<FleetServer>& aFleet,
            const std::vector<Arrival>& aArrivals,
            ServerChoice aChoice,
            std::uint32_t aSeed);

}
