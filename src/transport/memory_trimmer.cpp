#include "transport/memory_trimmer.h"

#include <algorithm>
#include <utility>

#include <malloc.h>

namespace greengage::transport {

namespace {

/** Less is not worth the search through the free memory. */
constexpr std::size_t kMinPeakBytes = 4 * 1024 * 1024;

}

MemoryTrimmer::MemoryTrimmer(ByteBudget& aBudget,
                             std::function<void()> aRelease)
  : budget_(aBudget)
  , release_(std::move(aRelease))
{
}

void
MemoryTrimmer::Check()
{
  peakBytes_ = std::max(peakBytes_, budget_.TakePeak());
  std::size_t held = budget_.HeldBytes();
  if (peakBytes_ < kMinPeakBytes || held > peakBytes_ / 2) {
    return;
  }
  peakBytes_ = held;
  release_();
}

void
ReleaseFreeMemory()
{
  ::malloc_trim(0);
}

}
