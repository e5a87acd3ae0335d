#pragma once

#include "coordination/scheduling/fair_queue.h"
#include "coordination/scheduling/server_table.h"

namespace greengage::coordination {

/** Properties of a free slot that decide whether a task uses it or waits. */
struct FreeSlot
{
  /** Estimated speed of the server for the task's template. */
  double speed = 1;
  /**
   * Largest ratio of the work ahead of a task to its own work at which the task
   * ends earlier if it waits for a faster slot, which is in use now.
   */
  double maxWorkAheadRatio = 0;

  auto operator<=>(const FreeSlot&) const = default;
};

/** Describes a free slot on a server of speed aSpeed and rate class aClass. */
FreeSlot
DescribeSlot(const ServerTable& aServers, double aSpeed, std::size_t aClass);

/**
 * Decides which task of a job, if any, is started on the free slot. The longest
 * tasks of a job are started first and wait for fast slots. On a slow slot the
 * shortest task is started, and only if it is expected to end there before the
 * rest of the job ends on other slots, so that it does not become a straggler.
 *
 * @param aMeanWork mean work of the tasks that occupy slots, in seconds
 */
Choice
ChooseTask(const FreeSlot& aSlot,
           double aFastestSpeed,
           const Candidate& aCandidate,
           double aMeanWork);

}
