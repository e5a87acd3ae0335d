#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "coordination/ownership/ownership_record.h"
#include "state/clock.h"

namespace greengage::coordination {

/** What was sent to the members with one sequence number. */
struct LeaseRound
{
  state::MonotonicTime sentAt;
  /** Version of the owner's list of agents that the round carried. */
  std::uint64_t agentsVersion = 0;
  bool wantAgents = false;

  auto operator<=>(const LeaseRound&) const = default;
};

/**
 * One process's claim on one token: the groups whose majorities it needs and
 * their replies. A claim on epoch 0 is a probe: it learns whether others hold
 * grants and is never granted.
 */
class LeaseClaim
{
public:
  LeaseClaim(const state::OwnershipToken& aToken,
             std::vector<OwnershipRecord> aGroups,
             state::MonotonicTime aNow);

  const state::OwnershipToken& Token() const { return token_; }
  state::MonotonicTime StartedAt() const { return startedAt_; }
  const std::vector<OwnershipRecord>& Groups() const { return groups_; }
  void SetGroups(std::vector<OwnershipRecord> aGroups);

  /** Members of all groups, each once. */
  std::vector<ProcessInfo> Members() const;

  /** Records a round before it is sent; forgets rounds that are too old. */
  void OnSent(std::uint64_t aSequence, const LeaseRound& aRound);

  /**
   * The round that the reply answers; null if the reply is no grant for this
   * claim or came too late to be of use.
   */
  const LeaseRound* OnReply(const LeaseReply& aReply,
                            state::MonotonicTime aNow);

  /** End of the lease; the minimum of the clock without majorities. */
  state::MonotonicTime LeaseEnd() const;

  /** True if every grant to an older token reported so far has ended. */
  bool OlderGrantsEnded(state::MonotonicTime aNow) const;

  /** True if majorities reported that other grants end before aTime. */
  bool OthersSilent(state::MonotonicTime aTime) const;

  /** True if majorities sent their lists of agents. */
  bool AgentsKnown() const;
  /** Union of the lists of agents received. */
  std::vector<AgentInUse> Agents() const;

  /** True if a majority of every group meets the condition. */
  bool Majority(
    const std::function<bool(const state::ProcessId&)>& aCondition) const;

private:
  struct Vote
  {
    /** Newest sending time of a request that was answered. */
    state::MonotonicTime sentAt;
    /** End of the grants to others that the member reported. */
    state::MonotonicTime othersEnd;
    bool agentsReceived = false;
  };

  void AddAgents(const std::vector<AgentInUse>& aAgents);

  state::OwnershipToken token_;
  std::vector<OwnershipRecord> groups_;
  state::MonotonicTime startedAt_;
  std::map<std::uint64_t, LeaseRound> rounds_;
  std::map<state::ProcessId, Vote> votes_;
  std::map<state::ProcessId, AgentInUse> agents_;
};

}
