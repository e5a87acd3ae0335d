#include "coordination/dispatch/lease_tracker.h"

#include <algorithm>

namespace greengage::coordination {

using state::MonotonicTime;
using std::chrono::milliseconds;

namespace {

/** Slowest clock of a server, in percent of the correct rate. */
constexpr int kSlowestClockPercent = 98;
/** Both clocks are rounded to whole ms where they are compared. */
constexpr milliseconds kClockRounding{ 2 };

/** Returns the longest real time in which a server's clock advances by this. */
MonotonicTime::duration
Stretch(MonotonicTime::duration aTime)
{
  return aTime * 100 / kSlowestClockPercent;
}

LeaseBounds
Later(const LeaseBounds& aFirst, const LeaseBounds& aSecond)
{
  return { std::max(aFirst.knownClock, aSecond.knownClock),
           std::max(aFirst.anyClock, aSecond.anyClock) };
}

}

MonotonicTime
LatestLeaseEnd(const RequestedLease& aRequest)
{
  auto onServerClock =
    aRequest.sentAt - aRequest.clockLearnedAt + aRequest.lease + kClockRounding;
  return aRequest.clockLearnedAt + Stretch(onServerClock);
}

LeaseTracker::LeaseTracker(const state::Clock& aClock)
  : clock_(aClock)
  , clockLearnedAt_(aClock.MonotonicNow())
{
}

milliseconds
LeaseTracker::LongestUntil(MonotonicTime aEnd) const
{
  // The inverse of LatestLeaseEnd().
  auto onServerClock = (aEnd - clockLearnedAt_) * kSlowestClockPercent / 100;
  return std::chrono::floor<milliseconds>(
    onServerClock - (clock_.MonotonicNow() - clockLearnedAt_) - kClockRounding);
}

std::uint64_t
LeaseTracker::OnSent(milliseconds aLease)
{
  open_[nextCall_] = { clock_.MonotonicNow(), clockLearnedAt_, aLease };
  return nextCall_++;
}

void
LeaseTracker::OnPossiblyReceived(std::uint64_t aCall)
{
  auto call = open_.extract(aCall);
  if (call.empty()) {
    return;
  }
  closed_ = Later(closed_, BoundsOf(call.mapped(), clock_.MonotonicNow()));
}

void
LeaseTracker::OnNewIncarnation()
{
  closed_.knownClock = closed_.anyClock;
  for (auto& [number, lease] : open_) {
    lease.isClockKnown = false;
  }
}

LeaseBounds
LeaseTracker::Bounds() const
{
  LeaseBounds bounds = closed_;
  for (const auto& [number, lease] : open_) {
    bounds = Later(bounds, BoundsOf(lease, clock_.MonotonicNow()));
  }
  return bounds;
}

LeaseBounds
LeaseTracker::BoundsOf(const RequestedLease& aLease,
                       MonotonicTime aReceivedAt) const
{
  auto known = LatestLeaseEnd(aLease);
  auto any = std::max(known, MaxLeaseEnd(aReceivedAt));
  return { aLease.isClockKnown ? known : any, any };
}

MonotonicTime
LeaseTracker::MaxLeaseEnd(MonotonicTime aTime) const
{
  return aTime + Stretch(maxLease_ + kClockRounding);
}

}
