#include "coordination/dispatch/run_controller.h"

// Start and stop orders to the server, and the ends of runs.
namespace greengage::coordination {

using state::RunKey;
using std::chrono::milliseconds;

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
RunController::End(Runs::iterator aRun, RunEndKind aKind)
{
  auto [key, run] = *aRun;
  runs_.erase(aRun);
  used_ = used_ - run.need;
  reporter_.MarkChanged();
  std::uint32_t runTime = 0;
  if (run.isConfirmed) {
    runTime =
      static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(
                                   clock_.MonotonicNow() - run.orderedAt)
                                   .count());
  }
  if (aKind != RunEndKind::eDone) {
    RecordDecision("end", key, run.entry, ToString(aKind));
  }
  reporter_.AddEnd(run.entry, { key, aKind, runTime });
}

void
RunController::EndAll(RunEndKind aKind, const std::string& aReason)
{
  while (!runs_.empty()) {
    RecordDecision(
      "end", runs_.begin()->first, runs_.begin()->second.entry, aReason);
    End(runs_.begin(), aKind);
  }
}

}
