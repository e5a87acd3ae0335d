#include "coordination/dispatch/lease_renewals.h"

#include <algorithm>

namespace greengage::coordination {

namespace {

/** Pause after a renewal that failed. */
constexpr std::chrono::milliseconds kRetry{ 100 };

}

LeaseRenewals::LeaseRenewals(const state::Clock& aClock)
  : clock_(aClock)
{
}

RenewCall
LeaseRenewals::Begin(std::chrono::milliseconds aWait)
{
  auto now = clock_.MonotonicNow();
  RenewCall call;
  call.number = next_++;
  call.lastSeen = lastSeen_;
  call.wait = aWait;
  pending_[call.number] = { now, lastSeen_, aWait.count() > 0 };
  extendedAt_ = now;
  nextAt_ = now + kRetry;
  return call;
}

std::optional<PendingRenewal>
LeaseRenewals::TakeAnswered(std::uint64_t aNumber)
{
  auto found = pending_.extract(aNumber);
  if (found.empty()) {
    return std::nullopt;
  }
  unanswered_ = 0;
  return found.mapped();
}

bool
LeaseRenewals::TakeFailed(std::uint64_t aNumber)
{
  if (pending_.erase(aNumber) == 0) {
    return false;
  }
  nextAt_ = clock_.MonotonicNow() + kRetry;
  return true;
}

void
LeaseRenewals::Restart()
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
LeaseRenewals::OnLeaseGiven(bool aFirstRun)
{
  // An order extends the leases of the other runs as well, but it may be lost.
  if (aFirstRun) {
    extendedAt_ = clock_.MonotonicNow();
  }
}

bool
LeaseRenewals::MayBegin() const
{
  return clock_.MonotonicNow() >= nextAt_;
}

bool
LeaseRenewals::IsWaiting() const
{
  return std::any_of(pending_.begin(), pending_.end(), [](const auto& aItem) {
    return aItem.second.waits;
  });
}

}
