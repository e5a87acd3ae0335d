#include "coordination/dispatch/run_controller.h"

// Start and stop orders to the server, and the release of runs that have ended.
namespace greengage::coordination {

using state::RunKey;
using std::chrono::milliseconds;

void
RunController::SendStart(const RunKey& aKey, const std::string& aPayload)
{
  RunKnowledge& knowledge = runs_.at(aKey).knowledge;
  knowledge.incarnation = incarnation_;
  knowledge.fencingToken = fencingToken_;
  SettleStart(aKey, true);
  auto lease = LeaseToRequest();
  renewals_.OnLeaseGranted(runs_.size() == 1, lease);
  openStarts_[aKey] = leases_.OnSent(lease);
  hooks_.start({ server_->id, aKey, aPayload, fencingToken_, LeaseEnd(lease) });
}

void
RunController::SettleStart(const RunKey& aRun, bool aMayBeReceived)
{
  auto call = openStarts_.extract(aRun);
  if (call.empty()) {
    return;
  }
  aMayBeReceived ? leases_.OnPossiblyReceived(call.mapped())
                 : leases_.OnNotReceived(call.mapped());
}

void
RunController::Stop(const RunKey& aKey, Run& aRun)
{
  // This includes starts that are still unanswered: after the stop order, the
  // server refuses to start the run.
  aRun.phase = Phase::eStopping;
  aRun.stopSentAt = clock_.MonotonicNow();
  if (aRun.openStops++ == 0) {
    aRun.stopIncarnation = incarnation_;
  }
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
  bool isNotReceived = aAnswer == StartAnswer::eConnectionRefused ||
                       aAnswer == StartAnswer::eNotSent;
  SettleStart(aRun, !isNotReceived);
  if (!isNotReceived) {
    RecordAnswer(aAnswer != StartAnswer::eNoAnswer);
  }
  if (aAnswer == StartAnswer::eConnectionRefused) {
    SetReachable(false, "connection refused");
  }
  auto found = runs_.find(aRun);
  if (aAnswer == StartAnswer::eNoAnswer &&
      (found == runs_.end() || !found->second.IsConfirmed())) {
    lateStarts_[aRun] = clock_.MonotonicNow() + kLongestStartDelay;
    UpdateHolds();
  }
  if (found == runs_.end()) {
    return;
  }
  Run& run = found->second;
  if (aAnswer == StartAnswer::eConnectionRefused) {
    crashDetector_.OnConnectionRefused(run.orderedAt);
  } else if (aAnswer == StartAnswer::eStarted) {
    crashDetector_.OnAnswered(run.orderedAt);
  }
  constexpr auto kRefused = StartCallState::eRefused;
  constexpr auto kNotSent = StartCallState::eNotSent;
  switch (aAnswer) {
    case StartAnswer::eStarted:
      run.knowledge.startCall = StartCallState::eStarted;
      MarkConfirmed(run);
      return;
    case StartAnswer::eNoFreeCapacity:
      EndFailedStart(
        found, kRefused, RunEndKind::eNoFreeCapacity, "no_room_at_server");
      return;
    case StartAnswer::eOutdated:
      EndFailedStart(found, kRefused, RunEndKind::eOutdated, "outdated");
      return;
    case StartAnswer::eLate:
      EndFailedStart(found, kRefused, RunEndKind::eUnanswered, "lease_ended");
      return;
    case StartAnswer::eFenced:
      RaiseFencingToken(run.knowledge.fencingToken);
      EndFailedStart(found, kRefused, RunEndKind::eRefused, "fenced");
      return;
    case StartAnswer::eRefused:
      EndFailedStart(
        found, kRefused, RunEndKind::eRefused, "refused_by_server");
      return;
    case StartAnswer::eConnectionRefused:
      EndFailedStart(
        found, kNotSent, RunEndKind::eRefused, "connection_refused");
      return;
    case StartAnswer::eNotSent:
      EndFailedStart(found, kNotSent, RunEndKind::eRefused, "not_sent");
      return;
    case StartAnswer::eNoAnswer:
      OnStartUnanswered(run);
      return;
  }
}

void
RunController::OnStartUnanswered(Run& aRun)
{
  aRun.knowledge.startCall = StartCallState::eUnanswered;
  if (aRun.IsConfirmed()) {
    return;
  }
  aRun.unansweredAt = clock_.MonotonicNow();
  // The next list shows whether the run was started; if so, it continues.
  Renew(milliseconds(0));
}

void
RunController::EndFailedStart(Runs::iterator aRun,
                              StartCallState aState,
                              RunEndKind aKind,
                              const char* aReason)
{
  aRun->second.knowledge.startCall = aState;
  if (ReleaseIfEnded(aRun, {}, aKind, aReason)) {
    reporter_.SendUrgent();
  }
}

void
RunController::MarkConfirmed(Run& aRun)
{
  if (aRun.IsConfirmed()) {
    return;
  }
  aRun.knowledge.confirmedAt = clock_.MonotonicNow();
  if (aRun.phase == Phase::eStarting) {
    aRun.phase = Phase::eRunning;
  }
}

void
RunController::OnStopAnswer(const RunKey& aRun, bool aAnswered)
{
  RecordAnswer(aAnswered);
  if (!aAnswered) {
    // The stop is repeated without a delay.
    if (auto unknown = unknownRuns_.find(aRun); unknown != unknownRuns_.end()) {
      unknown->second.stopSentAt.reset();
    }
  }
  auto found = runs_.find(aRun);
  if (found == runs_.end() || found->second.openStops == 0) {
    return;
  }
  Run& run = found->second;
  --run.openStops;
  if (!aAnswered) {
    return;
  }
  auto& stop = run.knowledge.stop;
  if (!stop || stop->incarnation < run.stopIncarnation) {
    stop = StopAnswer{ run.stopIncarnation, clock_.MonotonicNow() };
  }
  if (!run.IsConfirmed()) {
    // The server refuses the start from now on, so a list without the run
    // confirms that it has ended.
    Renew(milliseconds(0));
  }
}

RunEndKind
RunController::KindOfUnlistedEnd(const Run& aRun)
{
  return aRun.IsConfirmed() ? RunEndKind::eLost : RunEndKind::eUnanswered;
}

void
RunController::ReleaseExpiredRuns()
{
  // While the server answers, its list also shows how each run has ended.
  if (reachable_) {
    return;
  }
  ServerKnowledge server{ {}, leases_.Bounds(), refusedAt_ };
  // The entries must count the crash before they place its runs again.
  RecordCrashAfterLeaseEnd(*server.leases);
  for (auto next = runs_.begin(); next != runs_.end();) {
    auto run = next++;
    if (!ReleaseIfEnded(run, server, KindOfUnlistedEnd(run->second))) {
      ReportUncertainStart(run->first, run->second, *server.leases);
    }
  }
}

void
RunController::ReportUncertainStart(const RunKey& aKey,
                                    Run& aRun,
                                    const LeaseBounds& aLeases)
{
  auto certainty =
    CertaintyOfStart(aRun.knowledge, aLeases, clock_.MonotonicNow());
  if (certainty <= aRun.reportedCertainty) {
    return;
  }
  aRun.reportedCertainty = certainty;
  bool isFinal = certainty == StartCertainty::eFinallyUncertain;
  RecordDecision(
    "keep", aKey, aRun.entry, isFinal ? "outcome_unknown" : "start_uncertain");
  reporter_.AddUncertainStart(aRun.entry, { aKey, isFinal });
}

bool
RunController::ReleaseIfEnded(Runs::iterator aRun,
                              const ServerKnowledge& aServer,
                              RunEndKind aKind,
                              const std::string& aDetail)
{
  auto evidence =
    FindReleaseEvidence(aRun->second.knowledge, aServer, clock_.MonotonicNow());
  if (evidence) {
    Release(aRun, *evidence, aKind, aDetail);
  }
  return evidence.has_value();
}

void
RunController::Release(Runs::iterator aRun,
                       const ReleaseEvidence& aEvidence,
                       RunEndKind aKind,
                       const std::string& aDetail)
{
  auto [key, run] = *aRun;
  runs_.erase(aRun);
  released_[key] = clock_.MonotonicNow();
  used_ = used_ - run.need;
  reporter_.MarkChanged();
  std::uint32_t runTime = 0;
  if (run.IsConfirmed()) {
    runTime =
      static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(
                                   clock_.MonotonicNow() - run.orderedAt)
                                   .count());
  }
  if (aKind != RunEndKind::eDone) {
    std::string detail = aDetail.empty() ? ToString(aKind) : aDetail;
    RecordDecision(aDetail.empty() ? "end" : "start_failed",
                   key,
                   run.entry,
                   ToString(aEvidence.reason) + (": " + detail),
                   aEvidence.age);
  }
  if (lateStarts_.contains(key)) {
    // Only the present incarnation refuses the late start.
    reporter_.AddUncertainStart(run.entry, { key, false });
  }
  reporter_.AddEnd(run.entry, { key, aKind, runTime });
}

}
