#pragma once

#include <chrono>
#include <cstddef>
#include <string_view>

#include "state/clock.h"

namespace greengage::benchmarks {

/** A clock that changes only through Advance(). */
class ManualClock : public state::Clock
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

/** Returns the bytes that the process currently has allocated from the heap. */
std::size_t
HeapBytes();

/** Returns the CPU time of the calling thread in nanoseconds. */
double
ThreadNanoseconds();

/** Prints `point NAME X VALUE UNIT`, one measured value at the load X. */
void
PrintPoint(std::string_view aName,
           double aX,
           double aValue,
           std::string_view aUnit);

}
