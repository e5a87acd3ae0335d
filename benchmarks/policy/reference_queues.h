#pragma once

#include <vector>

#include "policy/job_result.h"
#include "policy/workload.h"

namespace greengage::policy {

/** One-way delay of a message between owner and agent, in seconds. */
inline constexpr double kMessageDelay = 0.0015;

/**
 * Simulates the ideal of the design page: one FIFO queue with exact run times
 * and slot states and without message delay. Each task takes the slot on which
 * it ends first.
 */
std::vector<JobResult>
RunIdeal(const std::vector<FleetServer>& aFleet,
         const std::vector<Arrival>& aArrivals);

/** How a baseline chooses the server of a task. */
enum class ServerChoice : std::uint8_t
{
  eRandom,
  eLeastLoadedOfTwo,
};

/**
 * Simulates a baseline in which each task is sent on arrival to a server with a
 * FIFO queue. The least loaded of two random servers is the one with fewer
 * unfinished tasks.
 */
std::vector<JobResult>
RunBaseline(const std::vector<FleetServer>& aFleet,
            const std::vector<Arrival>& aArrivals,
            ServerChoice aChoice,
            std::uint32_t aSeed);

}
