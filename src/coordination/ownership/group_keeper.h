#pragma once

#include <set>
#include <vector>

#include "coordination/ownership/lease_hooks.h"
#include "coordination/ownership/ownership_groups.h"
#include "state/clock.h"

namespace greengage::coordination {

/**
 * Decides which ownership records to propose to the log, and repeats
 * proposals with growing delays until the log holds them.
 */
class GroupKeeper
{
public:
  GroupKeeper(std::uint32_t aShard,
              const ProcessInfo& aSelf,
              const state::Clock& aClock,
              const LeaseHooks& aHooks);

  /** True while the log answers and was read to its end. */
  void SetLogUp(bool aUp) { logUp_ = aUp; }
  /** All processes that are alive, this one included or not. */
  void SetProcesses(std::vector<ProcessInfo> aAlive);
  /** The process was replaced on its address; it never returns. */
  void OnProcessReplaced(const state::ProcessId& aDead);
  /** A record arrived: the next proposal need not wait. */
  void OnRecord();

  /** Proposes the first group of a shard that has none. */
  void ProposeFirst(const OwnershipGroups& aGroups);

  /**
   * Proposals of an owner with a valid lease.
   * @param aEpoch epoch of its token
   * @param aAgentsKnown a majority knows the agents of earlier owners
   */
  void Maintain(const OwnershipGroups& aGroups,
                std::uint64_t aEpoch,
                bool aAgentsKnown);

  /** True if another living process is a candidate of the newest epoch. */
  bool HasSuccessor(const OwnershipGroups& aGroups) const;
  /** True if some other entry could own the shard. */
  bool OtherEntryAlive() const { return FirstOtherEntry() != nullptr; }
  /** Proposes a group led by another entry, without this process. */
  void ProposeSuccessor(const OwnershipGroups& aGroups);

  /** Record of an operator who states that all earlier members are dead. */
  OwnershipRecord ForcedRecord(const OwnershipGroups& aGroups) const;

private:
  const ProcessInfo* FirstOtherEntry() const;
  bool MayPropose();
  bool GroupIsDue();
  void ProposeNext(const OwnershipRecord& aLatest,
                   std::vector<ProcessInfo> aMembers);

  std::uint32_t shard_;
  ProcessInfo self_;
  const state::Clock& clock_;
  const LeaseHooks& hooks_;
  bool logUp_ = false;
  std::vector<ProcessInfo> alive_;
  std::set<state::ProcessId> replaced_;
  state::MonotonicTime nextProposal_;
  /** The members are compared with all processes again from then on. */
  state::MonotonicTime nextCheck_;
  std::chrono::milliseconds delay_;
};

}
