#pragma once

#include "coordination/dispatch/dispatch_messages.h"
#include "coordination/dispatch/dispatched_job.h"
#include "coordination/dispatch/server_pool.h"
#include "coordination/dispatch/task_placer.h"
#include "state/clock.h"

namespace greengage::coordination {

/** What to do with a run, by its progress. */
enum class RunVerdict : std::uint8_t
{
  eKeep,
  /** Another server would end it sooner. */
  eMove,
  /** No server can end it before the job's deadline. */
  eHopeless,
};

/**
 * Judges runs by their progress: those that will last longer than expected,
 * and those that should have ended. What it sees also teaches the speeds of
 * the servers. Used by the control thread only.
 */
class RunMonitor
{
public:
  RunMonitor(ServerPool& aServers,
             const TaskPlacer& aPlacer,
             const state::Clock& aClock);

  /** Judges a run of a task that is going to last this long. */
  RunVerdict OnForecast(DispatchedJob& aJob,
                        std::size_t aStep,
                        DispatchedTask& aTask,
                        double aRunTimeMs);
  /** Judges again a run that its forecast lets miss the deadline. */
  RunVerdict Recheck(const DispatchedJob& aJob,
                     std::size_t aStep,
                     DispatchedTask& aTask);
  /** True, once for each run, if it should have ended long ago. */
  bool BecameOverdue(const DispatchedJob& aJob,
                     std::size_t aStep,
                     DispatchedTask& aTask);

private:
  /** Judges a run whose server makes next to no progress with it. */
  RunVerdict OnHang(const DispatchedJob& aJob,
                    std::size_t aStep,
                    const DispatchedTask& aTask);
  RunVerdict Judge(const DispatchedJob& aJob,
                   std::size_t aStep,
                   DispatchedTask& aTask) const;
  /** Work of a task that will last this long on its server. */
  double WorkFromForecast(const DispatchedJob& aJob,
                          std::size_t aStep,
                          const DispatchedTask& aTask,
                          double aRunTimeMs);

  ServerPool& servers_;
  const TaskPlacer& placer_;
  const state::Clock& clock_;
};

}
