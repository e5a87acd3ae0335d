#include "coordination/evacuation/cold_ramp.h"

#include <algorithm>

namespace greengage::coordination {

using std::chrono::milliseconds;

namespace {

/**
 * Share of the cores that is usable at once. A quarter of the smallest server
 * of the users (16 cores) holds their largest task there (2.4 cores).
 */
constexpr double kFirstShare = 0.25;
/** Limits the ramp of a server that announces a wrong time. */
constexpr milliseconds kLongestRamp{ 60'000 };

}

std::optional<ColdRamp>
RampOf(milliseconds aColdLeft, state::MonotonicTime aNow)
{
  if (aColdLeft <= milliseconds(0)) {
    return std::nullopt;
  }
  return ColdRamp{ aNow, aNow + std::min(aColdLeft, kLongestRamp) };
}

state::ResourceAmount
WithheldCapacity(const ColdRamp& aRamp,
                 const state::ResourceAmount& aCapacity,
                 state::MonotonicTime aNow)
{
  std::chrono::duration<double> left = aRamp.endsAt - aNow;
  std::chrono::duration<double> total = aRamp.endsAt - aRamp.beganAt;
  if (left.count() <= 0 || total.count() <= 0) {
    return {};
  }
  double share = (1 - kFirstShare) * std::min(1.0, left / total);
  return { static_cast<std::uint32_t>(share * aCapacity.cpuMillicores), 0, 0 };
}

}
