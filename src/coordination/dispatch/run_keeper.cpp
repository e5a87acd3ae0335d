#include "coordination/dispatch/run_keeper.h"

#include <algorithm>

namespace greengage::coordination {

using state::MonotonicTime;
using state::ProcessId;
using state::ResourceAmount;
using state::RunKey;
using std::chrono::milliseconds;

namespace {

/** Wait of a renewal while something runs: well below the lease. */
constexpr milliseconds kBusyWait{ 250 };
/** Longest wait that the server's interface allows. */
constexpr milliseconds kIdleWait{ 2000 };
/** A lease that was not extended for this long is renewed beside the wait. */
constexpr milliseconds kRenewAfter{ 300 };
/** A stop order without an effect is repeated after this. */
constexpr milliseconds kStopRetry{ 75 };
/** An unanswered start is stopped without a list after this. */
constexpr milliseconds kListTimeout{ 100 };
/** A server's clock may run 2% slow; leases are taken as this much longer. */
constexpr milliseconds kLeaseMargin{ 50 };
/** Connections hold messages for a few seconds at most. */
constexpr milliseconds kWithdrawnMemory{ 10'000 };
/** Step by which a refused fencing token is raised; about one minute of ms. */
constexpr std::uint64_t kTokenStep = 60'000;
/** Progress of a younger run says too little, in whole percent. */
constexpr milliseconds kMinForecastAge{ 60 };
/** Below this, whole percent are too coarse to give a job up. */
constexpr std::uint32_t kMinForecastPercent = 8;
/** A run with less progress than that has hung after this part of its limit. */
constexpr int kHangCheckShare = 3;
/** A run's progress is looked at this many times within its limit. */
constexpr int kProgressChecksPerLimit = 5;
constexpr double kLongestForecastMs = 60'000;
/** Renewals without an answer before the server counts as unreachable. */
constexpr unsigned kFailedRenewals = 2;

}

RunKeeper::RunKeeper(const RunKeeperSettings& aSettings,
                     std::uint64_t aFencingToken,
                     const state::Clock& aClock,
                     RunKeeperHooks aHooks)
  : settings_(aSettings)
  , fencingToken_(aFencingToken)
  , clock_(aClock)
  , hooks_(std::move(aHooks))
  , pauses_(aClock, hooks_.paused)
  , reports_(
      aClock,
      [this](const ProcessId& aEntry) { return StatusFor(aEntry); },
      [this](const ProcessId& aEntry, const ServerReport& aReport) {
        hooks_.report(aEntry, aReport);
      })
  , renewals_(aClock)
{
}

ServerCondition
RunKeeper::Condition() const
{
  if (!server_ || !reachable_) {
    return ServerCondition::eUnreachable;
  }
  if (serverDraining_ || draining_) {
    return ServerCondition::eDraining;
  }
  return answers_.IsReliable() ? ServerCondition::eReady
                               : ServerCondition::eUnreliable;
}

bool
RunKeeper::OnAnnouncement(const ServerAnnouncement& aAnnouncement)
{
  bool sameLife = server_ && server_->id == aAnnouncement.description.id &&
                  born_ == aAnnouncement.born;
  if (sameLife && aAnnouncement.sequence <= sequence_) {
    return false;
  }
  if (server_ && !sameLife && aAnnouncement.born < born_) {
    return false;
  }
  auto before = Condition();
  if (server_ && !sameLife) {
    // Some runs may have been started in the new life already; the list that
    // is asked for below tells which ones are there.
    renewals_.Restart();
    renewals_.DropPending();
  }
  if (server_ != aAnnouncement.description) {
    server_ = aAnnouncement.description;
    reports_.SetDescription(server_);
  }
  born_ = aAnnouncement.born;
  sequence_ = aAnnouncement.sequence;
  serverDraining_ = aAnnouncement.draining;
  if (!sameLife) {
    reachable_ = true;
    answers_.Reset();
    SetServerClock(aAnnouncement.serverClock);
  }
  if (Condition() != before) {
    reports_.MarkChanged();
    hooks_.condition(Condition(),
                     sameLife ? "announced" : "a new life of the server");
    reports_.Send();
  }
  if (!sameLife) {
    // What runs there already is kept or stopped by the list.
    Renew(milliseconds(0));
  }
  return true;
}

void
RunKeeper::OnServerLeft(const std::string& aServerId)
{
  if (!server_ || server_->id != aServerId) {
    return;
  }
  EndAll(RunEndKind::eLost, "the server has left");
  server_.reset();
  reports_.SetDescription(server_);
  renewals_.DropPending();
  reports_.MarkChanged();
  hooks_.condition(Condition(), "left");
  reports_.Send();
}

void
RunKeeper::OnRenewAnswer(std::uint64_t aNumber, const RenewAnswer& aAnswer)
{
  auto sent = renewals_.TakeAnswered(aNumber);
  if (!sent) {
    return;
  }
  if (aAnswer.born != 0 && aAnswer.born != born_) {
    // Another life of the server; its announcement follows. Runs of the old
    // one are not in this list.
    born_ = aAnswer.born;
    sequence_ = 0;
    renewals_.Restart();
  } else {
    renewals_.OnAcknowledged(sent->lastSeen);
  }
  SetServerClock(aAnswer.serverClock);
  SetReachable(true, "renewed");
  CountAnswer(true);
  for (const ListedEnd& end : aAnswer.ended) {
    renewals_.OnEndListed(end.number);
    auto run = runs_.find(end.run);
    if (run != runs_.end()) {
      End(run, end.kind);
    }
  }
  CheckListed(aAnswer, sent->sentAt);
  reports_.SendUrgent();
  if (sent->waits || HasUnacknowledgedEnds()) {
    if (!renewals_.IsWaiting()) {
      Renew(runs_.empty() ? kIdleWait : kBusyWait);
    }
  }
}

void
RunKeeper::CheckListed(const RenewAnswer& aAnswer, MonotonicTime aSentAt)
{
  std::set<RunKey> listed;
  for (const auto& [key, percent] : aAnswer.running) {
    listed.insert(key);
    auto found = runs_.find(key);
    if (found == runs_.end()) {
      StopUnknown(key);
      continue;
    }
    Run& run = found->second;
    MarkSeen(run);
    Forecast(key, run, percent);
  }
  for (auto run = runs_.begin(); run != runs_.end();) {
    auto next = std::next(run);
    const Run& value = run->second;
    bool gone = false;
    if (!listed.contains(run->first)) {
      // What started or stopped before the question must be in its answer.
      bool started = value.seen && value.startedAt < aSentAt;
      bool stopped = value.stopAnsweredAt && *value.stopAnsweredAt <= aSentAt;
      gone = started || stopped;
      bool unanswered = value.unansweredAt && *value.unansweredAt <= aSentAt;
      if (!gone && unanswered && value.phase != Phase::eStopping) {
        Note("stop", run->first, value.entry, "start_unanswered");
        Stop(run->first, run->second);
      }
    }
    if (gone) {
      Note("end", run->first, value.entry, "not_listed");
      End(run, value.seen ? RunEndKind::eLost : RunEndKind::eUnanswered);
    }
    run = next;
  }
}

void
RunKeeper::Forecast(const RunKey& aKey, Run& aRun, std::uint32_t aPercent)
{
  auto now = clock_.MonotonicNow();
  aRun.listedAt = now;
  auto age =
    std::chrono::duration_cast<milliseconds>(now - aRun.startedAt).count();
  if (aRun.forecast || aRun.phase == Phase::eStopping ||
      aRun.limit.count() == 0 || age < kMinForecastAge.count()) {
    return;
  }
  if (aPercent < kMinForecastPercent &&
      age * kHangCheckShare < aRun.limit.count()) {
    return;
  }
  // The progress is in whole percent; half a percent more is the kinder guess.
  double total = static_cast<double>(age) * 100 / (aPercent + 0.5);
  if (total <= static_cast<double>(aRun.limit.count())) {
    return;
  }
  aRun.forecast = true;
  auto time = static_cast<std::uint32_t>(std::min(total, kLongestForecastMs));
  reports_.AddForecast(aRun.entry, { aKey, time });
}

bool
RunKeeper::NeedsProgress() const
{
  auto now = clock_.MonotonicNow();
  return std::any_of(runs_.begin(), runs_.end(), [&](const auto& aItem) {
    const Run& run = aItem.second;
    auto due = std::max<MonotonicTime::duration>(
      kMinForecastAge, run.limit / kProgressChecksPerLimit);
    return run.phase == Phase::eRunning && !run.forecast &&
           run.limit.count() > 0 &&
           now - std::max(run.startedAt, run.listedAt) >= due;
  });
}

void
RunKeeper::StopUnknown(const RunKey& aRun)
{
  auto now = clock_.MonotonicNow();
  auto [stop, isNew] = unknownStops_.try_emplace(aRun, now);
  if (!isNew && now - stop->second < kStopRetry) {
    return;
  }
  stop->second = now;
  Note("stop", aRun, {}, "not_ordered_here");
  SendStop(aRun);
}

void
RunKeeper::OnRenewFailed(std::uint64_t aNumber, RenewFailure aFailure)
{
  if (!renewals_.TakeFailed(aNumber)) {
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
      CountAnswer(false);
      if (renewals_.OnNoAnswer() >= kFailedRenewals) {
        SetReachable(false, "no answer");
      }
      break;
  }
  reports_.SendUrgent();
}

void
RunKeeper::StartDraining()
{
  draining_ = true;
  reports_.MarkChanged();
  reports_.Send();
}

void
RunKeeper::Tick()
{
  auto now = clock_.MonotonicNow();
  pauses_.Check();
  StopSilentEntries();
  for (auto& [key, run] : runs_) {
    bool retry = run.phase == Phase::eStopping && !run.stopAnsweredAt &&
                 now - run.stopSentAt >= kStopRetry;
    bool unlisted = run.unansweredAt && !run.seen &&
                    run.phase != Phase::eStopping &&
                    now - *run.unansweredAt >= kListTimeout;
    if (unlisted) {
      Note("stop", key, run.entry, "start_unanswered");
    }
    if (retry || unlisted) {
      Stop(key, run);
    }
  }
  KeepLeases();
  auto expired = [now](const auto& aItem) {
    return now - aItem.second >= kWithdrawnMemory;
  };
  std::erase_if(withdrawn_, expired);
  std::erase_if(unknownStops_, expired);
  reports_.Send();
}

void
RunKeeper::KeepLeases()
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
  if (!renewals_.IsWaiting() && renewals_.MayBegin()) {
    Renew(runs_.empty() ? kIdleWait : kBusyWait);
    return;
  }
  bool stopAnswered =
    std::any_of(runs_.begin(), runs_.end(), [](const auto& aRun) {
      return aRun.second.stopAnsweredAt && !aRun.second.seen;
    });
  bool old = !runs_.empty() && now - renewals_.ExtendedAt() >= kRenewAfter;
  // A server in doubt proves itself with calls that cost it nothing.
  bool inDoubt = !answers_.IsReliable();
  if (renewals_.MayBegin() &&
      (old || stopAnswered || inDoubt || NeedsProgress())) {
    Renew(milliseconds(0));
  }
}

void
RunKeeper::Renew(milliseconds aWait)
{
  if (!server_) {
    return;
  }
  RenewCall call = renewals_.Begin(aWait);
  call.fencingToken = fencingToken_;
  call.leaseEnd = LeaseEnd();
  hooks_.renew(call);
}

void
RunKeeper::End(Runs::iterator aRun, RunEndKind aKind)
{
  auto [key, run] = *aRun;
  runs_.erase(aRun);
  used_ = used_ - run.need;
  reports_.MarkChanged();
  std::uint32_t runTime = 0;
  if (run.seen) {
    runTime =
      static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(
                                   clock_.MonotonicNow() - run.orderedAt)
                                   .count());
  }
  if (aKind != RunEndKind::eDone) {
    Note("end", key, run.entry, ToString(aKind));
  }
  reports_.AddEnd(run.entry, { key, aKind, runTime });
}

