#include "coordination/dispatch/run_keeper.h"

#include <algorithm>

namespace greengage::coordination {

using state::ProcessId;
using state::RunKey;
using std::chrono::milliseconds;

void
RunKeeper::OnEntry(const ProcessId& aEntry, bool aSameDataCentre)
{
  reports_.Add(aEntry, aSameDataCentre);
}

void
RunKeeper::OnEntryGone(const ProcessId& aEntry)
{
  reports_.Remove(aEntry);
  for (auto& [key, run] : runs_) {
    if (run.entry == aEntry && run.phase != Phase::eStopping) {
      Note("stop", key, aEntry, "entry_gone");
      Stop(key, run);
    }
  }
}

void
RunKeeper::OnOrders(const ProcessId& aEntry, const DispatchOrders& aOrders)
{
  reports_.OnHeard(aEntry, milliseconds(aOrders.reportPeriodMs));
  pauses_.Check();
  for (const RunBatch& batch : aOrders.starts) {
    for (const RunOrder& order : batch.runs) {
      TakeStart(aEntry, batch, order);
    }
  }
  for (const RunKey& run : aOrders.stops) {
    TakeStop(aEntry, run);
  }
  for (const RunKey& run : aOrders.checks) {
    TakeCheck(aEntry, run);
  }
  reports_.Answer(aEntry);
  reports_.SendUrgent();
}

void
RunKeeper::TakeStart(const ProcessId& aEntry,
                     const RunBatch& aBatch,
                     const RunOrder& aOrder)
{
  RunKey key{ { aBatch.job, aBatch.step, aOrder.index }, aOrder.run };
  if (withdrawn_.contains(key)) {
    Refuse(aEntry, key, RunEndKind::eUnanswered, "withdrawn");
    return;
  }
  if (pauses_.JustPaused()) {
    // The order may be older than the caller's next attempt.
    Refuse(aEntry, key, RunEndKind::eUnanswered, "agent_was_paused");
    return;
  }
  if (!TakesRuns(Condition())) {
    Refuse(aEntry, key, RunEndKind::eRefused, "server_not_ready");
    return;
  }
  if (HasOtherRun(key, aEntry)) {
    Refuse(aEntry, key, RunEndKind::eOutdated, "task_runs_here");
    return;
  }
  if (!Fits(aBatch.need, server_->capacity - used_)) {
    Refuse(aEntry, key, RunEndKind::eNoRoom, "no_room");
    return;
  }
  Run run;
  run.entry = aEntry;
  run.need = aBatch.need;
  run.limit = milliseconds(aBatch.limitMs);
  run.orderedAt = clock_.MonotonicNow();
  renewals_.OnLeaseGiven(runs_.empty());
  runs_.emplace(key, run);
  used_ = used_ + aBatch.need;
  reports_.MarkChanged();
  hooks_.start({ server_->id, key, aBatch.payload, fencingToken_, LeaseEnd() });
}

bool
RunKeeper::HasOtherRun(const RunKey& aRun, const ProcessId& aEntry)
{
  bool found = false;
  RunKey first{ aRun.task, 0 };
  for (auto run = runs_.lower_bound(first);
       run != runs_.end() && run->first.task == aRun.task;
       ++run) {
    found = true;
    // The caller has submitted the job again elsewhere: the older submission
    // is of no use to anybody.
    if (run->second.entry != aEntry && run->second.phase != Phase::eStopping) {
      Note("stop", run->first, run->second.entry, "superseded");
      Stop(run->first, run->second);
    }
  }
  return found;
}

void
RunKeeper::TakeStop(const ProcessId& aEntry, const RunKey& aRun)
{
  auto run = runs_.find(aRun);
  if (run == runs_.end()) {
    withdrawn_[aRun] = clock_.MonotonicNow();
    Refuse(aEntry, aRun, RunEndKind::eStopped, "not_here");
    return;
  }
  if (run->second.phase != Phase::eStopping) {
    Note("stop", aRun, aEntry, "ordered");
    Stop(aRun, run->second);
  }
}

void
RunKeeper::TakeCheck(const ProcessId& aEntry, const RunKey& aRun)
{
  if (runs_.contains(aRun)) {
    return;
  }
  withdrawn_[aRun] = clock_.MonotonicNow();
  Refuse(aEntry, aRun, RunEndKind::eLost, "not_here");
}

void
RunKeeper::Refuse(const ProcessId& aEntry,
                  const RunKey& aRun,
                  RunEndKind aKind,
                  const char* aReason)
{
  reports_.AddEnd(aEntry, { aRun, aKind, 0 });
  Note("refuse", aRun, aEntry, aReason);
}

void
RunKeeper::Stop(const RunKey& aKey, Run& aRun)
{
  // A start that is still unanswered is stopped as well: the order makes the
  // server refuse the run for good.
  aRun.phase = Phase::eStopping;
  aRun.stopSentAt = clock_.MonotonicNow();
  SendStop(aKey);
}

void
RunKeeper::SendStop(const RunKey& aRun)
{
  hooks_.stop({ server_ ? server_->id : std::string(), aRun, fencingToken_ });
}

void
RunKeeper::OnStartAnswer(const RunKey& aRun, StartAnswer aAnswer)
{
  if (aAnswer != StartAnswer::eUnreachable) {
    CountAnswer(aAnswer != StartAnswer::eNoAnswer);
  }
  auto found = runs_.find(aRun);
  if (found == runs_.end()) {
    return;
  }
  Run& run = found->second;
  switch (aAnswer) {
    case StartAnswer::eStarted:
      MarkSeen(run);
      return;
    case StartAnswer::eNoRoom:
      EndRefused(found, RunEndKind::eNoRoom, "no_room_at_server");
      return;
    case StartAnswer::eOutdated:
      EndRefused(found, RunEndKind::eOutdated, "outdated");
      return;
    case StartAnswer::eLate:
      EndRefused(found, RunEndKind::eUnanswered, "lease_ended");
      return;
    case StartAnswer::eFenced:
      RaiseFencingToken();
      EndRefused(found, RunEndKind::eRefused, "fenced");
      return;
    case StartAnswer::eRefused:
      EndRefused(found, RunEndKind::eRefused, "refused_by_server");
      return;
    case StartAnswer::eUnreachable:
      SetReachable(false, "connection refused");
      EndRefused(found, RunEndKind::eRefused, "unreachable");
      return;
    case StartAnswer::eNoAnswer:
      if (!run.seen && run.phase == Phase::eStarting) {
        // The list tells whether it runs; if it does, nothing is lost.
        run.unansweredAt = clock_.MonotonicNow();
        Renew(milliseconds(0));
      }
      return;
  }
}

void
RunKeeper::EndRefused(Runs::iterator aRun,
                      RunEndKind aKind,
                      const char* aReason)
{
  Note("start_failed", aRun->first, aRun->second.entry, aReason);
  End(aRun, aKind);
  reports_.SendUrgent();
}

void
RunKeeper::MarkSeen(Run& aRun)
{
  if (aRun.seen) {
    return;
  }
  aRun.seen = true;
  aRun.startedAt = clock_.MonotonicNow();
  if (aRun.phase == Phase::eStarting) {
    aRun.phase = Phase::eRunning;
  }
}

void
RunKeeper::OnStopAnswer(const RunKey& aRun, bool aAnswered)
{
  CountAnswer(aAnswered);
  unknownStops_.erase(aRun);
  auto found = runs_.find(aRun);
  if (found == runs_.end() || !aAnswered) {
    return;
  }
  auto now = clock_.MonotonicNow();
  if (!found->second.stopAnsweredAt) {
    found->second.stopAnsweredAt = now;
  }
  if (!found->second.seen) {
    // The server refuses the start from now on, so a list without the run
    // tells that it is gone for good.
    Renew(milliseconds(0));
  }
}

void
RunKeeper::StopSilentEntries()
{
  for (auto& [key, run] : runs_) {
    if (run.phase != Phase::eStopping &&
        reports_.IsSilent(run.entry, settings_.entrySilence)) {
      Note("stop", key, run.entry, "entry_silent");
      Stop(key, run);
    }
  }
}

}
