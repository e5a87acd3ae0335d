#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "coordination/ownership/ownership_record.h"
#include "state/clock.h"

namespace greengage::coordination {

/** The requests that were sent to all members with one sequence number. */
struct LeaseRound
{
  state::MonotonicTime sentAt;
  /** Version of the owner's list of agents in the requests. */
  std::uint64_t agentsVersion = 0;
  bool wantAgents = false;

  auto operator<=>(const LeaseRound&) const = default;
};

/**
 * The claim of one process on one token: the groups of which it needs a
 * majority each, and the replies of their members. A claim on epoch 0 is a
 * probe: it finds out whether other processes hold grants and is never granted.
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

  /** Returns the members of all groups, each once. */
  std::vector<ProcessInfo> Members() const;

  /** Records a round before it is sent. Drops rounds older than a lease. */
  void OnSent(std::uint64_t aSequence, const LeaseRound& aRound);

  /**
   * Processes a reply. Returns the round that it belongs to, or null if the
   * reply is ignored: it is for another token, is not a grant (for a probe: is
   * one), or belongs to a round that was dropped.
   */
  const LeaseRound* OnReply(const LeaseReply& aReply,
                            state::MonotonicTime aNow);

  /**
   * Returns the end of the lease, or the minimum time if a group lacks a
   * majority.
   */
  state::MonotonicTime LeaseEnd() const;

  /**
   * Returns true if all grants to older tokens that were reported so far have
   * ended at aNow.
   */
  bool OlderGrantsEnded(state::MonotonicTime aNow) const;

  /**
   * Returns true if a majority of every group reported that the grants to other
   * processes end at aTime or earlier.
   */
  bool OtherGrantsEndBy(state::MonotonicTime aTime) const;

  /** Returns true if a majority of every group sent its list of agents. */
  bool AgentsReceived() const;
  /** Returns the union of the lists of agents received. */
  std::vector<AgentInUse> Agents() const;

  /** Returns true if a majority of every group meets the condition. */
  bool HasMajority(
    const std::function<bool(const state::ProcessId&)>& aCondition) const;

private:
  struct MemberReply
  {
    /** Time when the newest request with a reply was sent. */
    state::MonotonicTime sentAt;
    /** End of the member's grants to other processes, as it reported. */
    state::MonotonicTime otherGrantsEnd;
    bool agentsReceived = false;
  };

  void AddAgents(const std::vector<AgentInUse>& aAgents);

  state::OwnershipToken token_;
  std::vector<OwnershipRecord> groups_;
  state::MonotonicTime startedAt_;
  std::map<std::uint64_t, LeaseRound> rounds_;
  std::map<state::ProcessId, MemberReply> replies_;
  std::map<state::ProcessId, AgentInUse> agents_;
};

}
