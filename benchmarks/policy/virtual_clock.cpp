#include "policy/virtual_clock.h"

#include <cstdint>

namespace greengage::policy {

state::MonotonicTime
VirtualClock::MonotonicNow() const
{
  return state::MonotonicTime(
    std::chrono::nanoseconds(static_cast<std::int64_t>(now_ * 1e9)));
}

state::WallTime
VirtualClock::WallNow() const
{
  return state::WallTime(
    std::chrono::hours(24 * 365 * 50) +
    std::chrono::microseconds(static_cast<std::int64_t>(now_ * 1e6)));
}

}
