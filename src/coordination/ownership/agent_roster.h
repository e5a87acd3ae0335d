#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "coordination/messages.h"
#include "state/clock.h"

namespace greengage::coordination {

/**
 * The owner's list of agents that may hold start records of its shard, and the
 * version of the list that each group member has acknowledged. Each change has
 * a version; a member that acknowledged a version has all changes up to it.
 */
class AgentRoster
{
public:
  explicit AgentRoster(const state::Clock& aClock);

  /**
   * Adds an agent that can be used. Agents are also collected while this
   * process is not the owner.
   */
  void Offer(const ProcessInfo& aAgent);
  /** Marks the agent as no longer in use. */
  void OnLost(const state::ProcessId& aId);

  /**
   * This process became the owner: fills the list with the agents of earlier
   * owners and the agents on offer.
   */
  void Start(const std::vector<AgentInUse>& aInherited);
  /** This process is no longer the owner: clears the list. */
  void Stop();

  std::uint64_t Version() const { return version_; }
  /** Version of the list that contains all agents of earlier owners. */
  std::uint64_t InheritedVersion() const { return inheritedVersion_; }

  /**
   * Adds the agents that the member has not acknowledged to the request, and
   * marks the list as complete if the member has acknowledged none.
   */
  void AddUnacknowledged(const state::ProcessId& aMember,
                         LeaseRequest& aRequest) const;
  void OnAcknowledged(const state::ProcessId& aMember, std::uint64_t aVersion);
  bool HasAcknowledged(const state::ProcessId& aMember,
                       std::uint64_t aVersion) const;

  /**
   * Marks agents on offer as usable once a majority has acknowledged them.
   * Returns the agents that this call marked.
   */
  std::vector<ProcessInfo> MarkUsable(
    const std::function<bool(std::uint64_t aVersion)>& aMajorityAcknowledged);

  /** Drops agents that were lost more than kJobRetention + kClockMargin ago. */
  void Expire();

private:
  struct Entry
  {
    AgentInUse agent;
    /** Version of the list that added or last changed this agent. */
    std::uint64_t version = 0;
    /** True once a majority of the group has acknowledged the agent. */
    bool usable = false;
    /** Time at which this process marked the agent as lost. */
    std::optional<state::MonotonicTime> lostAt;
  };

  void AddOrUpdate(const ProcessInfo& aAgent);

  const state::Clock& clock_;
  bool isOwner_ = false;
  std::uint64_t version_ = 0;
  std::uint64_t inheritedVersion_ = 0;
  std::map<state::ProcessId, ProcessInfo> offered_;
  std::map<state::ProcessId, Entry> agents_;
  /** Newest version that each member acknowledged. */
  std::map<state::ProcessId, std::uint64_t> acknowledged_;
};

}
