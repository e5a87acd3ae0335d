#pragma once

#include <map>
#include <set>
#include <vector>

#include "coordination/messages.h"
#include "state/clock.h"

namespace greengage::coordination {

/** Agents that this owner or an earlier one may have started tasks on. */
class AgentTable
{
public:
  /** Forgets everything; aAgents are those that earlier owners used. */
  void Start(std::vector<AgentInUse> aAgents);
  /** The group acknowledged the agent; it is in use, again or for the first
   * time. */
  void Add(const ProcessInfo& aAgent);
  void SetGone(const state::ProcessId& aAgent, state::WallTime aNow);

  /** Null if the agent is not known. */
  const AgentInUse* Find(const state::ProcessId& aAgent) const;
  /** True for an acknowledged agent that is not gone. */
  bool Usable(const state::ProcessId& aAgent) const;
  /** True for an agent that went while this owner was active. */
  bool Lost(const state::ProcessId& aAgent) const;
  std::vector<state::ProcessId> All() const;

  /**
   * Agents that may hold records of a job created at aCreated, started by an
   * earlier owner or, if aByThisOwner, by this one.
   */
  std::set<state::ProcessId> HoldersOfRecords(state::WallTime aCreated,
                                              bool aByEarlierOwner,
                                              bool aByThisOwner) const;

  /** Drops agents that went before aOldest and returns them. */
  std::vector<state::ProcessId> DropGoneBefore(state::WallTime aOldest);

private:
  std::map<state::ProcessId, AgentInUse> agents_;
  /** Agents that earlier owners may have used. */
  std::set<state::ProcessId> inherited_;
  std::set<state::ProcessId> usable_;
  std::set<state::ProcessId> lost_;
};

}
