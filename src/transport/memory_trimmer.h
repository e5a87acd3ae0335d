#pragma once

#include <chrono>
#include <cstddef>
#include <functional>

#include "transport/byte_budget.h"

namespace greengage::transport {

/**
 * Returns freed memory to the operating system once the clients of a process
 * hold much less than before. The allocator would keep it for later requests,
 * so that a process stays as large as it was in its worst second.
 */
class MemoryTrimmer
{
public:
  /** @param aRelease called when memory is to be returned */
  MemoryTrimmer(ByteBudget& aBudget, std::function<void()> aRelease);

  /** Must be called every second, on one thread. */
  void Check();

private:
  ByteBudget& budget_;
  std::function<void()> release_;
  std::size_t peakBytes_ = 0;
};

/** Returns the freed memory of all threads to the operating system. */
void
ReleaseFreeMemory();

/** Period at which MemoryTrimmer::Check() must be called. */
inline constexpr std::chrono::milliseconds kMemoryCheckPeriod{ 1000 };

}
