#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "coordination/dispatch/server_messages.h"
#include "state/clock.h"

namespace greengage::coordination {

/** A renewal call that was sent and is not answered yet. */
struct PendingRenewal
{
  /** Numbers rise in the order of the calls. */
  std::uint64_t number = 0;
  state::MonotonicTime sentAt;
  /** The call acknowledges the ends up to this number. */
  std::uint64_t lastSeen = 0;
  /** Time for which the server may delay its answer until a run ends. */
  std::chrono::milliseconds wait{ 0 };
  std::uint64_t fencingToken = 0;

  auto operator<=>(const PendingRenewal&) const = default;
};

/**
 * Tracks the calls that extend the leases of a server's runs and return the
 * ended runs: the calls in flight, and the ends that they acknowledge. Used by
 * the control thread only.
 */
class LeaseRenewals
{
public:
  explicit LeaseRenewals(const state::Clock& aClock);

  /**
   * Registers a new call; the caller sets the end of the lease on the server's
   * clock.
   */
  RenewCall Start(std::chrono::milliseconds aWait,
                  std::uint64_t aFencingToken,
                  std::chrono::milliseconds aLease);
  /**
   * Removes and returns the answered call; empty if it belongs to an earlier
   * incarnation of the server.
   */
  std::optional<PendingRenewal> RemoveAnswered(std::uint64_t aNumber);
  /**
   * Removes and returns the failed call; empty if it belongs to an earlier
   * incarnation of the server.
   */
  std::optional<PendingRenewal> RemoveFailed(std::uint64_t aNumber);
  /** A new incarnation of the server numbers its ends from the beginning. */
  void ResetNumbers();
  /** Ignores the answers to all calls in flight. */
  void DropPending() { pending_.clear(); }

  /** Records that the server received the acknowledgement up to this end. */
  void OnAcknowledged(std::uint64_t aLastSeen);
  /** Records the number of an end that the server has listed. */
  void OnEndListed(std::uint64_t aNumber);
  bool HasUnacknowledgedEnds() const { return lastSeen_ != acknowledged_; }

  /**
   * Records that a start order requests a lease, which delays the next renewal.
   * @param aFirstRun true if the server has no other runs
   */
  void OnLeaseGranted(bool aFirstRun, std::chrono::milliseconds aLease);
  /**
   * Returns until when a lease was last requested, for the time of the next
   * renewal. LeaseTracker has the latest time at which leases end.
   */
  state::MonotonicTime RequestedUntil() const { return requestedUntil_; }
  /** Returns false during the delay after a call. */
  bool CanStart() const;
  /** Returns true while a long poll is in flight. */
  bool HasLongPoll() const;
  /**
   * Returns true if a call that was sent after the latest answered one should
   * have been answered by now: its answer is probably lost, and with it the
   * ends of runs that it listed.
   */
  bool HasOverdueCall() const;
  /**
   * Returns the number of calls without an answer that were sent since the
   * latest answered one. An earlier call that times out after that answer does
   * not show that the server has become unreachable.
   */
  unsigned OnNoAnswer(const PendingRenewal& aSent);

private:
  const state::Clock& clock_;
  std::map<std::uint64_t, PendingRenewal> pending_;
  std::uint64_t nextNumber_ = 1;
  std::uint64_t lastSeen_ = 0;
  std::uint64_t acknowledged_ = 0;
  unsigned unanswered_ = 0;
  /** Time at which the latest answered call was sent. */
  state::MonotonicTime answeredSentAt_;
  state::MonotonicTime requestedUntil_;
  state::MonotonicTime nextAt_;
};

}
