#pragma once

#include <set>
#include <vector>

#include "coordination/ownership/lease_hooks.h"
#include "coordination/ownership/ownership_groups.h"
#include "state/clock.h"

namespace greengage::coordination {

/**
 * Decides which ownership records of one shard to propose to the log, and
 * retries proposals with backoff until the log contains them.
 */
class GroupProposer
{
public:
  GroupProposer(std::uint32_t aShard,
                const ProcessInfo& aSelf,
                const state::Clock& aClock,
                const LeaseHooks& aHooks);

  /** True while the log is available and was read to its end. */
  void SetLogUp(bool aUp) { logUp_ = aUp; }
  /** Sets the processes that are alive; this process may be among them. */
  void SetProcesses(std::vector<ProcessInfo> aAlive);
  /**
   * A new process took over the address of aDead, so aDead is never alive
   * again.
   */
  void OnProcessReplaced(const state::ProcessId& aDead);
  /**
   * A record was read from the log: resets the backoff and allows a proposal at
   * once.
   */
  void OnRecord();

  /** Proposes the first group of a shard that has none. */
  void ProposeFirst(const OwnershipGroups& aGroups);

  /**
   * Proposes the activation of the owner's epoch, or a new group where one is
   * needed. Call while this process has a valid lease.
   * @param aEpoch epoch of the owner's token
   * @param aAgentsAcknowledged a majority has the agents of earlier owners
   */
  void Maintain(const OwnershipGroups& aGroups,
                std::uint64_t aEpoch,
                bool aAgentsAcknowledged);

  /**
   * Returns true if another live process, which is not draining, is a candidate
   * of the newest epoch.
   */
  bool HasSuccessor(const OwnershipGroups& aGroups) const;
  /** Returns true if another entry is alive and not draining. */
  bool HasOtherEntry() const { return FirstOtherEntry() != nullptr; }
  /**
   * Proposes a group with another entry as the first member and without this
   * process.
   */
  void ProposeSuccessor(const OwnershipGroups& aGroups);

  /**
   * Returns the record for an operator's statement that all earlier members are
   * dead.
   */
  OwnershipRecord ForcedRecord(const OwnershipGroups& aGroups) const;

private:
  const ProcessInfo* FirstOtherEntry() const;
  /**
   * Returns true if a proposal may be sent now. In that case the backoff before
   * the next one starts.
   */
  bool TryStartProposal();
  /** Returns true at most once in kCheckPeriod. */
  bool TryStartGroupCheck();
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
  /** Time of the next comparison of the members with all processes. */
  state::MonotonicTime nextCheck_;
  std::chrono::milliseconds backoff_;
};

}
