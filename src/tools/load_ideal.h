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
  /** 2 halves every run time. */
  double speed = 1.0;

  auto operator<=>(const ServerCapacity&) const = default;
};

/**
 * Response time of each planned job under one central queue in order of
 * arrival that knows every run time and every slot and has no message delay.
 * Each task takes the slot on which it ends first. Zero without servers.
 */
std::vector<std::chrono::microseconds>
IdealResponseTimes(const std::vector<PlannedJob>& aPlan,
                   const std::vector<ServerCapacity>& aServers);

}
