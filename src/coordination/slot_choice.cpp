#include "coordination/slot_choice.h"

#include <algorithm>
#include <bit>

namespace greengage::coordination {

namespace {

// A job that has refused slots for this part of what a faster server could save
// takes any slot. It bounds the wait when estimates are wrong. 0.5 gave the
// lowest p99 of 100-task jobs among 0.1 to 8 (docs/measurements.md).
constexpr double kMaxWaitForGain = 0.5;
// The slowest task of a job decides when the job ends, and run times vary, so
// tasks of jobs are counted as longer than expected when a slot is slow.
constexpr double kJobTaskAllowance = 1.5;

}

bool
FinishesEarlierElsewhere(const ServerTable& aServers,
                         const FreeSlot& aSlot,
                         double aTaskWork,
                         double aWorkAhead,
                         double aMeanWork)
{
  double here = aTaskWork / aSlot.speed;
  std::uint64_t left = aServers.ClassesAbove(aSlot.rateClass);
  while (left != 0) {
    int lowest = std::countr_zero(left);
    left &= left - 1;
    const FasterSlots& faster = aServers.AtLeast(lowest);
    double wait = (aWorkAhead + aMeanWork) * faster.secondsPerWork;
    double run = aTaskWork * faster.slotSecondsPerWork;
    if (wait + run < here) {
      return true;
    }
  }
  return false;
}

Choice
ChooseTask(const ServerTable& aServers,
           const FreeSlot& aSlot,
           const Candidate& aCandidate,
           double aMeanWork)
{
  double allowance = aCandidate.job.taskCount > 1 ? kJobTaskAllowance : 1;
  if (!FinishesEarlierElsewhere(aServers,
                                aSlot,
                                aCandidate.longest.work * allowance,
                                aCandidate.workAhead,
                                aMeanWork)) {
    return Choice::eTakeLongest;
  }
  double shortest = aCandidate.shortest.work;
  double before = aCandidate.workAhead + aCandidate.jobWork - shortest;
  if (!FinishesEarlierElsewhere(aServers, aSlot, shortest, before, aMeanWork)) {
    return Choice::eTakeShortest;
  }
  double gain = aCandidate.longest.work / aSlot.speed -
                aCandidate.longest.work / aServers.FastestSpeed();
  return aCandidate.refusingFor.count() > kMaxWaitForGain * gain
           ? Choice::eTakeLongest
           : Choice::eSkipJob;
}

}
