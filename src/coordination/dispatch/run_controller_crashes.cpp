#include "coordination/dispatch/run_controller.h"

#include <algorithm>
#include <set>

// Crashes of the server, and the runs that may have caused them.
namespace greengage::coordination {

using state::MonotonicTime;

void
RunController::RecordCrash(CrashEvidence aEvidence)
{
  if (!crashDetector_.IsCrash(aEvidence)) {
    return;
  }
  auto suspects = CrashSuspects();
  if (suspects.empty()) {
    return;
  }
  crashDetector_.OnRecorded();
  CrashRecord record;
  record.server = server_ ? server_->id : std::string();
  record.born = born_;
  record.evidence = aEvidence;
  record.age = crashDetector_.Age();
  record.suspects = suspects;
  record.number = reporter_.AddCrash(std::move(suspects));
  if (hooks_.serverCrashed) {
    hooks_.serverCrashed(record);
  }
}

std::vector<CrashSuspect>
RunController::CrashSuspects() const
{
  std::set<CrashSuspect> suspects;
  for (const auto& [key, run] : runs_) {
    if (MayHaveRun(run)) {
      suspects.insert({ key.task, run.queue });
    }
  }
  return { suspects.begin(), suspects.end() };
}

bool
RunController::MayHaveRun(const Run& aRun) const
{
  // A run that an earlier incarnation listed ended with that one.
  if (aRun.knowledge.LastIncarnation() != incarnation_) {
    return false;
  }
  return aRun.IsConfirmed() || crashDetector_.MayHaveReceived(aRun.orderedAt);
}

void
RunController::RecordCrashAfterLeaseEnd(const LeaseBounds& aLeases)
{
  // The leases on the clock of this incarnation suffice: a later one that has
  // received a call in flight does not change that this one has crashed.
  if (clock_.MonotonicNow() > aLeases.knownClock) {
    RecordCrash(CrashEvidence::eRefusedUntilLeaseEnd);
  }
}

bool
RunController::HasSuspectRun() const
{
  return std::any_of(runs_.begin(), runs_.end(), [](const auto& aItem) {
    return aItem.second.crashes > 0;
  });
}

}
