#include "coordination/dispatch/pause_detector.h"

#include <algorithm>

namespace greengage::coordination {

using std::chrono::milliseconds;

namespace {

/**
 * Minimum length of a pause. It is well above the tick interval of 25 ms and
 * well below 1,300 ms, the earliest time at which callers submit a job again.
 */
constexpr milliseconds kMinPause{ 400 };
/** Time needed after a pause to read the data buffered in the sockets. */
constexpr milliseconds kCatchUpTime{ 100 };

}

PauseDetector::PauseDetector(const state::Clock& aClock,
                             std::function<void(milliseconds)> aPaused)
  : clock_(aClock)
  , paused_(std::move(aPaused))
  , checkedAt_(aClock.MonotonicNow())
  , wallCheckedAt_(aClock.WallNow())
  , pauseEndedAt_(checkedAt_ - kCatchUpTime)
{
}

void
PauseDetector::Check()
{
  auto now = clock_.MonotonicNow();
  auto wallNow = clock_.WallNow();
  auto pause = std::max(
    std::chrono::duration_cast<milliseconds>(now - checkedAt_),
    std::chrono::duration_cast<milliseconds>(wallNow - wallCheckedAt_));
  if (pause > kMinPause) {
    pauseEndedAt_ = now;
    if (paused_) {
      paused_(pause);
    }
  }
  checkedAt_ = now;
  wallCheckedAt_ = wallNow;
}

bool
PauseDetector::HasJustPaused() const
{
  return clock_.MonotonicNow() - pauseEndedAt_ < kCatchUpTime;
}

}
