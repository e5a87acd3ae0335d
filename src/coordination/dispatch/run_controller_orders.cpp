#include "coordination/dispatch/run_controller.h"

#include <algorithm>

namespace greengage::coordination {

using state::ProcessId;
using state::RunKey;
using std::chrono::milliseconds;

namespace {

/** Shortest lease of a start: two renewals, of which one may be lost. */
constexpr milliseconds kMinStartLease{ 200 };

}

void
RunController::OnEntry(const ProcessId& aEntry, bool aSameDataCentre)
{
  notChosen_.erase(aEntry);
  reporter_.AddEntry(aEntry, aSameDataCentre);
}

void
RunController::OnEntryNotChosen(const ProcessId& aEntry)
{
  notChosen_.insert(aEntry);
}

void
RunController::ReleaseEntries()
{
  if (notChosen_.empty()) {
    return;
  }
  std::set<ProcessId> used;
  for (const auto& [key, run] : runs_) {
    used.insert(run.entry);
  }
  for (const ProcessId& entry : notChosen_) {
    if (!used.contains(entry) && reporter_.ReleaseEntry(entry) &&
        hooks_.entryReleased) {
      hooks_.entryReleased(entry);
    }
  }
}

void
RunController::OnEntryLost(const ProcessId& aEntry)
{
  notChosen_.erase(aEntry);
  auto contactAt = reporter_.ConfirmedAt(aEntry);
  reporter_.RemoveEntry(aEntry);
  for (auto& [key, run] : runs_) {
    if (run.entry == aEntry && contactAt) {
      run.entryContactAt = *contactAt;
    }
    if (run.entry == aEntry && run.phase != Phase::eStopping) {
      RecordDecision("stop", key, aEntry, "entry_gone");
      Stop(key, run);
    }
  }
}

void
RunController::OnEntryDisconnected(const ProcessId& aEntry)
{
  reporter_.OnDisconnected(aEntry);
}

void
RunController::OnOrders(const ProcessId& aEntry, const DispatchOrders& aOrders)
{
  OrderContact contact = ContactOf(aOrders, clock_.MonotonicNow());
  reporter_.OnMessage(aEntry, contact, milliseconds(aOrders.reportPeriodMs));
  pauses_.Check();
  if (aOrders.evacuation) {
    OnEvacuation(aEntry, *aOrders.evacuation);
  }
  if (!aOrders.starts.empty()) {
    reporter_.OnStartOrdered(aEntry);
  }
  for (const RunBatch& batch : aOrders.starts) {
    for (const RunOrder& order : batch.runs) {
      HandleStart(aEntry, contact, batch, order);
    }
  }
  for (const RunKey& run : aOrders.stops) {
    HandleStop(aEntry, run);
  }
  for (const RunKey& run : aOrders.checks) {
    HandleCheck(aEntry, run);
  }
  reporter_.SendAnswer(aEntry);
  reporter_.SendUrgent();
}

void
RunController::HandleStart(const ProcessId& aEntry,
                           const OrderContact& aContact,
                           const RunBatch& aBatch,
                           const RunOrder& aOrder)
{
  RunKey key{ { aBatch.job, aBatch.step, aOrder.index }, aOrder.run };
  auto now = clock_.MonotonicNow();
  auto age = aContact.Age(now);
  if (withdrawn_.contains({ aEntry, key })) {
    Refuse(aEntry, key, RunEndKind::eUnanswered, "withdrawn", age);
    return;
  }
  if (!aContact.AllowsStart(
        now, pauses_.LastPauseEndedAt(), pauses_.HasJustPaused())) {
    // The caller may have submitted the job again. The refusal is sent with a
    // new report, with which the entry can place the task again at once.
    Refuse(aEntry, key, RunEndKind::eUnanswered, "stale_order", age);
    return;
  }
  if (IsEvacuated()) {
    // The description comes with the evacuations, of which the entry may not
    // know yet.
    reporter_.RepeatDescription(aEntry);
    Refuse(aEntry, key, RunEndKind::eRefused, "evacuated", age);
    return;
  }
  if (!AcceptsRuns(Condition())) {
    Refuse(aEntry, key, RunEndKind::eRefused, "server_not_ready", age);
    return;
  }
  if (!KnowsAllRuns()) {
    Refuse(aEntry, key, RunEndKind::eNoFreeCapacity, "unknown_runs", age);
    return;
  }
  if (LeaseToRequest() < kMinStartLease) {
    // The server would refuse the start as late, or end the run soon.
    Refuse(aEntry, key, RunEndKind::eRefused, "lease_too_short", age);
    return;
  }
  if (SupersedeOtherRuns(key, aEntry)) {
    Refuse(aEntry, key, RunEndKind::eOutdated, "task_runs_here", age);
    return;
  }
  if (aOrder.crashes > 0 && HasSuspectRun()) {
    // A second crash then has a single suspect with an earlier crash.
    Refuse(aEntry, key, RunEndKind::eNoFreeCapacity, "suspect_runs_here", age);
    return;
  }
  if (runs_.size() >= kMaxRunsPerServer ||
      !Fits(aBatch.need, server_->capacity - (used_ + Withheld()))) {
    reporter_.RepeatDescription(aEntry);
    Refuse(aEntry, key, RunEndKind::eNoFreeCapacity, "no_room", age);
    return;
  }
  Run run;
  run.entry = aEntry;
  run.need = aBatch.need;
  run.queue = aBatch.queue;
  run.crashes = aOrder.crashes;
  run.limit = milliseconds(aBatch.limitMs);
  run.orderedAt = now;
  run.entryContactAt = aContact.confirmedAt;
  runs_.emplace(key, run);
  used_ = used_ + aBatch.need;
  reporter_.MarkChanged();
  RecordDecision("start", key, aEntry, "ordered", age);
  SendStart(key, aBatch.payload);
}

bool
RunController::SupersedeOtherRuns(const RunKey& aRun, const ProcessId& aEntry)
{
  bool found = false;
  RunKey first{ aRun.task, 0 };
  for (auto run = runs_.lower_bound(first);
       run != runs_.end() && run->first.task == aRun.task;
       ++run) {
    found = true;
    // The caller submitted the job again to another entry, so the result of the
    // older submission is not used.
    if (run->second.entry != aEntry && run->second.phase != Phase::eStopping) {
      RecordDecision("stop", run->first, run->second.entry, "superseded");
      Stop(run->first, run->second);
    }
  }
  return found;
}

RunController::Runs::iterator
RunController::FindRunOf(const ProcessId& aEntry, const RunKey& aRun)
{
  auto run = runs_.find(aRun);
  return run != runs_.end() && run->second.entry == aEntry ? run : runs_.end();
}

void
RunController::HandleStop(const ProcessId& aEntry, const RunKey& aRun)
{
  auto run = FindRunOf(aEntry, aRun);
  if (run == runs_.end()) {
    withdrawn_[{ aEntry, aRun }] = clock_.MonotonicNow();
    Refuse(aEntry, aRun, RunEndKind::eStopped, "not_here");
    return;
  }
  if (run->second.phase != Phase::eStopping) {
    RecordDecision("stop", aRun, aEntry, "ordered");
    Stop(aRun, run->second);
  }
}

void
RunController::HandleCheck(const ProcessId& aEntry, const RunKey& aRun)
{
  auto run = FindRunOf(aEntry, aRun);
  if (run != runs_.end()) {
    const Run& known = run->second;
    if (known.reportedCertainty > StartCertainty::eCertain &&
        !known.IsConfirmed()) {
      // The earlier report may have been lost with its connection.
      reporter_.AddUncertainStart(
        aEntry,
        { aRun, known.reportedCertainty == StartCertainty::eFinallyUncertain });
    }
    return;
  }
  withdrawn_[{ aEntry, aRun }] = clock_.MonotonicNow();
  Refuse(aEntry, aRun, RunEndKind::eLost, "not_here");
}

void
RunController::Refuse(const ProcessId& aEntry,
                      const RunKey& aRun,
                      RunEndKind aKind,
                      const char* aReason,
                      std::optional<milliseconds> aAge)
{
  reporter_.AddEnd(aEntry, { aRun, aKind, 0 });
  RecordDecision("refuse", aRun, aEntry, aReason, aAge);
}

void
RunController::StopRunsOfTimedOutEntries()
{
  for (auto& [key, run] : runs_) {
    if (run.phase != Phase::eStopping &&
        reporter_.HasTimedOut(run.entry, settings_.entryTimeout)) {
      RecordDecision("stop", key, run.entry, "entry_silent");
      Stop(key, run);
    }
  }
}

}
