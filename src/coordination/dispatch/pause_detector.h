#pragma once

#include <chrono>
#include <functional>

#include "state/clock.h"

namespace greengage::coordination {

/**
 * Detects whether this process was paused: frozen, suspended with its host, or
 * without processor time. Messages read right after a pause may have been
 * buffered in the sockets, so they must not be handled as if they were recent.
 */
class PauseDetector
{
public:
  /** @param aPaused called with the length of each pause; can be empty */
  PauseDetector(const state::Clock& aClock,
                std::function<void(std::chrono::milliseconds)> aPaused);

  /** Must be called on every tick and before handling received messages. */
  void Check();

  /** Returns true shortly after a pause. Check() must be called before. */
  bool HasJustPaused() const;
  /** Returns the end of the last pause, or a time before the start. */
  state::MonotonicTime LastPauseEndedAt() const { return pauseEndedAt_; }

private:
  const state::Clock& clock_;
  std::function<void(std::chrono::milliseconds)> paused_;
  state::MonotonicTime checkedAt_;
  /** The wall clock advances during a suspension, the steady clock does not. */
  state::WallTime wallCheckedAt_;
  state::MonotonicTime pauseEndedAt_;
};

}
