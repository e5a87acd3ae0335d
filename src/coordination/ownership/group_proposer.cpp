#include "coordination/ownership/group_proposer.h"

#include <algorithm>

#include "coordination/ownership/group_selection.h"

namespace greengage::coordination {

namespace {

constexpr std::chrono::milliseconds kFirstProposalBackoff{ 500 };
constexpr std::chrono::milliseconds kMaxProposalBackoff{ 8000 };
/**
 * With 100 agents, a comparison of the group with all processes in every tick
 * of 50 ms took a fifth of the instructions of an idle owner.
 */
constexpr std::chrono::milliseconds kCheckPeriod{ 250 };

}

GroupProposer::GroupProposer(std::uint32_t aShard,
                             const ProcessInfo& aSelf,
                             const state::Clock& aClock,
                             const LeaseHooks& aHooks)
  : shard_(aShard)
  , self_(aSelf)
  , clock_(aClock)
  , hooks_(aHooks)
  , nextProposal_(aClock.MonotonicNow())
  , nextCheck_(aClock.MonotonicNow())
  , backoff_(kFirstProposalBackoff)
{
}

void
GroupProposer::SetProcesses(std::vector<ProcessInfo> aAlive)
{
  alive_ = std::move(aAlive);
  std::erase_if(alive_, [&](const ProcessInfo& aInfo) {
    return replaced_.contains(aInfo.id);
  });
}

void
GroupProposer::OnProcessReplaced(const state::ProcessId& aDead)
{
  replaced_.insert(aDead);
  std::erase_if(alive_,
                [&](const ProcessInfo& aInfo) { return aInfo.id == aDead; });
}

void
GroupProposer::OnRecord()
{
  backoff_ = kFirstProposalBackoff;
  nextProposal_ = clock_.MonotonicNow();
}

void
GroupProposer::ProposeFirst(const OwnershipGroups& aGroups)
{
  if (aGroups.Empty() && TryStartProposal()) {
    hooks_.propose({ shard_, 1, ChooseMembers(self_, {}, alive_), false });
  }
}

void
GroupProposer::Maintain(const OwnershipGroups& aGroups,
                        std::uint64_t aEpoch,
                        bool aAgentsAcknowledged)
{
  const OwnershipRecord* latest = aGroups.Latest();
  if (!latest) {
    return;
  }
  bool newest = latest->epoch == aEpoch;
  if (newest && !aGroups.IsActivated(aEpoch)) {
    if (aAgentsAcknowledged && TryStartProposal()) {
      hooks_.proposeActivated({ shard_, aEpoch });
    }
    return;
  }
  if (!TryStartGroupCheck()) {
    return;
  }
  // If the newest epoch is not that of the owner, the owner is not a candidate
  // of it, and a further epoch is needed.
  if ((!newest || NeedsNewGroup(self_, latest->members, alive_)) &&
      TryStartProposal()) {
    ProposeNext(*latest, ChooseMembers(self_, latest->members, alive_));
  }
}

bool
GroupProposer::HasSuccessor(const OwnershipGroups& aGroups) const
{
  const OwnershipRecord* latest = aGroups.Latest();
  return latest &&
         std::any_of(
           alive_.begin(), alive_.end(), [&](const ProcessInfo& aInfo) {
             return aInfo.id != self_.id && !aInfo.draining &&
                    CandidateIndex(*latest, aInfo.id).has_value();
           });
}

void
GroupProposer::ProposeSuccessor(const OwnershipGroups& aGroups)
{
  const OwnershipRecord* latest = aGroups.Latest();
  const ProcessInfo* successor = FirstOtherEntry();
  if (!latest || !successor || !TryStartProposal()) {
    return;
  }
  auto others = alive_;
  std::erase_if(others,
                [&](const ProcessInfo& aInfo) { return aInfo.id == self_.id; });
  ProposeNext(*latest, ChooseMembers(*successor, latest->members, others));
}

OwnershipRecord
GroupProposer::ForcedRecord(const OwnershipGroups& aGroups) const
{
  const OwnershipRecord* latest = aGroups.Latest();
  std::uint64_t epoch = latest ? latest->epoch + 1 : 1;
  return { shard_, epoch, ChooseMembers(self_, {}, alive_), true };
}

const ProcessInfo*
GroupProposer::FirstOtherEntry() const
{
  auto found =
    std::find_if(alive_.begin(), alive_.end(), [&](const ProcessInfo& aInfo) {
      return aInfo.id != self_.id && aInfo.role == ProcessRole::eEntry &&
             !aInfo.draining;
    });
  return found == alive_.end() ? nullptr : &*found;
}

bool
GroupProposer::TryStartGroupCheck()
{
  auto now = clock_.MonotonicNow();
  if (now < nextCheck_) {
    return false;
  }
  nextCheck_ = now + kCheckPeriod;
  return true;
}

bool
GroupProposer::TryStartProposal()
{
  auto now = clock_.MonotonicNow();
  if (!logUp_ || now < nextProposal_) {
    return false;
  }
  // The jitter prevents repeated conflicts between two proposers.
  auto jitter = std::chrono::milliseconds(
    hooks_.random() % static_cast<std::uint64_t>(backoff_.count()));
  nextProposal_ = now + backoff_ / 2 + jitter;
  backoff_ = std::min(backoff_ * 2, kMaxProposalBackoff);
  return true;
}

void
GroupProposer::ProposeNext(const OwnershipRecord& aLatest,
                           std::vector<ProcessInfo> aMembers)
{
  hooks_.propose({ shard_, aLatest.epoch + 1, std::move(aMembers), false });
}

}
