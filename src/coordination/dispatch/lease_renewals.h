#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "coordination/dispatch/server_messages.h"
#include "state/clock.h"

namespace greengage::coordination {

/** A renewal that was sent and is not answered yet. */
struct PendingRenewal
{
  state::MonotonicTime sentAt;
  /** Ends up to this number are acknowledged by it. */
  std::uint64_t lastSeen = 0;
  /** The server may hold it back until a run ends. */
  bool waits = false;

  auto operator<=>(const PendingRenewal&) const = default;
};

/**
 * The calls by which an agent extends the leases of its server's runs and
 * learns of their ends: which are on the way, and what they acknowledge. Used
 * by the control thread only.
 */
class LeaseRenewals
{
public:
  explicit LeaseRenewals(const state::Clock& aClock);

  /** Notes a new call; the caller fills in the token and the lease. */
  RenewCall Begin(std::chrono::milliseconds aWait);
  /** The call that is answered; empty if it belongs to an earlier life. */
  std::optional<PendingRenewal> TakeAnswered(std::uint64_t aNumber);
  /** False if the call belongs to an earlier life of the server. */
  bool TakeFailed(std::uint64_t aNumber);
  /** Another life of the server: its ends are numbered anew. */
  void Restart();
  /** Calls that are on the way are of no interest any more. */
  void DropPending() { pending_.clear(); }

  /** The server has acknowledged the ends up to this number. */
  void OnAcknowledged(std::uint64_t aLastSeen);
  void OnEndListed(std::uint64_t aNumber);
  bool HasUnacknowledgedEnds() const { return lastSeen_ != acknowledged_; }

  /** An order carried a lease from this moment on. */
  void OnLeaseGiven(bool aFirstRun);
  state::MonotonicTime ExtendedAt() const { return extendedAt_; }
  /** False in the pause after a call. */
  bool MayBegin() const;
  /** True while a call waits at the server for an end. */
  bool IsWaiting() const;
  /** Calls in a row that got no answer, this one included. */
  unsigned OnNoAnswer() { return ++unanswered_; }

private:
  const state::Clock& clock_;
  std::map<std::uint64_t, PendingRenewal> pending_;
  std::uint64_t next_ = 1;
  std::uint64_t lastSeen_ = 0;
  std::uint64_t acknowledged_ = 0;
  unsigned unanswered_ = 0;
  state::MonotonicTime extendedAt_;
  state::MonotonicTime nextAt_;
};

}