void
RunKeeper::EndAll(RunEndKind aKind, const std::string& aReason)
{
  while (!runs_.empty()) {
    Note("end", runs_.begin()->first, runs_.begin()->second.entry, aReason);
    End(runs_.begin(), aKind);
  }
}

void
RunKeeper::CountAnswer(bool aAnswered)
{
  bool before = answers_.IsReliable();
  aAnswered ? answers_.OnAnswer() : answers_.OnSilence();
  if (answers_.IsReliable() != before) {
    reports_.MarkChanged();
    hooks_.condition(Condition(),
                     before ? "calls are not answered" : "answers again");
    reports_.Send();
  }
}

void
RunKeeper::SetReachable(bool aReachable, const std::string& aReason)
{
  auto before = Condition();
  reachable_ = aReachable;
  if (Condition() != before) {
    reports_.MarkChanged();
    hooks_.condition(Condition(), aReason);
  }
}

ServerReport
RunKeeper::StatusFor(const ProcessId& aEntry) const
{
  ServerReport report;
  report.condition = Condition();
  report.usedByOthers = used_;
  for (const auto& [key, run] : runs_) {
    if (run.entry == aEntry) {
      report.usedByOthers = report.usedByOthers - run.need;
    }
  }
  return report;
}

milliseconds
RunKeeper::LeaseEnd() const
{
  auto now = std::chrono::duration_cast<milliseconds>(
    clock_.MonotonicNow().time_since_epoch());
  return now + clockOffset_ + settings_.lease;
}

void
RunKeeper::SetServerClock(milliseconds aServerClock)
{
  auto now = std::chrono::duration_cast<milliseconds>(
    clock_.MonotonicNow().time_since_epoch());
  clockOffset_ = aServerClock - now;
}

void
RunKeeper::RaiseFencingToken()
{
  fencingToken_ += kTokenStep;
}

void
RunKeeper::Note(const char* aDecision,
                const RunKey& aRun,
                const ProcessId& aEntry,
                std::string aReason) const
{
  if (hooks_.note) {
    hooks_.note({ aDecision, aRun, aEntry, std::move(aReason) });
  }
}

}
