#include "coordination/dispatch/lease_renewals.h"

#include <algorithm>

namespace greengage::coordination {

namespace {

/** Shortest time between a call and the next periodic renewal. */
constexpr std::chrono::milliseconds kRetryDelay{ 100 };
/** Time in which a healthy server answers, after the wait of a long poll. */
constexpr std::chrono::milliseconds kAnswerTime{ 50 };

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
  pending_[call.number] = { call.number, now, lastSeen_, aWait, aFencingToken };
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
  answeredSentAt_ = std::max(answeredSentAt_, found.mapped().sentAt);
  return found.mapped();
}

std::optional<PendingRenewal>
LeaseRenewals::RemoveFailed(std::uint64_t aNumber)
{
  auto found = pending_.extract(aNumber);
  if (found.empty()) {
    return std::nullopt;
  }
  return found.mapped();
}

unsigned
LeaseRenewals::OnNoAnswer(const PendingRenewal& aSent)
{
  if (aSent.sentAt > answeredSentAt_) {
    ++unanswered_;
  }
  return unanswered_;
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
    return aItem.second.wait.count() > 0;
  });
}

bool
LeaseRenewals::HasOverdueCall() const
{
  auto now = clock_.MonotonicNow();
  return std::any_of(pending_.begin(), pending_.end(), [&](const auto& aItem) {
    const PendingRenewal& call = aItem.second;
    return call.sentAt > answeredSentAt_ &&
           now - call.sentAt >= call.wait + kAnswerTime;
  });
}

}
