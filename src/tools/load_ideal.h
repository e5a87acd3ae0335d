#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "tools/load_plan.h"

namespace greengage::tools {

/** Announced capacity of one backend server. */
struct ServerCapacity
{
  std::uint32_t slots = 8;
  /** Divides every run time: 2 halves it. */
  double speed = 1.0;

  auto operator<=>(const ServerCapacity&) const = default;
};

/**
 * Returns the response time of each planned job under one central
 * first-come, first-served queue that knows all run times and the state of all
 * slots, without message delay. Each task runs on the slot on which it ends
 * first. All times are zero if there are no servers.
 */
std::vector<std::chrono::microseconds>
IdealResponseTimes(const std::vector<PlannedJob>& aPlan,
                   const std::vector<ServerCapacity>& aServers);

}
