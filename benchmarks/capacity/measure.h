#pragma once

#include <chrono>
#include <cstddef>
#include <string_view>

#include "state/clock.h"

namespace greengage::benchmarks {

/** Clock of a measurement: it stands still unless it is moved. */
class FixedClock : public state::Clock
{
public:
  state::MonotonicTime MonotonicNow() const override { return monotonic_; }
  state::WallTime WallNow() const override { return wall_; }

  void Advance(std::chrono::milliseconds aTime)
  {
    monotonic_ += aTime;
    wall_ += aTime;
  }

private:
  state::MonotonicTime monotonic_{ std::chrono::hours(1) };
  state::WallTime wall_{ std::chrono::hours(24 * 365 * 50) };
};

/** Bytes that the process has allocated from the heap now. */
std::size_t
HeapBytes();

/** Processor time of this thread in ns. */
double
ThreadNanoseconds();

/** Prints `point NAME X VALUE UNIT`, one point of a slope. */
void
PrintPoint(std::string_view aName,
           double aX,
           double aValue,
           std::string_view aUnit);

}
