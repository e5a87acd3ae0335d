#include "coordination/execution/agent_table.h"

#include "state/job_id.h"

namespace greengage::coordination {

void
AgentTable::Reset(std::vector<AgentInUse> aAgents)
{
  agents_.clear();
  usedByEarlierOwners_.clear();
  usable_.clear();
  lost_.clear();
  for (AgentInUse& agent : aAgents) {
    state::ProcessId id = agent.process.id;
    usedByEarlierOwners_.insert(id);
    agents_.insert_or_assign(id, std::move(agent));
  }
}

void
AgentTable::Add(const ProcessInfo& aAgent)
{
  agents_.insert_or_assign(aAgent.id, AgentInUse{ aAgent, std::nullopt });
  usable_.insert(aAgent.id);
  lost_.erase(aAgent.id);
}

void
AgentTable::MarkLost(const state::ProcessId& aAgent, state::WallTime aNow)
{
  auto agent = agents_.find(aAgent);
  if (agent == agents_.end()) {
    return;
  }
  if (!agent->second.lostSince) {
    agent->second.lostSince = aNow;
  }
  usable_.erase(aAgent);
  lost_.insert(aAgent);
}

const AgentInUse*
AgentTable::Find(const state::ProcessId& aAgent) const
{
  auto agent = agents_.find(aAgent);
  return agent == agents_.end() ? nullptr : &agent->second;
}

bool
AgentTable::IsUsable(const state::ProcessId& aAgent) const
{
  return usable_.contains(aAgent);
}

bool
AgentTable::WasLost(const state::ProcessId& aAgent) const
{
  return lost_.contains(aAgent);
}

std::vector<state::ProcessId>
AgentTable::All() const
{
  std::vector<state::ProcessId> all;
  for (const auto& [id, agent] : agents_) {
    all.push_back(id);
  }
  return all;
}

std::set<state::ProcessId>
AgentTable::HoldersOfRecords(state::WallTime aCreated,
                             bool aByEarlierOwner,
                             bool aByThisOwner) const
{
  std::set<state::ProcessId> holders;
  for (const auto& [id, agent] : agents_) {
    bool lostBefore =
      agent.lostSince && aCreated > *agent.lostSince + state::kClockMargin;
    bool mayHoldRecords =
      aByThisOwner || (aByEarlierOwner && usedByEarlierOwners_.contains(id));
    if (mayHoldRecords && !lostBefore) {
      holders.insert(id);
    }
  }
  return holders;
}

std::vector<state::ProcessId>
AgentTable::RemoveLostBefore(state::WallTime aOldest)
{
  std::vector<state::ProcessId> removed;
  for (const auto& [id, agent] : agents_) {
    if (agent.lostSince && *agent.lostSince < aOldest) {
      removed.push_back(id);
    }
  }
  for (const state::ProcessId& id : removed) {
    agents_.erase(id);
    usedByEarlierOwners_.erase(id);
    lost_.erase(id);
  }
  return removed;
}

}
