#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "coordination/dispatch/crash_history.h"
#include "coordination/dispatch/dispatched_job.h"
#include "coordination/dispatch/late_starts.h"
#include "coordination/dispatch/order_queue.h"
#include "coordination/dispatch/server_pool.h"
#include "state/clock.h"

namespace greengage::coordination {

/**
 * Decides which waiting tasks of a job start now, and on which servers. The
 * capacity of a placement is reserved in the pool immediately. Used by the
 * control thread only.
 */
class TaskPlacer
{
public:
  /** @param aRemoteRackFactor run time factor outside the rack of the data */
  TaskPlacer(ServerPool& aServers,
             OrderQueue& aOrders,
             const CrashHistory& aCrashHistory,
             const HoldTable& aHolds,
             double aRemoteRackFactor,
             const state::Clock& aClock);

  void SetRemoteRackFactor(double aRemoteRackFactor)
  {
    remoteRackFactor_ = aRemoteRackFactor;
  }

  /** Returns false if a task of a ready step still waits. */
  bool PlaceJob(DispatchedJob& aJob);

  /**
   * Number of steps and searches for a server since the start, which measures
   * the processor time that placing has taken.
   */
  std::uint64_t Searches() const { return searches_; }
  /** @param aTask null for a task without known progress */
  PlacementRequest RequestFor(const DispatchedJob& aJob,
                              std::size_t aStep,
                              const DispatchedTask* aTask = nullptr) const;

private:
  using Places = std::vector<std::pair<std::uint32_t, Placement>>;

  bool PlaceStep(DispatchedJob& aJob, std::size_t aStep);
  /** Reserves places for waiting tasks of a step while capacity is free. */
  Places ReservePlaces(DispatchedJob& aJob, std::size_t aStep);
  /** Returns a place for one task; empty if the task has to wait. */
  std::optional<Placement> FindPlace(const DispatchedStep& aStep,
                                     const PlacementRequest& aRequest,
                                     std::uint32_t aMaxPerServer);
  /** Reserves capacity for one run of a task before its order is sent. */
  void Reserve(DispatchedJob& aJob,
               std::size_t aStep,
               std::uint32_t aIndex,
               const Placement& aPlacement);
  void CancelReservation(DispatchedJob& aJob,
                         std::size_t aStep,
                         std::uint32_t aIndex);
  void Start(DispatchedJob& aJob,
             std::size_t aStep,
             std::uint32_t aIndex,
             const Placement& aPlacement);

  ServerPool& servers_;
  OrderQueue& orders_;
  const CrashHistory& crashHistory_;
  const HoldTable& holds_;
  double remoteRackFactor_;
  const state::Clock& clock_;
  std::uint64_t searches_ = 0;
};

}
