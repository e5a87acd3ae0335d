#include "coordination/dispatch/lease_renewals.h"

#include <algorithm>

namespace greengage::coordination {

namespace {

/** Delay of the next periodic renewal after a call started or failed. */
constexpr std::chrono::milliseconds kRetryDelay{ 100 };

}

LeaseRenewals::LeaseRenewals(const state::Clock& aClock)
  : clock_(aClock)
{
}

RenewCall
LeaseRenewals::Start(std::chrono::milliseconds aWait,
                     std::uint64_t aFencingToken,
                     std::chrono::milliseconds aLease)
{
  auto now = clock_.MonotonicNow();
  RenewCall call;
  call.number = nextNumber_++;
  call.lastSeen = lastSeen_;
  call.wait = aWait;
  call.fencingToken = aFencingToken;
  pending_[call.number] = {
    call.number, now, lastSeen_, aWait.count() > 0, aFencingToken
  };
  requestedUntil_ = now + aLease;
  nextAt_ = now + kRetryDelay;
  return call;
}

std::optional<PendingRenewal>
LeaseRenewals::RemoveAnswered(std::uint64_t aNumber)
{
  auto found = pending_.extract(aNumber);
  if (found.empty()) {
    return std::nullopt;
  }
  unanswered_ = 0;
  return found.mapped();
}

std::optional<PendingRenewal>
LeaseRenewals::RemoveFailed(std::uint64_t aNumber)
{
  auto found = pending_.extract(aNumber);
  if (found.empty()) {
    return std::nullopt;
  }
  nextAt_ = clock_.MonotonicNow() + kRetryDelay;
  return found.mapped();
}

void
LeaseRenewals::ResetNumbers()
{
  lastSeen_ = 0;
  acknowledged_ = 0;
}

void
LeaseRenewals::OnAcknowledged(std::uint64_t aLastSeen)
{
  acknowledged_ = std::max(acknowledged_, aLastSeen);
}

void
LeaseRenewals::OnEndListed(std::uint64_t aNumber)
{
  lastSeen_ = std::max(lastSeen_, aNumber);
}

void
LeaseRenewals::OnLeaseGranted(bool aFirstRun, std::chrono::milliseconds aLease)
{
  // A start order also extends the leases of the other runs, but it may be
  // lost, so it only counts if there are no other runs.
  if (aFirstRun) {
    requestedUntil_ = clock_.MonotonicNow() + aLease;
  }
}

bool
LeaseRenewals::CanStart() const
{
  return clock_.MonotonicNow() >= nextAt_;
}

bool
LeaseRenewals::HasLongPoll() const
{
  return std::any_of(pending_.begin(), pending_.end(), [](const auto& aItem) {
    return aItem.second.isLongPoll;
  });
}

}
