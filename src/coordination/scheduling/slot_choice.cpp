#include "coordination/scheduling/slot_choice.h"

#include <algorithm>
#include <bit>

namespace greengage::coordination {

namespace {

// A job uses any slot once it has waited for this share of the time that the
// fastest server would save. This bounds the wait if estimates are wrong.
constexpr double kMaxWaitShareOfGain = 0.5;
// The last task to end determines the end of the job, and run times vary, so
// the work of tasks of a job with several tasks is multiplied by this factor
// when the slot is compared with faster ones. 1.5 gives better results on 11
// servers, 1.0 on 100 (docs/measurements.md).
constexpr double kMultiTaskAllowance = 1.2;

bool
EndsEarlierOnFasterSlot(const FreeSlot& aSlot,
                        double aTaskWork,
                        double aWorkAhead,
                        double aMeanWork)
{
  // The next slot becomes free after the faster slots have done about the mean
  // work of one task.
  return aWorkAhead + aMeanWork < aTaskWork * aSlot.maxWorkAheadRatio;
}

}

FreeSlot
DescribeSlot(const ServerTable& aServers, double aSpeed, std::size_t aClass)
{
  // A task of work w ends after ahead / rate + w * slotSecondsPerWork on a
  // faster slot and after w / speed on this slot. Both are linear in w, so the
  // work ahead up to which waiting pays off is proportional to w.
  FreeSlot slot{ aSpeed, 0 };
  std::uint64_t left = aServers.ClassesAbove(aClass);
  while (left != 0) {
    int lowest = std::countr_zero(left);
    left &= left - 1;
    const SlotTotals& faster = aServers.TotalsFromClass(lowest);
    double saved = 1 / aSpeed - faster.slotSecondsPerWork;
    slot.maxWorkAheadRatio =
      std::max(slot.maxWorkAheadRatio, saved * faster.rate);
  }
  return slot;
}

Choice
ChooseTask(const FreeSlot& aSlot,
           double aFastestSpeed,
           const Candidate& aCandidate,
           double aMeanWork)
{
  double allowance = aCandidate.job.taskCount > 1 ? kMultiTaskAllowance : 1;
  double longest = aCandidate.longest.work;
  if (!EndsEarlierOnFasterSlot(
        aSlot, longest * allowance, aCandidate.workAhead, aMeanWork)) {
    return Choice::eStartLongest;
  }
  double shortest = aCandidate.shortest.work;
  double before = aCandidate.workAhead + aCandidate.jobWork - shortest;
  if (!EndsEarlierOnFasterSlot(
        aSlot, shortest * allowance, before, aMeanWork)) {
    return Choice::eStartShortest;
  }
  double gain = longest / aSlot.speed - longest / aFastestSpeed;
  return aCandidate.timeSinceFirstSkip.count() > kMaxWaitShareOfGain * gain
           ? Choice::eStartLongest
           : Choice::eSkipJob;
}

}
