#pragma once

#include "coordination/dispatch/dispatch_messages.h"
#include "coordination/dispatch/dispatched_job.h"
#include "coordination/dispatch/server_pool.h"
#include "coordination/dispatch/task_placer.h"
#include "state/clock.h"

namespace greengage::coordination {

/** Action for a run, depending on its progress. */
enum class RunAction : std::uint8_t
{
  eKeep,
  /** Another server is expected to end it sooner, or it hangs. */
  eMove,
  /** No server can end it before the job's deadline. */
  eDeadlineUnreachable,
};

/**
 * Detects runs that will take longer than expected, hang or are overdue, and
 * decides on the action. Also updates the speed estimates of the servers. Used
 * by the control thread only.
 */
class RunMonitor
{
public:
  RunMonitor(ServerPool& aServers,
             const TaskPlacer& aPlacer,
             const state::Clock& aClock);

  /** Decides on a run after a forecast of its total run time. */
  RunAction OnForecast(DispatchedJob& aJob,
                       std::size_t aStep,
                       DispatchedTask& aTask,
                       double aRunTimeMs);
  /** Decides again on a run whose forecast exceeds the deadline. */
  RunAction Recheck(const DispatchedJob& aJob,
                    std::size_t aStep,
                    DispatchedTask& aTask);
  /** Returns true, once per run, when the run becomes overdue. */
  bool BecameOverdue(const DispatchedJob& aJob,
                     std::size_t aStep,
                     DispatchedTask& aTask);

private:
  /** Decides on a run that makes almost no progress. */
  RunAction OnHang(const DispatchedJob& aJob,
                   std::size_t aStep,
                   const DispatchedTask& aTask);
  /** Decides whether a run continues, moves or cannot meet the deadline. */
  RunAction DecideAction(const DispatchedJob& aJob,
                         std::size_t aStep,
                         DispatchedTask& aTask) const;
  /** Estimates the work of a task from its forecast run time on its server. */
  double WorkFromForecast(const DispatchedJob& aJob,
                          std::size_t aStep,
                          const DispatchedTask& aTask,
                          double aRunTimeMs);

  ServerPool& servers_;
  const TaskPlacer& placer_;
  const state::Clock& clock_;
};

}
