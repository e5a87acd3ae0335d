#pragma once

#include <chrono>
#include <functional>

#include "state/clock.h"

namespace greengage::coordination {

/**
 * Measures how far this process is behind: a probe passes through the queues of
 * its threads, and its age shows how long a message or a lost caller waits in
 * them. Used by the control thread only.
 */
class LagMonitor
{
public:
  /**
   * Sends a probe through the queues of the traffic threads and back to the
   * control thread, where the function must be called.
   */
  using ProbeFunction = std::function<void(std::function<void()> aReturned)>;
  /** Called when the process falls behind and when it has recovered. */
  using ChangeFunction =
    std::function<void(bool aIsBehind, std::chrono::milliseconds aLag)>;

  /** @param aProbe if empty, the process is never behind */
  LagMonitor(const state::Clock& aClock,
             ProbeFunction aProbe,
             ChangeFunction aChanged);

  /**
   * Sends a probe unless one is in flight or the last one was sent recently.
   * @param aReturned called when the probe has returned
   * @return true if a probe was sent
   */
  bool SendProbe(std::function<void()> aReturned);
  /** Must be called instead of SendProbe() on a tick without any job. */
  void OnIdle() { idleAt_ = clock_.MonotonicNow(); }
  /** Reports a probe that is overdue. Must be called on every tick. */
  void Check();
  /**
   * Returns true if the probe in flight or the last one took too long, or if
   * the last proof is too old. A probe that returns in time ends this state.
   */
  bool IsBehind() const;
  /**
   * Returns true if a probe that was sent at or after this time has returned in
   * time, so everything that had arrived before has been handled. Also true for
   * times before the monitor was created.
   */
  bool HasProvenSince(state::MonotonicTime aTime) const
  {
    return !probe_ || provenAt_ >= aTime;
  }

private:
  void OnReturned();
  std::chrono::milliseconds Lag() const;
  void SetReported(bool aIsBehind, std::chrono::milliseconds aLag);

  const state::Clock& clock_;
  ProbeFunction probe_;
  ChangeFunction changed_;
  state::MonotonicTime sentAt_;
  /** Time at which the last probe that returned in time was sent. */
  state::MonotonicTime provenAt_;
  /** Time of the last tick without a job, so without a caller to lose. */
  state::MonotonicTime idleAt_;
  bool isInFlight_ = false;
  /** The last probe that returned took too long. */
  bool wasSlow_ = false;
  bool isReported_ = false;
};

}
