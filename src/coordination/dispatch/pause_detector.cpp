#include "coordination/dispatch/pause_detector.h"

#include <algorithm>

namespace greengage::coordination {

using std::chrono::milliseconds;

namespace {

/** Ticks come every 25 ms; callers submit again after 1,300 ms at least. */
constexpr milliseconds kPause{ 400 };
/** Time in which the sockets are read empty after a pause. */
constexpr milliseconds kCatchUp{ 100 };

}

PauseDetector::PauseDetector(const state::Clock& aClock,
                             std::function<void(milliseconds)> aPaused)
  : clock_(aClock)
  , paused_(std::move(aPaused))
  , checkedAt_(aClock.MonotonicNow())
  , wallCheckedAt_(aClock.WallNow())
  , pauseEndedAt_(checkedAt_ - kCatchUp)
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
  if (pause > kPause) {
    pauseEndedAt_ = now;
    if (paused_) {
      paused_(pause);
    }
  }
  checkedAt_ = now;
  wallCheckedAt_ = wallNow;
}

bool
PauseDetector::JustPaused() const
{
  return clock_.MonotonicNow() - pauseEndedAt_ < kCatchUp;
}

}
