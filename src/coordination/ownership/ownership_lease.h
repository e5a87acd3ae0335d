#pragma once

#include <optional>
#include <vector>

#include "coordination/ownership/agent_roster.h"
#include "coordination/ownership/group_proposer.h"
#include "coordination/ownership/lease_claim.h"
#include "coordination/ownership/lease_hooks.h"
#include "coordination/ownership/lease_member.h"
#include "coordination/ownership/ownership_groups.h"

namespace greengage::coordination {

/**
 * The roles of one process in the ownership of one shard: group member,
 * candidate and owner. At most one process has a valid lease at any time. Used
 * by the control thread only.
 */
class OwnershipLease
{
public:
  OwnershipLease(std::uint32_t aShard,
                 const ProcessInfo& aSelf,
                 const state::Clock& aClock,
                 LeaseHooks aHooks);

  OwnershipLease(const OwnershipLease&) = delete;
  OwnershipLease& operator=(const OwnershipLease&) = delete;

  /**
   * Returns true while this process owns the shard. Check it before each action
   * as the owner.
   */
  bool Valid() const;
  /** Returns the token of the lease, or empty if the lease is not valid. */
  std::optional<state::OwnershipToken> Token() const;

  /**
   * Processes a record of the log. Records are passed in the order of their
   * offsets.
   * @param aWrittenAt time when the log appended the record
   */
  void OnRecord(const OwnershipRecord& aRecord, state::WallTime aWrittenAt);
  void OnActivatedRecord(const OwnershipActivated& aActivated);
  /** True while the log is available and was read to its end. */
  void SetLogUp(bool aUp) { proposer_.SetLogUp(aUp); }

  LeaseReply OnLeaseRequest(const state::ProcessId& aFrom,
                            const LeaseRequest& aRequest);
  void OnLeaseReply(const LeaseReply& aReply);

  /** Sets the processes that are alive according to the membership. */
  void SetProcesses(std::vector<ProcessInfo> aAlive);
  /** A process with a new identity announced itself at the address of aDead. */
  void OnProcessReplaced(const state::ProcessId& aDead);

  /**
   * Adds an agent that can be used. While this process is the owner, the hook
   * agentAcknowledged is called when a majority has acknowledged the agent.
   */
  void OfferAgent(const ProcessInfo& aAgent);
  void OnAgentLost(const state::ProcessId& aAgent);

  /**
   * Hands over the shard if this process owns it, and stops claiming it. The
   * hook lostOwnership is called at once, or when a new group is in the log.
   */
  void Release();

  /**
   * Returns the next record for an operator's statement that all members are
   * dead.
   */
  OwnershipRecord ForcedRecord() const
  {
    return proposer_.ForcedRecord(groups_);
  }

  /** Sends what is due and ends what has timed out. Call every 50 ms. */
  void Tick();

private:
  void CheckExpiry();
  void EndOwnership();
  void StartProbe();
  void StartClaim();
  void EndClaim(state::MonotonicTime aNextAttemptFrom);
  void TryActivate();
  void Activate();
  void SendRound(LeaseClaim& aClaim);
  void HandleReply(const LeaseReply& aReply);
  void OnProbeReply(const LeaseReply& aReply);
  void OnClaimReply(const LeaseReply& aReply);
  void OnRenewalReply(const LeaseReply& aReply);
  void ReportUsableAgents();
  void TickOwner();
  void TickCandidate();
  bool IsProbeDue() const;
  void ReleaseIfPossible();
  void SendRelease(std::vector<OwnershipRecord> aGroups);
  bool MajorityAcknowledged(std::uint64_t aVersion) const;
  bool AgentsComplete() const;

  std::uint32_t shard_;
  ProcessInfo self_;
  const state::Clock& clock_;
  LeaseHooks hooks_;
  LeaseMember member_;
  OwnershipGroups groups_;
  AgentRoster roster_;
  GroupProposer proposer_;
  /**
   * Finds out whether another process holds grants. At most one of probe_ and
   * claim_ is set.
   */
  std::optional<LeaseClaim> probe_;
  /** Claim that has no lease yet; an owner has one while its token changes. */
  std::optional<LeaseClaim> claim_;
  /** Claim that gave this process its lease. */
  std::optional<LeaseClaim> heldClaim_;
  state::MonotonicTime leaseEnd_;
  bool releasing_ = false;
  /** Highest token that any process is known to use. */
  state::OwnershipToken highestToken_;
  /** Newest token that this process claimed. */
  state::OwnershipToken lastClaimed_;
  /** Start of the timeout after which this candidate probes for an owner. */
  state::MonotonicTime ownerTimeoutStart_;
  state::MonotonicTime nextRound_;
  /** Never repeats, so that a late reply is not mistaken for a newer one. */
  std::uint64_t sequence_ = 0;
  /**
   * Until this time agents that were used before a forced record may be missing
   * from the list of agents.
   */
  state::MonotonicTime agentsIncompleteUntil_;
};

}
