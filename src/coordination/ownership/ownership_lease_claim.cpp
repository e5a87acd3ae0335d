#include "coordination/ownership/ownership_lease.h"

#include <algorithm>

// The part of OwnershipLease that obtains a lease; renewal and hand-over are
// in ownership_lease.cpp.
namespace greengage::coordination {

using state::MonotonicTime;
using state::OwnershipToken;
using std::chrono::milliseconds;

namespace {

/** Candidates act one after another, so that they rarely compete. */
constexpr milliseconds kRankDelay{ 200 };
/**
 * A grant that ends within this time was not renewed twice; its holder is
 * taken for dead. A longer one shows that the owner is alive and that only
 * this candidate cannot hear it.
 */
constexpr milliseconds kSilentGrant{ 400 };
/** Longer than a lease: older grants may have to be waited for. */
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
  auto token = latest ? NextToken(*latest, self_.id, highest_) : std::nullopt;
  if (!token) {
    return;
  }
  highest_ = *token;
  lastClaimed_ = *token;
  claim_.emplace(
    *token, groups_.Required(latest->epoch), clock_.MonotonicNow());
  SendRound(*claim_);
}

void
OwnershipLease::EndClaim(MonotonicTime aNextAttemptFrom)
{
  claim_.reset();
  silentSince_ = aNextAttemptFrom;
}

void
OwnershipLease::TryActivate()
{
  auto now = clock_.MonotonicNow();
  if (claim_ && now < claim_->LeaseEnd() && claim_->OlderGrantsEnded(now) &&
      claim_->AgentsKnown()) {
    Activate();
  }
}

void
OwnershipLease::Activate()
{
  CheckLapse();
  bool continues = held_.has_value();
  held_ = std::move(claim_);
  claim_.reset();
  leaseEnd_ = held_->LeaseEnd();
  // The first renewal tells the members the list of agents.
  nextRound_ = clock_.MonotonicNow();
  OwnershipToken token = held_->Token();
  if (continues) {
    hooks_.tokenChanged(token);
    return;
  }
  auto agents = held_->Agents();
  roster_.Start(agents);
  hooks_.becameOwner(token, std::move(agents), AgentsComplete());
}

void
OwnershipLease::OnProbeReply(const LeaseReply& aReply)
{
  auto now = clock_.MonotonicNow();
  probe_->OnReply(aReply, now);
  if (probe_->OthersSilent(now + kSilentGrant)) {
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
    // Others may reach the members that this candidate cannot.
    EndClaim(now - kLeaseDuration +
             milliseconds(hooks_.random() % kLeaseDuration.count()));
  }
  if ((claim_ || probe_) && now >= nextRound_) {
    SendRound(claim_ ? *claim_ : *probe_);
  }
  if (!held_ && AttemptDue()) {
    StartProbe();
  }
  keeper_.ProposeFirst(groups_);
}

bool
OwnershipLease::AttemptDue() const
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
  // An epoch without a term in use belongs to its first candidate.
  std::size_t owner =
    highest_.epoch == latest->epoch ? highest_.term % count : 0;
  std::size_t rank = (*index + 2 * count - owner - 1) % count;
  return clock_.MonotonicNow() - silentSince_ >=
         kLeaseDuration + rank * kRankDelay;
}

bool
OwnershipLease::AgentsComplete() const
{
  return clock_.MonotonicNow() >= agentsIncompleteUntil_;
}

}
