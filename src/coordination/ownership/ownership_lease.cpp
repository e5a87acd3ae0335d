#include "coordination/ownership/ownership_lease.h"

#include <algorithm>

#include "state/job_id.h"

namespace greengage::coordination {

using state::MonotonicTime;
using state::OwnershipToken;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kRenewalPeriod{ 250 };
/**
 * Shorter than the renewal period, because the shard has no owner during probes
 * and most claims.
 */
constexpr milliseconds kClaimPeriod{ 100 };

}

OwnershipLease::OwnershipLease(std::uint32_t aShard,
                               const ProcessInfo& aSelf,
                               const state::Clock& aClock,
                               LeaseHooks aHooks)
  : shard_(aShard)
  , self_(aSelf)
  , clock_(aClock)
  , hooks_(std::move(aHooks))
  , member_(aShard, aSelf.id, aClock)
  , roster_(aClock)
  , proposer_(aShard, aSelf, aClock, hooks_)
  , leaseEnd_(MonotonicTime::min())
  , ownerTimeoutStart_(aClock.MonotonicNow())
  , nextRound_(aClock.MonotonicNow())
  , agentsIncompleteUntil_(MonotonicTime::min())
{
}

bool
OwnershipLease::Valid() const
{
  return heldClaim_ && clock_.MonotonicNow() < leaseEnd_;
}

std::optional<OwnershipToken>
OwnershipLease::Token() const
{
  return Valid() ? std::optional(heldClaim_->Token()) : std::nullopt;
}

void
OwnershipLease::OnRecord(const OwnershipRecord& aRecord,
                         state::WallTime aWrittenAt)
{
  CheckExpiry();
  if (!groups_.Add(aRecord)) {
    return;
  }
  proposer_.OnRecord();
  auto now = clock_.MonotonicNow();
  bool isFirstMember =
    !aRecord.members.empty() && aRecord.members[0].id == self_.id;
  if (aRecord.forced) {
    auto retention = state::kJobRetention + 2 * state::kClockMargin;
    auto age =
      std::chrono::duration_cast<milliseconds>(clock_.WallNow() - aWrittenAt);
    agentsIncompleteUntil_ =
      now +
      std::clamp<milliseconds>(retention - age, milliseconds(0), retention);
    if (!isFirstMember && heldClaim_) {
      EndOwnership();
    }
  }
  if (aRecord.epoch != groups_.Latest()->epoch) {
    return;
  }
  // Claims on older epochs can no longer succeed.
  probe_.reset();
  claim_.reset();
  if (heldClaim_ && !releasing_) {
    StartClaim();
  } else if (isFirstMember && !heldClaim_) {
    StartProbe();
  }
}

void
OwnershipLease::OnActivatedRecord(const OwnershipActivated& aActivated)
{
  CheckExpiry();
  groups_.Activate(aActivated);
  proposer_.OnRecord();
  for (auto* claim : { &heldClaim_, &claim_ }) {
    if (*claim && (*claim)->Token().epoch == aActivated.epoch) {
      (*claim)->SetGroups(groups_.Required(aActivated.epoch));
    }
  }
  if (probe_) {
    probe_->SetGroups(groups_.Required(UINT64_MAX));
  }
  if (heldClaim_) {
    leaseEnd_ = heldClaim_->LeaseEnd();
  }
}

LeaseReply
OwnershipLease::OnLeaseRequest(const state::ProcessId& aFrom,
                               const LeaseRequest& aRequest)
{
  CheckExpiry();
  LeaseReply reply = member_.OnRequest(aFrom, aRequest);
  if (reply.granted || aRequest.release) {
    highestToken_ = std::max(highestToken_, aRequest.token);
    auto now = clock_.MonotonicNow();
    // After a release the candidates need not wait for the end of the lease.
    ownerTimeoutStart_ = aRequest.release ? now - kLeaseDuration : now;
    probe_.reset();
    if (claim_ && claim_->Token() < aRequest.token) {
      claim_.reset();
    }
  }
  return reply;
}

void
OwnershipLease::OnLeaseReply(const LeaseReply& aReply)
{
  CheckExpiry();
  if (aReply.shard == shard_) {
    HandleReply(aReply);
  }
}

void
OwnershipLease::SetProcesses(std::vector<ProcessInfo> aAlive)
{
  CheckExpiry();
  proposer_.SetProcesses(std::move(aAlive));
}

void
OwnershipLease::OnProcessReplaced(const state::ProcessId& aDead)
{
  CheckExpiry();
  proposer_.OnProcessReplaced(aDead);
  roster_.OnLost(aDead);
}

void
OwnershipLease::OfferAgent(const ProcessInfo& aAgent)
{
  CheckExpiry();
  auto version = roster_.Version();
  roster_.Offer(aAgent);
  if (roster_.Version() != version) {
    nextRound_ = clock_.MonotonicNow();
  }
}

void
OwnershipLease::OnAgentLost(const state::ProcessId& aAgent)
{
  CheckExpiry();
  roster_.OnLost(aAgent);
}

