#include "coordination/dispatch/run_controller.h"

#include <algorithm>

namespace greengage::coordination {

using state::ProcessId;
using state::RunKey;
using std::chrono::milliseconds;

void
RunController::OnEntry(const ProcessId& aEntry, bool aSameDataCentre)
{
  reporter_.AddEntry(aEntry, aSameDataCentre);
}

void
RunController::OnEntryLost(const ProcessId& aEntry)
{
  reporter_.RemoveEntry(aEntry);
  for (auto& [key, run] : runs_) {
    if (run.entry == aEntry && run.phase != Phase::eStopping) {
      RecordDecision("stop", key, aEntry, "entry_gone");
      Stop(key, run);
    }
  }
}

void
RunController::OnOrders(const ProcessId& aEntry, const DispatchOrders& aOrders)
{
  OrderContact contact = ContactOf(aOrders, clock_.MonotonicNow());
  reporter_.OnMessage(aEntry, contact, milliseconds(aOrders.reportPeriodMs));
  pauses_.Check();
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
  if (withdrawn_.contains({ aEntry, key })) {
    Refuse(aEntry, key, RunEndKind::eUnanswered, "withdrawn");
    return;
  }
  auto now = clock_.MonotonicNow();
  if (!aContact.AllowsStart(
        now, pauses_.LastPauseEndedAt(), pauses_.HasJustPaused())) {
    // The caller may have submitted the job again. The refusal is sent with a
    // new report, with which the entry can place the task again at once.
    reporter_.AddEnd(aEntry, { key, RunEndKind::eUnanswered, 0 });
    RecordOrder("refuse", key, aEntry, "stale_order", aContact.Age(now));
    return;
  }
  if (!AcceptsRuns(Condition())) {
    Refuse(aEntry, key, RunEndKind::eRefused, "server_not_ready");
    return;
  }
  if (SupersedeOtherRuns(key, aEntry)) {
    Refuse(aEntry, key, RunEndKind::eOutdated, "task_runs_here");
    return;
  }
  if (!Fits(aBatch.need, server_->capacity - used_)) {
    Refuse(aEntry, key, RunEndKind::eNoFreeCapacity, "no_room");
    return;
  }
  Run run;
  run.entry = aEntry;
  run.need = aBatch.need;
  run.limit = milliseconds(aBatch.limitMs);
  run.orderedAt = now;
  renewals_.OnLeaseGranted(runs_.empty());
  runs_.emplace(key, run);
  used_ = used_ + aBatch.need;
  reporter_.MarkChanged();
  hooks_.start({ server_->id, key, aBatch.payload, fencingToken_, LeaseEnd() });
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
  if (FindRunOf(aEntry, aRun) != runs_.end()) {
    return;
  }
  withdrawn_[{ aEntry, aRun }] = clock_.MonotonicNow();
  Refuse(aEntry, aRun, RunEndKind::eLost, "not_here");
}

void
RunController::Refuse(const ProcessId& aEntry,
                      const RunKey& aRun,
                      RunEndKind aKind,
                      const char* aReason)
{
  reporter_.AddEnd(aEntry, { aRun, aKind, 0 });
  RecordDecision("refuse", aRun, aEntry, aReason);
}

void
RunController::RecordOrder(const char* aDecision,
                           const RunKey& aRun,
                           const ProcessId& aEntry,
                           const char* aReason,
                           milliseconds aAge) const
{
  if (hooks_.runDecision) {
    hooks_.runDecision({ aDecision, aRun, aEntry, aReason, aAge });
  }
}

void
RunController::Stop(const RunKey& aKey, Run& aRun)
{
  // This includes starts that are still unanswered: after the stop order, the
  // server refuses to start the run.
  aRun.phase = Phase::eStopping;
  aRun.stopSentAt = clock_.MonotonicNow();
  SendStop(aKey);
}

void
RunController::SendStop(const RunKey& aRun)
{
  hooks_.stop({ server_ ? server_->id : std::string(), aRun, fencingToken_ });
}

void
RunController::OnStartAnswer(const RunKey& aRun, StartAnswer aAnswer)
{
  if (aAnswer != StartAnswer::eUnreachable) {
    RecordAnswer(aAnswer != StartAnswer::eNoAnswer);
  }
  auto found = runs_.find(aRun);
  if (found == runs_.end()) {
    return;
  }
  Run& run = found->second;
  switch (aAnswer) {
    case StartAnswer::eStarted:
      MarkConfirmed(run);
      return;
    case StartAnswer::eNoFreeCapacity:
      EndFailedStart(found, RunEndKind::eNoFreeCapacity, "no_room_at_server");
      return;
    case StartAnswer::eOutdated:
      EndFailedStart(found, RunEndKind::eOutdated, "outdated");
      return;
    case StartAnswer::eLate:
      EndFailedStart(found, RunEndKind::eUnanswered, "lease_ended");
      return;
    case StartAnswer::eFenced:
      RaiseFencingToken();
      EndFailedStart(found, RunEndKind::eRefused, "fenced");
      return;
    case StartAnswer::eRefused:
      EndFailedStart(found, RunEndKind::eRefused, "refused_by_server");
      return;
    case StartAnswer::eUnreachable:
      SetReachable(false, "connection refused");
      EndFailedStart(found, RunEndKind::eRefused, "unreachable");
      return;
    case StartAnswer::eNoAnswer:
      if (!run.isConfirmed && run.phase == Phase::eStarting) {
        // The next list shows whether the run was started; if so, it continues.
        run.unansweredAt = clock_.MonotonicNow();
        Renew(milliseconds(0));
      }
      return;
  }
}

void
RunController::EndFailedStart(Runs::iterator aRun,
                              RunEndKind aKind,
                              const char* aReason)
{
  RecordDecision("start_failed", aRun->first, aRun->second.entry, aReason);
  End(aRun, aKind);
  reporter_.SendUrgent();
}

void
RunController::MarkConfirmed(Run& aRun)
{
  if (aRun.isConfirmed) {
    return;
  }
  aRun.isConfirmed = true;
  aRun.startedAt = clock_.MonotonicNow();
  if (aRun.phase == Phase::eStarting) {
    aRun.phase = Phase::eRunning;
  }
}

void
RunController::OnStopAnswer(const RunKey& aRun, bool aAnswered)
{
  RecordAnswer(aAnswered);
  unknownStops_.erase(aRun);
  auto found = runs_.find(aRun);
  if (found == runs_.end() || !aAnswered) {
    return;
  }
  auto now = clock_.MonotonicNow();
  if (!found->second.stopAnsweredAt) {
    found->second.stopAnsweredAt = now;
  }
  if (!found->second.isConfirmed) {
    // The server refuses the start from now on, so a list without the run
    // confirms that it has ended.
    Renew(milliseconds(0));
  }
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
