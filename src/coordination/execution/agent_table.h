#pragma once

#include <map>
#include <set>
#include <vector>

#include "coordination/messages.h"
#include "state/clock.h"

namespace greengage::coordination {

/** Agents on which this owner or an earlier one may have started tasks. */
class AgentTable
{
public:
  /** Replaces the content by the agents that earlier owners used. */
  void Reset(std::vector<AgentInUse> aAgents);
  /** Adds an agent that the group acknowledged, or makes it usable again. */
  void Add(const ProcessInfo& aAgent);
  void MarkLost(const state::ProcessId& aAgent, state::WallTime aNow);

  /** Returns null if the agent is not in the table. */
  const AgentInUse* Find(const state::ProcessId& aAgent) const;
  /** True for an acknowledged agent that has not been lost. */
  bool IsUsable(const state::ProcessId& aAgent) const;
  /** True for an agent that was lost while this owner was active. */
  bool WasLost(const state::ProcessId& aAgent) const;
  std::vector<state::ProcessId> All() const;

  /**
   * Returns the agents that may hold records of a job created at aCreated.
   * aByEarlierOwner and aByThisOwner state which owners may have started it.
   */
  std::set<state::ProcessId> HoldersOfRecords(state::WallTime aCreated,
                                              bool aByEarlierOwner,
                                              bool aByThisOwner) const;

  /** Removes agents that were lost before aOldest and returns their IDs. */
  std::vector<state::ProcessId> RemoveLostBefore(state::WallTime aOldest);

private:
  std::map<state::ProcessId, AgentInUse> agents_;
  /** Agents on which earlier owners may have started tasks. */
  std::set<state::ProcessId> usedByEarlierOwners_;
  std::set<state::ProcessId> usable_;
  std::set<state::ProcessId> lost_;
};

}
