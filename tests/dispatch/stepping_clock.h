#pragma once

#include <chrono>

#include "state/clock.h"

namespace greengage::testing {

/**
 * Clock of a simulated host: its monotonic clock has an epoch of its own, and
 * its wall clock can be changed.
 */
class SteppingClock : public state::Clock
{
public:
  SteppingClock(const std::chrono::milliseconds& aNow,
                std::chrono::milliseconds aEpoch)
    : now_(aNow)
    , epoch_(aEpoch)
  {
  }

  state::MonotonicTime MonotonicNow() const override
  {
    return state::MonotonicTime(now_ + epoch_);
  }

  state::WallTime WallNow() const override
  {
    return state::WallTime(std::chrono::hours(24 * 365 * 50)) + now_ +
           wallOffset_;
  }

  void Step(std::chrono::milliseconds aStep) { wallOffset_ += aStep; }
  std::chrono::milliseconds WallOffset() const { return wallOffset_; }

private:
  const std::chrono::milliseconds& now_;
  std::chrono::milliseconds epoch_;
  std::chrono::milliseconds wallOffset_{ 0 };
};

}