void
OwnershipLease::Release()
{
  CheckExpiry();
  releasing_ = true;
  probe_.reset();
  claim_.reset();
  ReleaseIfPossible();
}

void
OwnershipLease::Tick()
{
  CheckExpiry();
  member_.Expire();
  roster_.Expire();
  if (heldClaim_ && !claim_) {
    TickOwner();
  } else {
    TickCandidate();
  }
}

void
OwnershipLease::CheckExpiry()
{
  if (heldClaim_ && !Valid()) {
    EndOwnership();
  }
}

void
OwnershipLease::EndOwnership()
{
  heldClaim_.reset();
  roster_.Stop();
  // The lease has ended, so the candidates need not wait for that. They act in
  // the order of succession.
  ownerTimeoutStart_ = clock_.MonotonicNow() - kLeaseDuration;
  hooks_.lostOwnership();
}

void
OwnershipLease::SendRound(LeaseClaim& aClaim)
{
  auto now = clock_.MonotonicNow();
  bool isOwner = heldClaim_ && &aClaim == &*heldClaim_;
  LeaseRequest request;
  request.shard = shard_;
  request.token = aClaim.Token();
  request.sequence = ++sequence_;
  // Only the owner sends its list of agents: a claim that fails must not
  // replace the list of the process whose claim succeeded.
  request.wantAgents = !isOwner;
  aClaim.OnSent(request.sequence,
                { now, isOwner ? roster_.Version() : 0, request.wantAgents });
  nextRound_ = now + (isOwner ? kRenewalPeriod : kClaimPeriod);
  std::optional<LeaseReply> ownReply;
  for (const ProcessInfo& member : aClaim.Members()) {
    LeaseRequest copy = request;
    if (isOwner) {
      roster_.AddUnacknowledged(member.id, copy);
    }
    if (member.id == self_.id) {
      ownReply = member_.OnRequest(self_.id, copy);
    } else {
      hooks_.sendRequest(member, std::move(copy));
    }
  }
  // Handled last, because the reply may end or activate the claim.
  if (ownReply) {
    HandleReply(*ownReply);
  }
}

void
OwnershipLease::HandleReply(const LeaseReply& aReply)
{
  highestToken_ = std::max(highestToken_, aReply.promised);
  if (probe_ && aReply.token == probe_->Token()) {
    OnProbeReply(aReply);
  } else if (claim_ && aReply.token == claim_->Token()) {
    OnClaimReply(aReply);
  } else if (heldClaim_ && aReply.token == heldClaim_->Token()) {
    OnRenewalReply(aReply);
  }
}

void
OwnershipLease::OnRenewalReply(const LeaseReply& aReply)
{
  const LeaseRound* round = heldClaim_->OnReply(aReply, clock_.MonotonicNow());
  if (!round) {
    return;
  }
  leaseEnd_ = heldClaim_->LeaseEnd();
  if (round->agentsVersion > 0) {
    roster_.OnAcknowledged(aReply.member, round->agentsVersion);
    ReportUsableAgents();
  }
}

void
OwnershipLease::ReportUsableAgents()
{
  auto usable = roster_.MarkUsable(
    [&](std::uint64_t aVersion) { return MajorityAcknowledged(aVersion); });
  for (const ProcessInfo& agent : usable) {
    hooks_.agentAcknowledged(agent);
  }
}

void
OwnershipLease::TickOwner()
{
  if (clock_.MonotonicNow() >= nextRound_) {
    SendRound(*heldClaim_);
  }
  if (releasing_) {
    ReleaseIfPossible();
    return;
  }
  proposer_.Maintain(groups_,
                     heldClaim_->Token().epoch,
                     MajorityAcknowledged(roster_.InheritedVersion()));
}

void
OwnershipLease::ReleaseIfPossible()
{
  if (!heldClaim_) {
    return;
  }
  if (!proposer_.HasSuccessor(groups_) && proposer_.HasOtherEntry()) {
    proposer_.ProposeSuccessor(groups_);
    return;
  }
  auto groups = heldClaim_->Groups();
  EndOwnership();
  SendRelease(std::move(groups));
}

void
OwnershipLease::SendRelease(std::vector<OwnershipRecord> aGroups)
{
  // The members of newer groups wait for the release as well.
  for (OwnershipRecord& group : groups_.Required(UINT64_MAX)) {
    aGroups.push_back(std::move(group));
  }
  LeaseRequest request;
  request.shard = shard_;
  request.token = lastClaimed_;
  request.sequence = ++sequence_;
  request.release = true;
  LeaseClaim claim(lastClaimed_, std::move(aGroups), clock_.MonotonicNow());
  for (const ProcessInfo& member : claim.Members()) {
    if (member.id == self_.id) {
      member_.OnRequest(self_.id, request);
    } else {
      hooks_.sendRequest(member, request);
    }
  }
}

bool
OwnershipLease::MajorityAcknowledged(std::uint64_t aVersion) const
{
  return heldClaim_->HasMajority([&](const state::ProcessId& aId) {
    return roster_.HasAcknowledged(aId, aVersion);
  });
}

}
