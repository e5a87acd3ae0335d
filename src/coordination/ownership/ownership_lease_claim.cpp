#include "coordination/ownership/ownership_lease.h"

#include <algorithm>

// The part of OwnershipLease that obtains a lease; renewal and hand-over are
// in ownership_lease.cpp.
namespace greengage::coordination {

using state::MonotonicTime;
using state::OwnershipToken;
using std::chrono::milliseconds;

namespace {

/**
 * Delay between two candidates in the order of succession, so that they rarely
 * compete.
 */
constexpr milliseconds kRankDelay{ 200 };
/**
 * A grant with at most this time remaining has missed two renewals, so its
 * holder is considered dead. A grant with more time remaining shows that the
 * owner is alive and that only this candidate cannot reach it.
 */
constexpr milliseconds kUnrenewedGrantRemaining{ 400 };
/** Longer than a lease, because a claim waits for older grants to end. */
constexpr milliseconds kClaimDuration{ 1500 };

}

void
OwnershipLease::StartProbe()
{
  const OwnershipRecord* latest = groups_.Latest();
  probe_.emplace(
    OwnershipToken{}, groups_.Required(latest->epoch), clock_.MonotonicNow());
  SendRound(*probe_);
}

void
OwnershipLease::StartClaim()
{
  probe_.reset();
  const OwnershipRecord* latest = groups_.Latest();
  auto token =
    latest ? NextToken(*latest, self_.id, highestToken_) : std::nullopt;
  if (!token) {
    return;
  }
  highestToken_ = *token;
  lastClaimed_ = *token;
  claim_.emplace(
    *token, groups_.Required(latest->epoch), clock_.MonotonicNow());
  SendRound(*claim_);
}

void
OwnershipLease::EndClaim(MonotonicTime aNextAttemptFrom)
{
  claim_.reset();
  ownerTimeoutStart_ = aNextAttemptFrom;
}

void
OwnershipLease::TryActivate()
{
  auto now = clock_.MonotonicNow();
  if (claim_ && now < claim_->LeaseEnd() && claim_->OlderGrantsEnded(now) &&
      claim_->AgentsReceived()) {
    Activate();
  }
}

void
OwnershipLease::Activate()
{
  CheckExpiry();
  bool isTokenChange = heldClaim_.has_value();
  heldClaim_ = std::move(claim_);
  claim_.reset();
  leaseEnd_ = heldClaim_->LeaseEnd();
  // The first renewal sends the list of agents to the members.
  nextRound_ = clock_.MonotonicNow();
  OwnershipToken token = heldClaim_->Token();
  if (isTokenChange) {
    hooks_.tokenChanged(token);
    return;
  }
  auto agents = heldClaim_->Agents();
  roster_.Start(agents);
  hooks_.becameOwner(token, std::move(agents), AgentsComplete());
}

void
OwnershipLease::OnProbeReply(const LeaseReply& aReply)
{
  auto now = clock_.MonotonicNow();
  probe_->OnReply(aReply, now);
  if (probe_->OtherGrantsEndBy(now + kUnrenewedGrantRemaining)) {
    StartClaim();
  }
}

void
OwnershipLease::OnClaimReply(const LeaseReply& aReply)
{
  auto now = clock_.MonotonicNow();
  if (!aReply.granted && aReply.promised > claim_->Token()) {
    EndClaim(now);
    return;
  }
  if (claim_->OnReply(aReply, now)) {
    TryActivate();
  }
}

void
OwnershipLease::TickCandidate()
{
  if (releasing_ || self_.role != ProcessRole::eEntry) {
    return;
  }
  auto now = clock_.MonotonicNow();
  TryActivate();
  if (claim_ && now - claim_->StartedAt() >= kClaimDuration) {
    // The random delay gives way to other candidates, which may reach members
    // that this one cannot.
    EndClaim(now - kLeaseDuration +
             milliseconds(hooks_.random() % kLeaseDuration.count()));
  }
  if ((claim_ || probe_) && now >= nextRound_) {
    SendRound(claim_ ? *claim_ : *probe_);
  }
  if (!heldClaim_ && IsProbeDue()) {
    StartProbe();
  }
  proposer_.ProposeFirst(groups_);
}

bool
OwnershipLease::IsProbeDue() const
{
  const OwnershipRecord* latest = groups_.Latest();
  if (!latest || probe_ || claim_) {
    return false;
  }
  auto index = CandidateIndex(*latest, self_.id);
  if (!index) {
    return false;
  }
  std::size_t count = Candidates(*latest).size();
  // Without a term in use the epoch belongs to its first candidate.
  std::size_t owner =
    highestToken_.epoch == latest->epoch ? highestToken_.term % count : 0;
  std::size_t rank = (*index + 2 * count - owner - 1) % count;
  return clock_.MonotonicNow() - ownerTimeoutStart_ >=
         kLeaseDuration + rank * kRankDelay;
}

bool
OwnershipLease::AgentsComplete() const
{
  return clock_.MonotonicNow() >= agentsIncompleteUntil_;
}

}
