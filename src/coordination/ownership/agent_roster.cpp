#include "coordination/ownership/agent_roster.h"

#include <algorithm>

#include "state/job_id.h"

namespace greengage::coordination {

AgentRoster::AgentRoster(const state::Clock& aClock)
  : clock_(aClock)
{
}

void
AgentRoster::Offer(const ProcessInfo& aAgent)
{
  offered_.insert_or_assign(aAgent.id, aAgent);
  if (isOwner_) {
    AddOrUpdate(aAgent);
  }
}

void
AgentRoster::OnLost(const state::ProcessId& aId)
{
  offered_.erase(aId);
  auto found = agents_.find(aId);
  if (found == agents_.end() || found->second.agent.lostSince) {
    return;
  }
  Entry& entry = found->second;
  entry.agent.lostSince = clock_.WallNow();
  entry.lostAt = clock_.MonotonicNow();
  entry.usable = false;
  entry.version = ++version_;
}

void
AgentRoster::Start(const std::vector<AgentInUse>& aInherited)
{
  Stop();
  isOwner_ = true;
  // Version 0 means that a member has not acknowledged anything yet.
  version_ = 1;
  for (const AgentInUse& agent : aInherited) {
    Entry entry{ agent, version_, false, std::nullopt };
    if (agent.lostSince) {
      entry.lostAt = clock_.MonotonicNow();
    }
    agents_.emplace(agent.process.id, std::move(entry));
  }
  inheritedVersion_ = version_;
  for (const auto& [id, agent] : offered_) {
    AddOrUpdate(agent);
  }
}

void
AgentRoster::Stop()
{
  isOwner_ = false;
  version_ = 0;
  inheritedVersion_ = 0;
  agents_.clear();
  acknowledged_.clear();
}

void
AgentRoster::AddUnacknowledged(const state::ProcessId& aMember,
                               LeaseRequest& aRequest) const
{
  auto found = acknowledged_.find(aMember);
  std::uint64_t known = found == acknowledged_.end() ? 0 : found->second;
  aRequest.allAgents = known == 0;
  for (const auto& [id, entry] : agents_) {
    if (entry.version > known) {
      aRequest.newAgents.push_back(entry.agent);
    }
  }
}

void
AgentRoster::OnAcknowledged(const state::ProcessId& aMember,
                            std::uint64_t aVersion)
{
  std::uint64_t& known = acknowledged_[aMember];
  known = std::max(known, aVersion);
}

bool
AgentRoster::HasAcknowledged(const state::ProcessId& aMember,
                             std::uint64_t aVersion) const
{
  auto found = acknowledged_.find(aMember);
  return found != acknowledged_.end() && found->second >= aVersion;
}

std::vector<ProcessInfo>
AgentRoster::MarkUsable(
  const std::function<bool(std::uint64_t aVersion)>& aMajorityAcknowledged)
{
  std::vector<ProcessInfo> usable;
  for (auto& [id, entry] : agents_) {
    if (entry.usable || entry.agent.lostSince || !offered_.contains(id)) {
      continue;
    }
    if (aMajorityAcknowledged(entry.version)) {
      entry.usable = true;
      usable.push_back(entry.agent.process);
    }
  }
  return usable;
}

void
AgentRoster::Expire()
{
  auto oldest =
    clock_.MonotonicNow() - state::kJobRetention - state::kClockMargin;
  std::erase_if(agents_, [&](const auto& aEntry) {
    const Entry& entry = aEntry.second;
    return entry.lostAt && *entry.lostAt < oldest;
  });
}

void
AgentRoster::AddOrUpdate(const ProcessInfo& aAgent)
{
  auto [found, added] = agents_.try_emplace(aAgent.id);
  Entry& entry = found->second;
  if (!added && !entry.agent.lostSince) {
    entry.agent.process = aAgent;
    return;
  }
  entry = Entry{ { aAgent, std::nullopt }, ++version_, false, std::nullopt };
}

}
