#include "tools/load_ideal.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>

namespace greengage::tools {

namespace {

using Microseconds = double;

/** Times at which the slots of one speed become free, earliest first. */
using FreeTimes =
  std::priority_queue<Microseconds, std::vector<Microseconds>, std::greater<>>;

/** Assigns a task to the slot on which it ends first; returns its end. */
Microseconds
RunTask(std::map<double, FreeTimes>& aSlots,
        Microseconds aArrival,
        Microseconds aRunTime)
{
  FreeTimes* best = nullptr;
  Microseconds bestEnd = 0;
  for (auto& [speed, free] : aSlots) {
    Microseconds end = std::max(aArrival, free.top()) + aRunTime / speed;
    if (!best || end <= bestEnd) {
      best = &free;
      bestEnd = end;
    }
  }
  best->pop();
  best->push(bestEnd);
  return bestEnd;
}

}

std::vector<std::chrono::microseconds>
IdealResponseTimes(const std::vector<PlannedJob>& aPlan,
                   const std::vector<ServerCapacity>& aServers)
{
  std::map<double, FreeTimes> slots;
  for (const ServerCapacity& server : aServers) {
    for (std::uint32_t i = 0; i < server.slots; ++i) {
      slots[server.speed].push(0);
    }
  }
  std::vector<std::chrono::microseconds> times;
  for (const PlannedJob& job : aPlan) {
    auto arrival = static_cast<Microseconds>(job.at.count());
    Microseconds end = arrival;
    for (auto runTime : job.runTimes) {
      if (!slots.empty()) {
        end = std::max(end,
                       RunTask(slots,
                               arrival,
                               1000.0 * static_cast<double>(runTime.count())));
      }
    }
    times.emplace_back(static_cast<std::int64_t>(end - arrival));
  }
  return times;
}

}
