#pragma once

#include <functional>
#include <set>
#include <vector>

#include "coordination/execution/job_owner.h"
#include "coordination/messages.h"
#include "coordination/ownership/ownership_lease.h"
#include "coordination/scheduling/task_scheduler.h"
#include "state/clock.h"

namespace greengage::coordination {

/** Interval between two announcements of the owner to the entries. */
inline constexpr std::chrono::milliseconds kAnnouncePeriod{ 250 };

/**
 * How long a new owner defers jobs while the group has not acknowledged any
 * agent; afterwards they are refused with no_workers.
 */
inline constexpr std::chrono::milliseconds kAgentGrace{ 1000 };

/** Callbacks of a ShardController. */
struct ShardHooks
{
  /** Registers the address of a process before messages are sent to it. */
  std::function<void(const ProcessInfo&)> registerPeer;
  std::function<void(const state::ProcessId& aPeer, PeerMessage)> send;
  /** Sends to all entries, including this one. */
  std::function<void(const OwnerAnnouncement&)> announce;
  std::function<void(const OwnershipRecord&)> propose;
  std::function<void(const OwnershipActivated&)> proposeActivated;
  /** Called when this process gains or loses ownership with this token. */
  std::function<void(std::uint32_t aShard, const state::OwnershipToken&)>
    ownershipAcquired;
  std::function<void(std::uint32_t aShard, const state::OwnershipToken&)>
    ownershipLost;
  std::function<std::uint64_t()> random;
};

/**
 * Controls one shard in an entry: lease, jobs and scheduler. Jobs are handled
 * only while the lease is valid. The lease is checked before every event, so
 * that a process that was paused cannot act on an expired lease. Used by the
 * control thread only.
 */
class ShardController
{
public:
  ShardController(std::uint32_t aShard,
                  const ProcessInfo& aSelf,
                  const state::Clock& aClock,
                  ShardHooks aHooks);

  ShardController(const ShardController&) = delete;
  ShardController& operator=(const ShardController&) = delete;

  /** Handles a message that concerns this shard. */
  void OnPeerMessage(const ProcessInfo& aFrom, const PeerMessage& aMessage);

  /** Gives access to the lease, which must receive the log's records. */
  OwnershipLease& Lease() { return lease_; }
  /** Gives access to the scheduler, which needs the limits and templates. */
  TaskScheduler& Scheduler() { return scheduler_; }
  const TaskScheduler& Scheduler() const { return scheduler_; }
  const JobOwner& Owner() const { return owner_; }

  /** Handles a new or changed agent. */
  void OnAgent(const ProcessInfo& aAgent);
  void OnAgentLost(const state::ProcessId& aAgent);
  /** Queries an agent's records because messages may have been lost. */
  void ResyncAgent(const state::ProcessId& aAgent);

  /** Call every 50 ms. */
  void Tick();
  /** Starts queued tasks; call after a batch of events. */
  void Dispatch();

private:
  LeaseHooks MakeLeaseHooks();
  JobOwnerHooks MakeOwnerHooks();
  /** Stops handling jobs if the lease has expired. */
  void CheckLease();
  void Announce();
  void OnSubmit(const state::ProcessId& aRequester, const SubmitJob& aSubmit);
  /** Passes the deferred jobs to the owner. */
  void SubmitDeferred();
  /** Reports agents of earlier owners as lost if they are not alive here. */
  void CheckInheritedAgents();

  std::uint32_t shard_;
  ProcessInfo self_;
  const state::Clock& clock_;
  ShardHooks hooks_;
  TaskScheduler scheduler_;
  JobOwner owner_;
  OwnershipLease lease_;
  state::MonotonicTime nextAnnouncement_;
  state::OwnershipToken token_;
  state::MonotonicTime deferUntil_;
  std::vector<std::pair<state::ProcessId, SubmitJob>> deferredSubmits_;
  std::set<state::ProcessId> aliveAgents_;
  std::vector<state::ProcessId> inheritedAgents_;
};

}
