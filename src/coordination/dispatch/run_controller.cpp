#include "coordination/dispatch/run_controller.h"

namespace greengage::coordination {

using state::ProcessId;
using state::RunKey;
using std::chrono::milliseconds;

namespace {

/** Delay after which a stop order without effect is repeated. */
constexpr milliseconds kStopRetryDelay{ 75 };
/** Delay after which an unanswered and unlisted start is stopped. */
constexpr milliseconds kListTimeout{ 100 };
/** Retention of released runs: longer than any renewal takes. */
constexpr milliseconds kReleasedRetention{ 4000 };
/**
 * Retention of withdrawn runs. Connections buffer messages for a few seconds at
 * most, so no start order arrives later than this.
 */
constexpr milliseconds kWithdrawnRetention{ 10'000 };

}

RunController::RunController(const RunControllerSettings& aSettings,
                             std::uint64_t aFencingToken,
                             const state::Clock& aClock,
                             RunControllerHooks aHooks)
  : settings_(aSettings)
  , fencingToken_(aFencingToken)
  , clock_(aClock)
  , hooks_(std::move(aHooks))
  , pauses_(aClock, hooks_.paused)
  , reporter_(
      aClock,
      [this](const ProcessId& aEntry) { return StatusFor(aEntry); },
      [this](const ProcessId& aEntry, const ServerReport& aReport) {
        hooks_.report(aEntry, aReport);
      })
  , renewals_(aClock)
  , leases_(aClock)
  , crashDetector_(aClock)
{
  leases_.SetMaxLease(aSettings.maxLease);
}

void
RunController::SetSettings(const RunControllerSettings& aSettings)
{
  settings_ = aSettings;
  leases_.SetMaxLease(aSettings.maxLease);
}

ServerCondition
RunController::Condition() const
{
  if (!server_ || !reachable_ || hasLeft_ || !isAnnounced_) {
    return ServerCondition::eUnreachable;
  }
  // Entries of the previous version know this condition too.
  if (serverDraining_ || draining_ || IsEvacuated()) {
    return ServerCondition::eDraining;
  }
  return answerMonitor_.IsReliable() ? ServerCondition::eReady
                                     : ServerCondition::eUnreliable;
}

bool
RunController::OnAnnouncement(const ServerAnnouncement& aAnnouncement)
{
  bool isSameIncarnation = server_ &&
                           server_->id == aAnnouncement.description.id &&
                           born_ == aAnnouncement.born;
  if (isSameIncarnation && aAnnouncement.sequence <= sequence_) {
    return false;
  }
  if (server_ && !isSameIncarnation && aAnnouncement.born < born_) {
    return false;
  }
  auto before = Condition();
  if (!isSameIncarnation) {
    // Some runs may have started in the new incarnation already; the list
    // requested below contains them.
    renewals_.DropPending();
    BeginIncarnation(aAnnouncement.born);
  }
  isAnnounced_ = true;
  bool isDescriptionNew = server_ != aAnnouncement.description;
  if (isDescriptionNew) {
    server_ = aAnnouncement.description;
    reporter_.SetDescription(server_);
  }
  sequence_ = aAnnouncement.sequence;
  serverDraining_ = aAnnouncement.draining;
  OnColdServer(aAnnouncement.coldLeft, !isSameIncarnation);
  crashDetector_.OnAnnouncement(serverDraining_);
  if (!isSameIncarnation) {
    reachable_ = true;
    answerMonitor_.Reset();
    SetServerClock(aAnnouncement.serverClock);
  }
  ReportConditionChange(before,
                        isSameIncarnation ? "announced"
                                          : "a new incarnation of the server");
  if (isDescriptionNew || !isSameIncarnation) {
    // An entry that uses a former capacity places runs that are refused.
    reporter_.SendUrgent();
  }
  if (!isSameIncarnation) {
    // The list determines which runs continue and which are stopped.
    Renew(milliseconds(0));
  }
  return true;
}

void
RunController::OnServerLeft(const std::string& aServerId, std::uint64_t aBorn)
{
  if (!server_ || server_->id != aServerId || born_ != aBorn) {
    hooks_.condition(Condition(), "ignored the leave of another incarnation");
    return;
  }
  hasLeft_ = true;
  crashDetector_.OnLeave();
  UpdateHolds();
  reporter_.MarkChanged();
  hooks_.condition(Condition(), "left");
  reporter_.Send();
}

void
RunController::BeginIncarnation(std::uint64_t aBorn)
{
  RecordCrash(CrashEvidence::eLaterIncarnation);
  crashDetector_.OnNewIncarnation();
  born_ = aBorn;
  ++incarnation_;
  incarnationKnownAt_ = clock_.MonotonicNow();
  hasLeft_ = false;
  isAnnounced_ = false;
  isListed_ = false;
  unknownRuns_.clear();
  sequence_ = 0;
  renewals_.ResetNumbers();
  leases_.OnNewIncarnation();
  if (incarnation_ > 1) {
    // The new incarnation has seen no token; with a higher one, it refuses the
    // start orders that an earlier incarnation has not answered.
    ++fencingToken_;
  }
}

bool
RunController::IsStopRetryDue(const Run& aRun) const
{
  // A later incarnation does not know the stop order that an earlier one
  // answered.
  const auto& stop = aRun.knowledge.stop;
  return aRun.phase == Phase::eStopping &&
         (!stop || stop->incarnation != incarnation_) &&
         clock_.MonotonicNow() - aRun.stopSentAt >= kStopRetryDelay;
}

void
RunController::StopUnknownRun(const RunKey& aKey, UnknownRun& aRun)
{
  auto now = clock_.MonotonicNow();
  if (aRun.stopSentAt && now - *aRun.stopSentAt < kStopRetryDelay) {
    return;
  }
  aRun.stopSentAt = now;
  RecordDecision("stop", aKey, {}, "not_ordered_here");
  SendStop(aKey);
}

void
RunController::StartDraining()
{
  auto before = Condition();
  draining_ = true;
  ReportConditionChange(before, "the agent stops");
}

void
RunController::Tick()
{
  auto now = clock_.MonotonicNow();
  pauses_.Check();
  StopRunsOfTimedOutEntries();
  for (auto& [key, run] : runs_) {
    bool unlisted = run.unansweredAt && !run.IsConfirmed() &&
                    run.phase != Phase::eStopping &&
                    now - *run.unansweredAt >= kListTimeout;
    if (unlisted) {
      RecordDecision("stop", key, run.entry, "start_unanswered");
    }
    if (unlisted || IsStopRetryDue(run)) {
      Stop(key, run);
    }
  }
  if (reachable_) {
    // At an unreachable server, they end with their leases.
    for (auto& [key, run] : unknownRuns_) {
      StopUnknownRun(key, run);
    }
  }
  ReleaseExpiredRuns();
  RenewLeases();
  UpdateRamp();
  RemoveExpired(lateStarts_, now);
  UpdateHolds();
  std::erase_if(released_, [now](const auto& aRun) {
    return now - aRun.second >= kReleasedRetention;
  });
  std::erase_if(withdrawn_, [now](const auto& aRun) {
    return now - aRun.second >= kWithdrawnRetention;
  });
  reporter_.Send();
  ReleaseEntries();
}

void
RunController::RecordAnswer(bool aAnswered)
{
  auto before = Condition();
  aAnswered ? answerMonitor_.OnAnswer() : answerMonitor_.OnNoAnswer();
  ReportConditionChange(before,
                        answerMonitor_.IsReliable() ? "answers again"
                                                    : "calls are not answered");
}

void
RunController::SetReachable(bool aReachable, const std::string& aReason)
{
  auto before = Condition();
  reachable_ = aReachable;
  ReportConditionChange(before, aReason);
}

void
RunController::ReportConditionChange(ServerCondition aBefore,
                                     const std::string& aReason)
{
  UpdateHolds();
  if (Condition() != aBefore) {
    reporter_.MarkChanged();
    hooks_.condition(Condition(), aReason);
    reporter_.Send();
  }
}

void
RunController::UpdateHolds()
{
  reporter_.SetHeldTasks(
    TasksToHold(lateStarts_, { reachable_, hasLeft_, KnowsAllRuns() }));
}

state::ResourceAmount
RunController::Used() const
{
  return KnowsAllRuns() || !server_ ? used_ + Withheld() : server_->capacity;
}

void
RunController::ReportCapacityChange(bool aKnewAllRuns)
{
  if (KnowsAllRuns() == aKnewAllRuns) {
    return;
  }
  reporter_.MarkChanged();
  if (KnowsAllRuns()) {
    // Jobs may wait for the capacity, so the report is sent at once.
    reporter_.SetDescription(server_);
  }
}

ServerReport
RunController::StatusFor(const ProcessId& aEntry) const
{
  ServerReport report;
  report.condition = Condition();
  report.usedByOthers = Used();
  if (evacuation_.IsKnown()) {
    report.evacuation = evacuation_;
  }
  for (const auto& [key, run] : runs_) {
    if (run.entry == aEntry) {
      report.usedByOthers = report.usedByOthers - run.need;
    }
  }
  return report;
}

void
RunController::RecordDecision(const char* aDecision,
                              const RunKey& aRun,
                              const ProcessId& aEntry,
                              std::string aReason,
                              std::optional<milliseconds> aAge) const
{
  if (hooks_.runDecision) {
    hooks_.runDecision({ aDecision, aRun, aEntry, std::move(aReason), aAge });
  }
}

}
