#pragma once

#include "state/clock.h"

namespace greengage::policy {

/** Clock that a simulation sets to the time of the current events. */
class VirtualClock : public state::Clock
{
public:
  state::MonotonicTime MonotonicNow() const override;
  state::WallTime WallNow() const override;
  void Set(double aSeconds) { now_ = aSeconds; }
  double Now() const { return now_; }

private:
  double now_ = 0;
};

}
