#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "coordination/dispatch/dispatched_job.h"
#include "coordination/dispatch/order_outbox.h"
#include "coordination/dispatch/server_pool.h"
#include "state/clock.h"

namespace greengage::coordination {

/**
 * Decides which waiting tasks of a job start now, and where. Room that it
 * hands out is taken from the pool at once. Used by the control thread only.
 */
class TaskPlacer
{
public:
  /** @param aFarFactor factor on run times away from the rack of the data */
  TaskPlacer(ServerPool& aServers,
             OrderOutbox& aOrders,
             double aFarFactor,
             const state::Clock& aClock);

  void SetFarFactor(double aFarFactor) { farFactor_ = aFarFactor; }

  /** False if a task of a step that is ready still waits. */
  bool PlaceJob(DispatchedJob& aJob);
  /** @param aTask null for a task of which no progress is known */
  PlacementRequest RequestFor(const DispatchedJob& aJob,
                              std::size_t aStep,
                              const DispatchedTask* aTask = nullptr) const;

private:
  using Places = std::vector<std::pair<std::uint32_t, Placement>>;

  bool PlaceStep(DispatchedJob& aJob, std::size_t aStep);
  /** Places of all waiting tasks of a step, as far as there is room. */
  Places FindPlaces(DispatchedJob& aJob, std::size_t aStep);
  /** Place of one task; none if it should wait for a better one. */
  std::optional<Placement> FindPlace(const DispatchedStep& aStep,
                                     const PlacementRequest& aRequest,
                                     std::uint32_t aMaxPerServer) const;
  /** Takes room for one run of a task before its order is sent. */
  void Reserve(DispatchedJob& aJob,
               std::size_t aStep,
               std::uint32_t aIndex,
               const Placement& aPlacement);
  void Withdraw(DispatchedJob& aJob, std::size_t aStep, std::uint32_t aIndex);
  void Start(DispatchedJob& aJob,
             std::size_t aStep,
             std::uint32_t aIndex,
             const Placement& aPlacement);

  ServerPool& servers_;
  OrderOutbox& orders_;
  double farFactor_;
  const state::Clock& clock_;
};

}
