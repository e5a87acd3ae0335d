#include "coordination/ownership/lease_claim.h"

#include <algorithm>

#include "coordination/ownership/lease_member.h"

namespace greengage::coordination {

using state::MonotonicTime;

LeaseClaim::LeaseClaim(const state::OwnershipToken& aToken,
                       std::vector<OwnershipRecord> aGroups,
                       MonotonicTime aNow)
  : token_(aToken)
  , groups_(std::move(aGroups))
  , startedAt_(aNow)
{
}

void
LeaseClaim::SetGroups(std::vector<OwnershipRecord> aGroups)
{
  groups_ = std::move(aGroups);
}

std::vector<ProcessInfo>
LeaseClaim::Members() const
{
  std::map<state::ProcessId, ProcessInfo> members;
  for (const OwnershipRecord& group : groups_) {
    for (const ProcessInfo& member : group.members) {
      members.emplace(member.id, member);
    }
  }
  std::vector<ProcessInfo> list;
  for (const auto& [id, member] : members) {
    list.push_back(member);
  }
  return list;
}

void
LeaseClaim::OnSent(std::uint64_t aSequence, const LeaseRound& aRound)
{
  std::erase_if(rounds_, [&](const auto& aEntry) {
    return aEntry.second.sentAt + kLeaseDuration <= aRound.sentAt;
  });
  rounds_.emplace(aSequence, aRound);
}

const LeaseRound*
LeaseClaim::OnReply(const LeaseReply& aReply, MonotonicTime aNow)
{
  bool probe = token_.epoch == 0;
  auto round = rounds_.find(aReply.sequence);
  if (aReply.token != token_ || round == rounds_.end() ||
      aReply.granted == probe) {
    return nullptr;
  }
  auto otherGrantsEnd = aNow + aReply.olderGrantRemaining;
  auto [entry, first] = replies_.try_emplace(aReply.member);
  MemberReply& memberReply = entry->second;
  if (first) {
    memberReply.sentAt = round->second.sentAt;
    memberReply.otherGrantsEnd = otherGrantsEnd;
  } else if (!probe) {
    // Older tokens get no new grants, so the earliest reported end is valid.
    memberReply.otherGrantsEnd =
      std::min(memberReply.otherGrantsEnd, otherGrantsEnd);
  } else if (round->second.sentAt >= memberReply.sentAt) {
    memberReply.otherGrantsEnd = otherGrantsEnd;
  }
  memberReply.sentAt = std::max(memberReply.sentAt, round->second.sentAt);
  if (round->second.wantAgents && aReply.granted) {
    memberReply.agentsReceived = true;
    AddAgents(aReply.agents);
  }
  return &round->second;
}

MonotonicTime
LeaseClaim::LeaseEnd() const
{
  if (groups_.empty()) {
    return MonotonicTime::min();
  }
  MonotonicTime end = MonotonicTime::max();
  for (const OwnershipRecord& group : groups_) {
    std::vector<MonotonicTime> sent;
    for (const ProcessInfo& member : group.members) {
      auto memberReply = replies_.find(member.id);
      if (memberReply != replies_.end()) {
        sent.push_back(memberReply->second.sentAt);
      }
    }
    std::size_t majority = group.members.size() / 2 + 1;
    if (sent.size() < majority) {
      return MonotonicTime::min();
    }
    std::sort(sent.begin(), sent.end(), std::greater<>());
    end = std::min(end, sent[majority - 1] + kLeaseDuration);
  }
  return end;
}

bool
LeaseClaim::OlderGrantsEnded(MonotonicTime aNow) const
{
  return std::all_of(replies_.begin(), replies_.end(), [&](const auto& aEntry) {
    return aEntry.second.otherGrantsEnd <= aNow;
  });
}

bool
LeaseClaim::OtherGrantsEndBy(MonotonicTime aTime) const
{
  return HasMajority([&](const state::ProcessId& aId) {
    auto memberReply = replies_.find(aId);
    return memberReply != replies_.end() &&
           memberReply->second.otherGrantsEnd <= aTime;
  });
}

bool
LeaseClaim::AgentsReceived() const
{
  return HasMajority([&](const state::ProcessId& aId) {
    auto memberReply = replies_.find(aId);
    return memberReply != replies_.end() && memberReply->second.agentsReceived;
  });
}

std::vector<AgentInUse>
LeaseClaim::Agents() const
{
  std::vector<AgentInUse> agents;
  for (const auto& [id, agent] : agents_) {
    agents.push_back(agent);
  }
  return agents;
}

bool
LeaseClaim::HasMajority(
  const std::function<bool(const state::ProcessId&)>& aCondition) const
{
  return !groups_.empty() &&
         std::all_of(groups_.begin(), groups_.end(), [&](const auto& aGroup) {
           auto met = std::count_if(
             aGroup.members.begin(),
             aGroup.members.end(),
             [&](const auto& aMember) { return aCondition(aMember.id); });
           return static_cast<std::size_t>(met) > aGroup.members.size() / 2;
         });
}

void
LeaseClaim::AddAgents(const std::vector<AgentInUse>& aAgents)
{
  for (const AgentInUse& agent : aAgents) {
    auto [entry, added] = agents_.emplace(agent.process.id, agent);
    AgentInUse& known = entry->second;
    // If the members' reports differ, the latest end of use is assumed.
    if (!added && known.lostSince &&
        (!agent.lostSince || *known.lostSince < *agent.lostSince)) {
      known = agent;
    }
  }
}

}
