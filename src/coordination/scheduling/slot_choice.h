#pragma once

#include "coordination/scheduling/fair_queue.h"
#include "coordination/scheduling/server_table.h"

namespace greengage::coordination {

/** The best free slot for a task, as seen by the choice to use it or wait. */
struct FreeSlot
{
  /** Learned speed for the task's template. */
  double speed = 1;
  /**
   * Work ahead in the queue, per unit of the task's own work, up to which the
   * task ends earlier if it waits for a faster slot that is in use now.
   */
  double worthwhileQueue = 0;

  auto operator<=>(const FreeSlot&) const = default;
};

/** Describes a free slot on a server of this class with this learned speed. */
FreeSlot
DescribeSlot(const ServerTable& aServers, double aSpeed, std::size_t aClass);

/**
 * Decides which task of a job takes the free slot, if any. The first tasks of
 * a job are its longest; they wait for fast slots. A slow slot takes the
 * shortest, and only if it ends there before the rest of the job ends
 * elsewhere, so that it does not become the job's straggler. aMeanWork is the
 * mean work, in seconds, of the tasks that hold slots.
 */
Choice
ChooseTask(const FreeSlot& aSlot,
           double aFastestSpeed,
           const Candidate& aCandidate,
           double aMeanWork);

}
