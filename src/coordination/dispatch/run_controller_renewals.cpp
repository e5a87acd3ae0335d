#include "coordination/dispatch/run_controller.h"

#include <algorithm>

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
/** Age at which leases are renewed although a long poll is in flight. */
constexpr milliseconds kRenewAfter{ 300 };
/**
 * Time added to a lease before it counts as expired, because a server's clock
 * may run 2% slow.
 */
constexpr milliseconds kLeaseMargin{ 50 };
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
  auto sent = renewals_.RemoveAnswered(aNumber);
  if (!sent) {
    return;
  }
  if (aAnswer.born != 0 && aAnswer.born != incarnation_) {
    // A new incarnation of the server; its announcement follows. The list does
    // not contain runs of the old incarnation.
    incarnation_ = aAnswer.born;
    sequence_ = 0;
    renewals_.ResetNumbers();
  } else {
    renewals_.OnAcknowledged(sent->lastSeen);
  }
  SetServerClock(aAnswer.serverClock);
  SetReachable(true, "renewed");
  RecordAnswer(true);
  for (const ListedEnd& end : aAnswer.ended) {
    renewals_.OnEndListed(end.number);
    auto run = runs_.find(end.run);
    if (run != runs_.end()) {
      End(run, end.kind);
    }
  }
  ReconcileRuns(aAnswer, sent->sentAt);
  reporter_.SendUrgent();
  if (sent->isLongPoll || HasUnacknowledgedEnds()) {
    if (!renewals_.HasLongPoll()) {
      Renew(runs_.empty() ? kIdlePollTimeout : kBusyPollTimeout);
    }
  }
}

void
RunController::ReconcileRuns(const RenewAnswer& aAnswer, MonotonicTime aSentAt)
{
  std::set<RunKey> listed;
  for (const auto& [key, percent] : aAnswer.running) {
    listed.insert(key);
    auto found = runs_.find(key);
    if (found == runs_.end()) {
      StopUnknownRun(key);
      continue;
    }
    Run& run = found->second;
    MarkConfirmed(run);
    Forecast(key, run, percent);
  }
  for (auto run = runs_.begin(); run != runs_.end();) {
    auto next = std::next(run);
    const Run& value = run->second;
    bool hasEnded = false;
    if (!listed.contains(run->first)) {
      // A start or stop that was answered before the renewal was sent must be
      // reflected in the list.
      bool started = value.isConfirmed && value.startedAt < aSentAt;
      bool stopped = value.stopAnsweredAt && *value.stopAnsweredAt <= aSentAt;
      hasEnded = started || stopped;
      bool unanswered = value.unansweredAt && *value.unansweredAt <= aSentAt;
      if (!hasEnded && unanswered && value.phase != Phase::eStopping) {
        RecordDecision("stop", run->first, value.entry, "start_unanswered");
        Stop(run->first, run->second);
      }
    }
    if (hasEnded) {
      RecordDecision("end", run->first, value.entry, "not_listed");
      End(run, value.isConfirmed ? RunEndKind::eLost : RunEndKind::eUnanswered);
    }
    run = next;
  }
}

void
RunController::Forecast(const RunKey& aKey, Run& aRun, std::uint32_t aPercent)
{
  auto now = clock_.MonotonicNow();
  aRun.listedAt = now;
  auto age =
    std::chrono::duration_cast<milliseconds>(now - aRun.startedAt).count();
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
           now - std::max(run.startedAt, run.listedAt) >= due;
  });
}

void
RunController::OnRenewFailed(std::uint64_t aNumber, RenewFailure aFailure)
{
  if (!renewals_.RemoveFailed(aNumber)) {
    return;
  }
  switch (aFailure) {
    case RenewFailure::eFenced:
      RaiseFencingToken();
      return;
    case RenewFailure::eUnreachable:
      EndAll(RunEndKind::eLost, "the server has ended");
      SetReachable(false, "connection refused");
      break;
    case RenewFailure::eNoAnswer:
      RecordAnswer(false);
      if (renewals_.OnNoAnswer() >= kMaxFailedRenewals) {
        SetReachable(false, "no answer");
      }
      break;
  }
  reporter_.SendUrgent();
}

void
RunController::RenewLeases()
{
  if (!server_) {
    return;
  }
  auto now = clock_.MonotonicNow();
  auto leaseLength = settings_.lease + kLeaseMargin;
  if (!runs_.empty() && !reachable_ &&
      now - renewals_.ExtendedAt() > leaseLength) {
    EndAll(RunEndKind::eLost, "the leases have ended");
  }
  if (!renewals_.HasLongPoll() && renewals_.CanStart()) {
    Renew(runs_.empty() ? kIdlePollTimeout : kBusyPollTimeout);
    return;
  }
  bool stopAnswered =
    std::any_of(runs_.begin(), runs_.end(), [](const auto& aRun) {
      return aRun.second.stopAnsweredAt && !aRun.second.isConfirmed;
    });
  bool isRenewalDue =
    !runs_.empty() && now - renewals_.ExtendedAt() >= kRenewAfter;
  // Renewals without a wait show when an unreliable server answers again,
  // without placing a run on it.
  bool isUnreliable = !answerMonitor_.IsReliable();
  if (renewals_.CanStart() &&
      (isRenewalDue || stopAnswered || isUnreliable || IsProgressCheckDue())) {
    Renew(milliseconds(0));
  }
}

void
RunController::Renew(milliseconds aWait)
{
  if (!server_) {
    return;
  }
  RenewCall call = renewals_.Start(aWait);
  call.fencingToken = fencingToken_;
  call.leaseEnd = LeaseEnd();
  hooks_.renew(call);
}

milliseconds
RunController::LeaseEnd() const
{
  auto now = std::chrono::duration_cast<milliseconds>(
    clock_.MonotonicNow().time_since_epoch());
  return now + clockOffset_ + settings_.lease;
}

void
RunController::SetServerClock(milliseconds aServerClock)
{
  auto now = std::chrono::duration_cast<milliseconds>(
    clock_.MonotonicNow().time_since_epoch());
  clockOffset_ = aServerClock - now;
}

void
RunController::RaiseFencingToken()
{
  fencingToken_ += kFencingTokenStep;
}

}
