#include "coordination/scheduling/slot_choice.h"

#include <algorithm>
#include <bit>

namespace greengage::coordination {

namespace {

// A job that has refused slots for this part of what a faster server could save
// takes any slot. It bounds the wait when estimates are wrong.
constexpr double kMaxWaitForGain = 0.5;
// The slowest task of a job decides when the job ends, and run times vary, so
// tasks of jobs are counted as longer than expected when a slot is slow. 1.5
// is better on 11 servers, 1.0 on 100 (docs/measurements.md).
constexpr double kJobTaskAllowance = 1.2;

bool
EndsEarlierElsewhere(const FreeSlot& aSlot,
                     double aTaskWork,
                     double aWorkAhead,
                     double aMeanWork)
{
  // The slots in use take the mean work of one task until the first is free.
  return aWorkAhead + aMeanWork < aTaskWork * aSlot.worthwhileQueue;
}

}

FreeSlot
DescribeSlot(const ServerTable& aServers, double aSpeed, std::size_t aClass)
{
  // A task of work w ends elsewhere after ahead * secondsPerWork + w *
  // slotSecondsPerWork and here after w / speed. Both are linear in w, so one
  // factor tells for every task how much work ahead is worth waiting for.
  FreeSlot slot{ aSpeed, 0 };
  std::uint64_t left = aServers.ClassesAbove(aClass);
  while (left != 0) {
    int lowest = std::countr_zero(left);
    left &= left - 1;
    const FasterSlots& faster = aServers.AtLeast(lowest);
    double saved = 1 / aSpeed - faster.slotSecondsPerWork;
    slot.worthwhileQueue = std::max(slot.worthwhileQueue, saved * faster.rate);
  }
  return slot;
}

Choice
ChooseTask(const FreeSlot& aSlot,
           double aFastestSpeed,
           const Candidate& aCandidate,
           double aMeanWork)
{
  double allowance = aCandidate.job.taskCount > 1 ? kJobTaskAllowance : 1;
  double longest = aCandidate.longest.work;
  if (!EndsEarlierElsewhere(
        aSlot, longest * allowance, aCandidate.workAhead, aMeanWork)) {
    return Choice::eTakeLongest;
  }
  double shortest = aCandidate.shortest.work;
  double before = aCandidate.workAhead + aCandidate.jobWork - shortest;
  if (!EndsEarlierElsewhere(aSlot, shortest * allowance, before, aMeanWork)) {
    return Choice::eTakeShortest;
  }
  double gain = longest / aSlot.speed - longest / aFastestSpeed;
  return aCandidate.refusingFor.count() > kMaxWaitForGain * gain
           ? Choice::eTakeLongest
           : Choice::eSkipJob;
}

}
