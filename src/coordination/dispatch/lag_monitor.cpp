#include "coordination/dispatch/lag_monitor.h"

#include <algorithm>

namespace greengage::coordination {

using std::chrono::milliseconds;

namespace {

/** Minimum interval of probes; each wakes every thread of the process once. */
constexpr milliseconds kProbePeriod{ 50 };
/**
 * Maximum age of a probe. A process that is 200 ms behind can still stop the
 * runs of a lost caller well before 1,300 ms, when the caller submits again. A
 * process with a tenth of a core often waits 100 ms for processor time.
 */
constexpr milliseconds kMaxLag{ 200 };
/**
 * Maximum time since the last probe that returned in time was sent. A caller
 * that was lost just after that is only proven to be handled by the next probe,
 * which may take kMaxLag again.
 */
constexpr milliseconds kMaxProofAge{ 350 };

}

LagMonitor::LagMonitor(const state::Clock& aClock,
                       ProbeFunction aProbe,
                       ChangeFunction aChanged)
  : clock_(aClock)
  , probe_(std::move(aProbe))
  , changed_(std::move(aChanged))
  , sentAt_(aClock.MonotonicNow() - kProbePeriod)
  , provenAt_(aClock.MonotonicNow())
  , idleAt_(aClock.MonotonicNow())
{
}

bool
LagMonitor::SendProbe(std::function<void()> aReturned)
{
  auto now = clock_.MonotonicNow();
  if (!probe_ || isInFlight_ || now - sentAt_ < kProbePeriod) {
    return false;
  }
  isInFlight_ = true;
  sentAt_ = now;
  probe_([this, returned = std::move(aReturned)] {
    OnReturned();
    returned();
  });
  return true;
}

void
LagMonitor::Check()
{
  if (IsBehind()) {
    SetReported(true, Lag());
  }
}

bool
LagMonitor::IsBehind() const
{
  if (!probe_) {
    return false;
  }
  return wasSlow_ || (isInFlight_ && Lag() > kMaxLag) ||
         clock_.MonotonicNow() - std::max(provenAt_, idleAt_) > kMaxProofAge;
}

void
LagMonitor::OnReturned()
{
  isInFlight_ = false;
  wasSlow_ = Lag() > kMaxLag;
  if (!wasSlow_) {
    provenAt_ = sentAt_;
  }
  SetReported(IsBehind(), Lag());
}

milliseconds
LagMonitor::Lag() const
{
  return std::chrono::duration_cast<milliseconds>(clock_.MonotonicNow() -
                                                  sentAt_);
}

void
LagMonitor::SetReported(bool aIsBehind, milliseconds aLag)
{
  if (isReported_ == aIsBehind) {
    return;
  }
  isReported_ = aIsBehind;
  if (changed_) {
    changed_(aIsBehind, aLag);
  }
}

}
