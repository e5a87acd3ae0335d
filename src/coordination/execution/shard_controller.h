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

/** Pause between two announcements of the owner to the entries. */
inline constexpr std::chrono::milliseconds kAnnouncePeriod{ 250 };

/**
 * How long a new owner keeps jobs back while the group has not yet
 * acknowledged any agent; later they are refused with no_workers.
 */
inline constexpr std::chrono::milliseconds kAgentGrace{ 1000 };

/** What a ShardController may ask its surroundings to do. */
struct ShardHooks
{
  /** Makes the address of a process known before it is sent to. */
  std::function<void(const ProcessInfo&)> introduce;
  std::function<void(const state::ProcessId& aPeer, PeerMessage)> send;
  /** To all entries, this one included. */
  std::function<void(const OwnerAnnouncement&)> announce;
  std::function<void(const OwnershipRecord&)> propose;
  std::function<void(const OwnershipActivated&)> proposeActivated;
  /** This process became the owner with this token, or lost ownership. */
  std::function<void(std::uint32_t aShard, const state::OwnershipToken&)>
    acquired;
  std::function<void(std::uint32_t aShard, const state::OwnershipToken&)> lost;
  std::function<std::uint64_t()> random;
};

/**
 * An entry's part in one shard: lease, jobs and scheduler. Jobs are handled
 * only while the lease is valid, which is checked before every event, so that
 * a process that was paused cannot act on a lapsed lease. Used by the control
 * thread only.
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

  /** The lease follows the records of the log through this. */
  OwnershipLease& Lease() { return lease_; }
  /** Limits and templates in force are set here. */
  TaskScheduler& Scheduler() { return scheduler_; }
  const TaskScheduler& Scheduler() const { return scheduler_; }
  const JobOwner& Owner() const { return owner_; }

  /** A backend server was announced or changed. */
  void OnAgent(const ProcessInfo& aAgent);
  void OnAgentGone(const state::ProcessId& aAgent);
  /** Messages to or from a living agent may have been lost. */
  void ResyncAgent(const state::ProcessId& aAgent);

  /** Call every 50 ms. */
  void Tick();
  /** Starts queued tasks; call after a batch of events. */
  void Dispatch();

private:
  LeaseHooks MakeLeaseHooks();
  JobOwnerHooks MakeOwnerHooks();
  /** Stops handling jobs if the lease has lapsed. */
  void CheckLease();
  void Announce();
  void OnSubmit(const state::ProcessId& aRequester, const SubmitJob& aSubmit);
  /** Hands over the jobs that were kept back. */
  void SubmitDeferred();
  /** Reports agents of earlier owners that are not alive here. */
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
  std::vector<std::pair<state::ProcessId, SubmitJob>> deferred_;
  std::set<state::ProcessId> aliveAgents_;
  std::vector<state::ProcessId> inherited_;
};

}
