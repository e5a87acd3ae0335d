#pragma once

#include <optional>
#include <vector>

#include "coordination/ownership/agent_roster.h"
#include "coordination/ownership/group_keeper.h"
#include "coordination/ownership/lease_claim.h"
#include "coordination/ownership/lease_hooks.h"
#include "coordination/ownership/lease_member.h"
#include "coordination/ownership/ownership_groups.h"

namespace greengage::coordination {

/**
 * One process's part in the ownership of one shard: group member, candidate
 * and owner. At most one process has a valid lease at any time. Used by the
 * control thread only.
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

  /** True while this process owns the shard; check before each action. */
  bool Valid() const;
  /** Token of the lease; empty while it is not valid. */
  std::optional<state::OwnershipToken> Token() const;

  /**
   * Records of the log, in order of their offsets.
   * @param aWrittenAt time of the record in the log
   */
  void OnRecord(const OwnershipRecord& aRecord, state::WallTime aWrittenAt);
  void OnActivatedRecord(const OwnershipActivated& aActivated);
  /** True while the log answers and was read to its end. */
  void SetLogUp(bool aUp) { keeper_.SetLogUp(aUp); }

  LeaseReply OnLeaseRequest(const state::ProcessId& aFrom,
                            const LeaseRequest& aRequest);
  void OnLeaseReply(const LeaseReply& aReply);

  /** Processes that membership believes to be alive. */
  void SetProcesses(std::vector<ProcessInfo> aAlive);
  /** The address of a process announced a new identity. */
  void OnProcessReplaced(const state::ProcessId& aDead);

  /** The agent may be used; agentAcknowledged follows while owner. */
  void OfferAgent(const ProcessInfo& aAgent);
  void OnAgentGone(const state::ProcessId& aAgent);

  /**
   * Hands the shard over, if it is owned, and claims it no more;
   * lostOwnership follows at once or after a new group is in the log.
   */
  void Release();

  /** Next record of an operator who states that all members are dead. */
  OwnershipRecord ForcedRecord() const { return keeper_.ForcedRecord(groups_); }

  /** Call every 50 ms. */
  void Tick();

private:
  void CheckLapse();
  void Lose();
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
  bool AttemptDue() const;
  void ReleaseIfPossible();
  void SendRelease(std::vector<OwnershipRecord> aGroups);
  bool MajorityKnows(std::uint64_t aVersion) const;
  bool AgentsComplete() const;

  std::uint32_t shard_;
  ProcessInfo self_;
  const state::Clock& clock_;
  LeaseHooks hooks_;
  LeaseMember member_;
  OwnershipGroups groups_;
  AgentRoster roster_;
  GroupKeeper keeper_;
  /** At most one of probe_ and claim_ is set; claim_ may join held_. */
  std::optional<LeaseClaim> probe_;
  std::optional<LeaseClaim> claim_;
  std::optional<LeaseClaim> held_;
  state::MonotonicTime leaseEnd_;
  bool releasing_ = false;
  /** Highest token of any process known to be in use. */
  state::OwnershipToken highest_;
  /** Newest token that this process claimed. */
  state::OwnershipToken lastClaimed_;
  /** Start of the silence after which this candidate acts. */
  state::MonotonicTime silentSince_;
  state::MonotonicTime nextRound_;
  /** Never repeats, so that a late reply is not taken for a newer one. */
  std::uint64_t sequence_ = 0;
  /** Until then agents from before a forced record may be unknown. */
  state::MonotonicTime agentsIncompleteUntil_;
};

}
