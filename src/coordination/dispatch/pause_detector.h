#pragma once

#include <chrono>

#include <chrono>
#include <functional>

#include "state/clock.h"

namespace greengage::coordination {

/**
 * Tells whether this process has been paused: frozen, suspended with its host,
 * or without processor time. What it reads right afterwards may have waited in
 * its sockets, so it must not be acted on as if it had just been sent.
 */
class PauseDetector
{
public:
  /** @param aPaused called with the length of each pause; may be empty */
  PauseDetector(const state::Clock& aClock,
                std::function<void(std::chrono::milliseconds)> aPaused);

  /** Call on every tick, and before acting on what may be old. */
  void Check();

  /** True shortly after a pause; call Check() first. */
  bool JustPaused() const;

private:
  const state::Clock& clock_;
  std::function<void(std::chrono::milliseconds)> paused_;
  state::MonotonicTime checkedAt_;
  /** The time of day counts a suspension, which the steady clock does not. */
  state::WallTime wallCheckedAt_;
  state::MonotonicTime pauseEndedAt_;
};

}
