#pragma once

#include <chrono>

namespace greengage::state {

using MonotonicTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

/**
 * Source of time. It is injected into every component that needs it so that
 * tests can control the time.
 */
class Clock
{
public:
  virtual ~Clock() = default;

  /** Time for durations and leases; it never goes backwards. */
  virtual MonotonicTime MonotonicNow() const = 0;

  /** Time for job IDs and logs; may be adjusted by the host. */
  virtual WallTime WallNow() const = 0;
};

}
