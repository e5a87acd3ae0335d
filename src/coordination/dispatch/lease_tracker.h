#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "coordination/dispatch/run_release.h"
#include "state/clock.h"

namespace greengage::coordination {

/** A lease that a call requests from a server. */
struct RequestedLease
{
  state::MonotonicTime sentAt;
  /** Time at which the agent last learned the server's clock. */
  state::MonotonicTime clockLearnedAt;
  std::chrono::milliseconds lease{ 0 };
  /** False if a later incarnation, with another clock, may have received it. */
  bool isClockKnown = true;

  auto operator<=>(const RequestedLease&) const = default;
};

/**
 * Returns the latest time at which a granted lease ends if the server's clock
 * runs up to 2% slow.
 */
state::MonotonicTime
LatestLeaseEnd(const RequestedLease& aRequest);

/**
 * Tracks until when the leases of a server's runs may last: each start and each
 * renewal that the server may have received extends them all. Used by the
 * control thread only.
 */
class LeaseTracker
{
public:
  explicit LeaseTracker(const state::Clock& aClock);

  /** Sets the longest lease that the server grants. */
  void SetMaxLease(std::chrono::milliseconds aMaxLease)
  {
    maxLease_ = aMaxLease;
  }
  /** Earlier calls may have reached the new incarnation of the server. */
  void OnNewIncarnation();
  /** Records that an answer showed the clock of the server. */
  void OnClockLearned() { clockLearnedAt_ = clock_.MonotonicNow(); }

  /**
   * Returns the longest lease that, requested now, ends by this time on a clock
   * that runs up to 2% slow; negative if there is none.
   */
  std::chrono::milliseconds LongestUntil(state::MonotonicTime aEnd) const;
  /** Registers a call that requests a lease and returns its number. */
  std::uint64_t OnSent(std::chrono::milliseconds aLease);
  /** The call was answered, or may have been received. */
  void OnPossiblyReceived(std::uint64_t aCall);
  /** The server has certainly not received the call. */
  void OnNotReceived(std::uint64_t aCall) { open_.erase(aCall); }

  LeaseBounds Bounds() const;

private:
  /** Returns the bounds if the server receives the call at this time. */
  LeaseBounds BoundsOf(const RequestedLease& aLease,
                       state::MonotonicTime aReceivedAt) const;
  /** Returns the end of a lease that an unknown clock grants at this time. */
  state::MonotonicTime MaxLeaseEnd(state::MonotonicTime aTime) const;

  const state::Clock& clock_;
  std::chrono::milliseconds maxLease_{ 0 };
  state::MonotonicTime clockLearnedAt_;
  std::uint64_t nextCall_ = 1;
  std::map<std::uint64_t, RequestedLease> open_;
  /** Bounds of the leases of all calls that are no longer open. */
  LeaseBounds closed_;
};

}
