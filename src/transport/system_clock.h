#pragma once

#include "state/clock.h"

namespace greengage::transport {

/** Monotonic and wall clock of the host. */
class SystemClock : public state::Clock
{
public:
  state::MonotonicTime MonotonicNow() const override
  {
    return std::chrono::steady_clock::now();
  }

  state::WallTime WallNow() const override
  {
    return std::chrono::system_clock::now();
  }
};

}
