#pragma once

#include "coordination/fair_queue.h"
#include "coordination/server_table.h"

namespace greengage::coordination {

/** The best free slot for a task, as seen by the choice to use it or wait. */
struct FreeSlot
{
  /** Learned speed for the task's template. */
  double speed = 1;
  std::size_t rateClass = 0;

  auto operator<=>(const FreeSlot&) const = default;
};

/**
 * True if a task is expected to finish earlier on a faster slot that is in use
 * now. aTaskWork and aWorkAhead, which takes faster slots first, are in
 * seconds at speed 1; aMeanWork is the mean work of the tasks that hold them.
 */
bool
FinishesEarlierElsewhere(const ServerTable& aServers,
                         const FreeSlot& aSlot,
                         double aTaskWork,
                         double aWorkAhead,
                         double aMeanWork);

/**
 * Decides which task of a job takes the free slot, if any. The first tasks of
 * a job are its longest; they wait for fast slots. A slow slot takes the
 * shortest, and only if it ends there before the rest of the job ends
 * elsewhere, so that it does not become the job's straggler.
 */
Choice
ChooseTask(const ServerTable& aServers,
           const FreeSlot& aSlot,
           const Candidate& aCandidate,
           double aMeanWork);

}
