#include "coordination/dispatch/run_controller.h"

#include <algorithm>
#include <set>

// Renewals of the leases: their answers list the runs that continue or ended.
namespace greengage::coordination {

using state::MonotonicTime;
using state::RunKey;
using std::chrono::milliseconds;

namespace {

/** Timeout of a long poll while the server has runs: well below the lease. */
constexpr milliseconds kBusyPollTimeout{ 250 };
/** Longest poll timeout that the server's interface allows. */
constexpr milliseconds kIdlePollTimeout{ 2000 };
/**
 * Age at which leases of the full length are renewed although a long poll is in
 * flight; shorter leases are renewed when the same time is left.
 */
constexpr milliseconds kRenewAfter{ 300 };
/**
 * Minimum extension of the leases by such a renewal. While an entry with runs
 * here is out of contact, the leases cannot be extended.
 */
constexpr milliseconds kMinExtension{ 50 };
/** Increment of a refused fencing token, in ms (one minute). */
constexpr std::uint64_t kFencingTokenStep = 60'000;
/** Minimum age; whole percent are too coarse for the progress of new runs. */
constexpr milliseconds kMinForecastAge{ 60 };
/** Minimum progress; with less, whole percent are too coarse to end a job. */
constexpr std::uint32_t kMinForecastPercent = 8;
/**
 * A run below the minimum progress is only checked after its limit divided by
 * this; with so little progress by then it counts as hung.
 */
constexpr int kHangCheckDivisor = 3;
/** Number of progress checks of a run within its limit. */
constexpr int kProgressChecksPerLimit = 5;
constexpr double kLongestForecastMs = 60'000;
/** Unanswered renewals in a row after which the server is unreachable. */
constexpr unsigned kMaxFailedRenewals = 2;

}

void
RunController::OnRenewAnswer(std::uint64_t aNumber, const RenewAnswer& aAnswer)
{
  SettleRenewal(aNumber, true);
  auto sent = renewals_.RemoveAnswered(aNumber);
  if (!sent) {
    return;
  }
  if (IsOvertaken(aAnswer, *sent)) {
    hooks_.condition(Condition(), "ignored a list of an earlier incarnation");
    return;
  }
  bool isNewIncarnation = aAnswer.born != 0 && aAnswer.born != born_;
  if (isNewIncarnation) {
    // Nothing is started there before its announcement, which follows.
    auto before = Condition();
    BeginIncarnation(aAnswer.born);
    ReportConditionChange(before, "a new incarnation answers");
  } else if (sent->sentAt >= incarnationKnownAt_) {
    renewals_.OnAcknowledged(sent->lastSeen);
  }
  crashDetector_.OnAnswered(sent->sentAt);
  SetServerClock(aAnswer.serverClock);
  SetReachable(true, "renewed");
  RecordAnswer(true);
  bool knewAllRuns = KnowsAllRuns();
  isListed_ = isListed_ || sent->fencingToken == fencingToken_;
  UpdateUnknownRuns(aAnswer, *sent);
  ConfirmListedRuns(aAnswer);
  ReconcileRuns(aAnswer, *sent);
  ReportCapacityChange(knewAllRuns);
  UpdateHolds();
  reporter_.SendUrgent();
  if (isNewIncarnation) {
    // This list may be older than the start of a run in the new incarnation.
    Renew(milliseconds(0));
  }
  if (sent->wait.count() > 0 || HasUnacknowledgedEnds()) {
    if (!renewals_.HasLongPoll() && KnowsAllRuns()) {
      Renew(runs_.empty() ? kIdlePollTimeout : kBusyPollTimeout);
    }
  }
}

bool
RunController::IsOvertaken(const RenewAnswer& aAnswer,
                           const PendingRenewal& aSent) const
{
  // A call that was sent after the present incarnation was known cannot reach
  // an earlier one, even if a clock that was set back suggests so.
  return aAnswer.born != 0 && aAnswer.born < born_ &&
         aSent.sentAt < incarnationKnownAt_;
}

void
RunController::ConfirmListedRuns(const RenewAnswer& aAnswer)
{
  for (const auto& [key, percent] : aAnswer.running) {
    auto found = runs_.find(key);
    if (found == runs_.end()) {
      continue;
    }
    Run& run = found->second;
    if (run.knowledge.startCall == StartCallState::eUnanswered) {
      lateStarts_.erase(key);
    }
    MarkConfirmed(run);
    run.knowledge.listedBy = incarnation_;
    Forecast(key, run, percent);
  }
}

bool
RunController::IsUnknown(const RunKey& aRun, const PendingRenewal& aSent) const
{
  if (runs_.contains(aRun)) {
    return false;
  }
  auto released = released_.find(aRun);
  return released == released_.end() || released->second < aSent.sentAt;
}

void
RunController::UpdateUnknownRuns(const RenewAnswer& aAnswer,
                                 const PendingRenewal& aSent)
{
  for (const ListedRun& run : aAnswer.running) {
    if (IsUnknown(run.run, aSent)) {
      UnknownRun& unknown = unknownRuns_[run.run];
      unknown.listedInCall = std::max(unknown.listedInCall, aSent.number);
      StopUnknownRun(run.run, unknown);
    }
  }
  // A run that this answer does not list has ended, unless a later call listed
  // it.
  std::erase_if(unknownRuns_, [&](const auto& aRun) {
    return aRun.second.listedInCall < aSent.number;
  });
  for (const ListedEnd& end : aAnswer.ended) {
    unknownRuns_.erase(end.run);
  }
}

void
RunController::ReconcileRuns(const RenewAnswer& aAnswer,
                             const PendingRenewal& aSent)
{
  std::set<RunKey> listed;
  for (const ListedRun& run : aAnswer.running) {
    listed.insert(run.run);
  }
  std::map<RunKey, RunEndKind> ended;
  for (const ListedEnd& end : aAnswer.ended) {
    renewals_.OnEndListed(end.number);
    ended[end.run] = end.kind;
  }
  for (auto next = runs_.begin(); next != runs_.end();) {
    auto current = next++;
    auto& [key, run] = *current;
    auto end = ended.find(key);
    bool hasEnded = end != ended.end();
    if (hasEnded) {
      lateStarts_.erase(key);
    }
    ListedState state{ incarnation_,
                       aSent.fencingToken,
                       aSent.sentAt,
                       listed.contains(key),
                       hasEnded };
    auto kind = hasEnded ? end->second : KindOfUnlistedEnd(run);
    if (ReleaseIfEnded(current, { state, {}, {} }, kind) || state.isRunning) {
      continue;
    }
    bool isUnanswered = run.unansweredAt && *run.unansweredAt <= aSent.sentAt;
    if (isUnanswered && run.phase != Phase::eStopping) {
      RecordDecision("stop", key, run.entry, "start_unanswered");
      Stop(key, run);
    }
  }
}

void
RunController::Forecast(const RunKey& aKey, Run& aRun, std::uint32_t aPercent)
{
  auto now = clock_.MonotonicNow();
  aRun.listedAt = now;
  auto age =
    std::chrono::duration_cast<milliseconds>(now - *aRun.knowledge.confirmedAt)
      .count();
  if (aRun.isForecastSent || aRun.phase == Phase::eStopping ||
      aRun.limit.count() == 0 || age < kMinForecastAge.count()) {
    return;
  }
  if (aPercent < kMinForecastPercent &&
      age * kHangCheckDivisor < aRun.limit.count()) {
    return;
  }
  // Progress is in whole percent; half a percent is added so that the run time
  // is not overestimated.
  double total = static_cast<double>(age) * 100 / (aPercent + 0.5);
  if (total <= static_cast<double>(aRun.limit.count())) {
    return;
  }
  aRun.isForecastSent = true;
  auto time = static_cast<std::uint32_t>(std::min(total, kLongestForecastMs));
  reporter_.AddForecast(aRun.entry, { aKey, time });
}

bool
RunController::IsProgressCheckDue() const
{
  auto now = clock_.MonotonicNow();
  return std::any_of(runs_.begin(), runs_.end(), [&](const auto& aItem) {
    const Run& run = aItem.second;
    auto due = std::max<MonotonicTime::duration>(
      kMinForecastAge, run.limit / kProgressChecksPerLimit);
    return run.phase == Phase::eRunning && !run.isForecastSent &&
           run.limit.count() > 0 &&
           now - std::max(*run.knowledge.confirmedAt, run.listedAt) >= due;
  });
}

void
RunController::OnRenewFailed(std::uint64_t aNumber, RenewFailure aFailure)
{
  SettleRenewal(aNumber,
                aFailure == RenewFailure::eFenced ||
                  aFailure == RenewFailure::eNoAnswer);
  auto sent = renewals_.RemoveFailed(aNumber);
  if (!sent) {
    return;
  }
  switch (aFailure) {
    case RenewFailure::eFenced:
      RaiseFencingToken(sent->fencingToken);
      return;
    case RenewFailure::eConnectionRefused:
      refusedAt_ = sent->sentAt;
      crashDetector_.OnConnectionRefused(sent->sentAt);
      SetReachable(false, "connection refused");
      break;
    case RenewFailure::eNotSent:
      if (renewals_.OnNoAnswer(*sent) >= kMaxFailedRenewals) {
        SetReachable(false, "calls cannot be sent");
      }
      break;
    case RenewFailure::eNoAnswer:
      RecordAnswer(false);
      crashDetector_.OnNoAnswer(sent->sentAt);
      if (renewals_.OnNoAnswer(*sent) >= kMaxFailedRenewals) {
        SetReachable(false, "no answer");
      }
      break;
  }
  reporter_.SendUrgent();
}

void
RunController::RenewLeases()
{
  // The end of the server must be known before its next incarnation listens,
  // and that one must receive the higher token before the late starts: it would
  // carry out two withdrawn orders of a task.
  bool mayStartLate = !lateStarts_.empty();
  if (!server_ || (hasLeft_ && runs_.empty() && !mayStartLate)) {
    return;
  }
  if (mayStartLate && !reachable_) {
    Renew(milliseconds(0));
    return;
  }
  auto now = clock_.MonotonicNow();
  if (!renewals_.HasLongPoll() && renewals_.CanStart()) {
    if (!reachable_ || !KnowsAllRuns()) {
      // The answer to a long poll would show seconds later that the server can
      // be reached or that its capacity is free.
      Renew(milliseconds(0));
    } else {
      Renew(runs_.empty() ? kIdlePollTimeout : kBusyPollTimeout);
    }
    return;
  }
  bool stopAnswered =
    std::any_of(runs_.begin(), runs_.end(), [](const auto& aRun) {
      return aRun.second.knowledge.stop && !aRun.second.IsConfirmed();
    });
  auto rest = renewals_.RequestedUntil() - now;
  bool isRenewalDue = !runs_.empty() && rest <= settings_.lease - kRenewAfter &&
                      LeaseToRequest() - rest >= kMinExtension;
  // Renewals without a wait show when an unreliable server answers again,
  // without placing a run on it.
  bool isUnreliable = !answerMonitor_.IsReliable();
  if (renewals_.CanStart() &&
      (isRenewalDue || stopAnswered || isUnreliable || mayStartLate ||
       !KnowsAllRuns() || renewals_.HasOverdueCall() || IsProgressCheckDue())) {
    Renew(milliseconds(0));
  }
}

void
RunController::Renew(milliseconds aWait)
{
  if (!server_) {
    return;
  }
  auto lease = LeaseToRequest();
  RenewCall call = renewals_.Start(aWait, fencingToken_, lease);
  openRenewals_[call.number] = leases_.OnSent(lease);
  call.leaseEnd = LeaseEnd(lease);
  hooks_.renew(call);
}

milliseconds
RunController::LeaseToRequest() const
{
  if (!KnowsAllRuns() && !HasRunOfIncarnation()) {
    // A lease would only prolong the runs that are to be stopped, beyond the
    // time after which their callers submit the jobs again.
    return milliseconds(0);
  }
  auto lease = settings_.lease;
  for (const auto& [key, run] : runs_) {
    // The incarnation that answered a stop ends the run whatever its lease.
    const auto& stop = run.knowledge.stop;
    if (stop && stop->incarnation == incarnation_) {
      continue;
    }
    auto contactAt =
      reporter_.ConfirmedAt(run.entry).value_or(run.entryContactAt);
    lease = std::min(lease,
                     leases_.LongestUntil(contactAt + settings_.maxContactAge));
  }
  return std::max(lease, milliseconds(0));
}

bool
RunController::HasRunOfIncarnation() const
{
  return std::any_of(runs_.begin(), runs_.end(), [this](const auto& aItem) {
    return aItem.second.knowledge.LastIncarnation() == incarnation_;
  });
}

milliseconds
RunController::LeaseEnd(milliseconds aLease) const
{
  auto now = std::chrono::duration_cast<milliseconds>(
    clock_.MonotonicNow().time_since_epoch());
  return now + clockOffset_ + aLease;
}

void
RunController::SetServerClock(milliseconds aServerClock)
{
  auto now = std::chrono::duration_cast<milliseconds>(
    clock_.MonotonicNow().time_since_epoch());
  clockOffset_ = aServerClock - now;
  leases_.OnClockLearned();
}

void
RunController::RaiseFencingToken(std::uint64_t aRefused)
{
  if (aRefused == fencingToken_) {
    fencingToken_ += kFencingTokenStep;
  }
}

void
RunController::SettleRenewal(std::uint64_t aNumber, bool aMayBeReceived)
{
  auto call = openRenewals_.extract(aNumber);
  if (call.empty()) {
    return;
  }
  aMayBeReceived ? leases_.OnPossiblyReceived(call.mapped())
                 : leases_.OnNotReceived(call.mapped());
}

}
