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
/** Pause after a renewal that failed. */
constexpr milliseconds kRenewRetry{ 100 };
/** A stop order without an effect is repeated after this. */
constexpr milliseconds kStopRetry{ 75 };
/** An unanswered start is stopped without a list after this. */
constexpr milliseconds kListTimeout{ 100 };
/** A server's clock may run 2% slow; leases are taken as this much longer. */
constexpr milliseconds kLeaseMargin{ 50 };
/** Connections hold messages for a few seconds at most. */
constexpr milliseconds kWithdrawnMemory{ 10'000 };
/** Room reports go to the entries of the same data centre this often ... */
constexpr milliseconds kNearReportPeriod{ 25 };
/** ... and to the others this often, because their bytes are paid for. */
constexpr milliseconds kFarReportPeriod{ 100 };
/**
 * An entry that took this agent for gone, while the agent did not notice, gets
 * the description again.
 */
constexpr milliseconds kDescriptionPeriod{ 3000 };
/** An entry that keeps its runs alive gets an answer at least this often. */
constexpr milliseconds kAnswerPeriod{ 150 };
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
  , pauses_(aClock)
{
}

ServerCondition
RunKeeper::Condition() const
{
  if (!server_ || !reachable_) {
    return ServerCondition::eUnreachable;
  }
  return serverDraining_ || draining_ ? ServerCondition::eDraining
                                      : ServerCondition::eReady;
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
    lastSeen_ = 0;
    acknowledged_ = 0;
    renewals_.clear();
  }
  if (server_ != aAnnouncement.description) {
    server_ = aAnnouncement.description;
    for (auto& [id, entry] : entries_) {
      entry.describedAt.reset();
    }
  }
  born_ = aAnnouncement.born;
  sequence_ = aAnnouncement.sequence;
  serverDraining_ = aAnnouncement.draining;
  if (!sameLife) {
    reachable_ = true;
    SetServerClock(aAnnouncement.serverClock);
  }
  if (Condition() != before) {
    MarkChanged();
    hooks_.condition(Condition(),
                     sameLife ? "announced" : "a new life of the server");
    Flush(false);
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
  renewals_.clear();
  MarkChanged();
  hooks_.condition(Condition(), "left");
  Flush(false);
}

void
RunKeeper::OnEntry(const ProcessId& aEntry, bool aSameDataCentre)
{
  auto [entry, isNew] = entries_.try_emplace(aEntry);
  entry->second.sameDataCentre = aSameDataCentre;
  if (isNew) {
    entry->second.heardAt = clock_.MonotonicNow();
    SendReport(aEntry, entry->second);
  }
}

void
RunKeeper::OnEntryGone(const ProcessId& aEntry)
{
  entries_.erase(aEntry);
  for (auto& [key, run] : runs_) {
    if (run.entry == aEntry && !run.stopWanted) {
      Note("stop", key, aEntry, "entry_gone");
      Stop(key, run);
    }
  }
}

void
RunKeeper::OnOrders(const ProcessId& aEntry, const DispatchOrders& aOrders)
{
  Entry& entry = entries_[aEntry];
  auto now = clock_.MonotonicNow();
  entry.heardAt = now;
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
  if (now - entry.reportedAt >= kAnswerPeriod) {
    SendReport(aEntry, entry);
  }
  Flush(true);
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
  if (Condition() != ServerCondition::eReady) {
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
  leaseExtendedAt_ =
    runs_.empty() ? run.orderedAt : std::min(leaseExtendedAt_, run.orderedAt);
  runs_.emplace(key, run);
  used_ = used_ + aBatch.need;
  MarkChanged();
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
    if (run->second.entry != aEntry && !run->second.stopWanted) {
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
  if (!run->second.stopWanted) {
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
  entries_[aEntry].ends.push_back({ aRun, aKind, 0 });
  Note("refuse", aRun, aEntry, aReason);
}

void
RunKeeper::Stop(const RunKey& aKey, Run& aRun)
{
  aRun.stopWanted = true;
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
  auto found = runs_.find(aRun);
  if (found == runs_.end()) {
    return;
  }
  Run& run = found->second;
  switch (aAnswer) {
    case StartAnswer::eStarted:
      run.seen = true;
      run.startedAt = clock_.MonotonicNow();
      if (run.phase == Phase::eStarting) {
        run.phase = Phase::eRunning;
      }
      return;
    case StartAnswer::eNoRoom:
      Note("start_failed", aRun, run.entry, "no_room_at_server");
      End(found, RunEndKind::eNoRoom);
      break;
    case StartAnswer::eOutdated:
      Note("start_failed", aRun, run.entry, "outdated");
      End(found, RunEndKind::eOutdated);
      break;
    case StartAnswer::eLate:
      Note("start_failed", aRun, run.entry, "lease_ended");
      End(found, RunEndKind::eUnanswered);
      break;
    case StartAnswer::eFenced:
      Note("start_failed", aRun, run.entry, "fenced");
      fencingToken_ += kTokenStep;
      End(found, RunEndKind::eRefused);
      break;
    case StartAnswer::eRefused:
      Note("start_failed", aRun, run.entry, "refused_by_server");
      End(found, RunEndKind::eRefused);
      break;
    case StartAnswer::eUnreachable:
      Note("start_failed", aRun, run.entry, "unreachable");
      End(found, RunEndKind::eRefused);
      SetReachable(false, "connection refused");
      break;
    case StartAnswer::eNoAnswer:
      if (!run.seen && run.phase == Phase::eStarting) {
        // The list tells whether it runs; if it does, nothing is lost.
        run.unansweredAt = clock_.MonotonicNow();
        Renew(milliseconds(0));
      }
      return;
  }
  Flush(true);
}

void
RunKeeper::OnStopAnswer(const RunKey& aRun, bool aAnswered)
{
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
RunKeeper::OnRenewAnswer(std::uint64_t aNumber, const RenewAnswer& aAnswer)
{
  auto renewal = renewals_.find(aNumber);
  if (renewal == renewals_.end()) {
    return;
  }
  PendingRenewal sent = renewal->second;
  renewals_.erase(renewal);
  failedRenewals_ = 0;
  if (aAnswer.born != 0 && aAnswer.born != born_) {
    // Another life of the server; its announcement follows. Runs of the old
    // one are not in this list.
    born_ = aAnswer.born;
    sequence_ = 0;
    lastSeen_ = 0;
    acknowledged_ = 0;
    sent.lastSeen = 0;
  }
  acknowledged_ = std::max(acknowledged_, sent.lastSeen);
  SetServerClock(aAnswer.serverClock);
  SetReachable(true, "renewed");
  for (const ListedEnd& end : aAnswer.ended) {
    lastSeen_ = std::max(lastSeen_, end.number);
    auto run = runs_.find(end.run);
    if (run != runs_.end()) {
      End(run, end.kind);
    }
  }
  CheckListed(aAnswer, sent.sentAt);
  Flush(true);
  if (sent.waits || HasUnacknowledgedEnds()) {
    if (!IsRenewalWaiting()) {
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
    if (!run.seen) {
      run.seen = true;
      run.startedAt = clock_.MonotonicNow();
      if (run.phase == Phase::eStarting) {
        run.phase = Phase::eRunning;
      }
    }
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
      if (!gone && unanswered && !value.stopWanted) {
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
  if (aRun.forecast || aRun.stopWanted || aRun.limit.count() == 0 ||
      age < kMinForecastAge.count()) {
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
  auto entry = entries_.find(aRun.entry);
  if (entry != entries_.end()) {
    auto time = static_cast<std::uint32_t>(std::min(total, kLongestForecastMs));
    entry->second.forecasts.push_back({ aKey, time });
  }
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
  auto renewal = renewals_.find(aNumber);
  if (renewal == renewals_.end()) {
    return;
  }
  renewals_.erase(renewal);
  nextRenewAt_ = clock_.MonotonicNow() + kRenewRetry;
  switch (aFailure) {
    case RenewFailure::eFenced:
      fencingToken_ += kTokenStep;
      return;
    case RenewFailure::eUnreachable:
      EndAll(RunEndKind::eLost, "the server has ended");
      SetReachable(false, "connection refused");
      break;
    case RenewFailure::eNoAnswer:
      if (++failedRenewals_ >= kFailedRenewals) {
        SetReachable(false, "no answer");
      }
      break;
  }
  Flush(true);
}

void
RunKeeper::StartDraining()
{
  draining_ = true;
  MarkChanged();
  Flush(false);
}

void
RunKeeper::Tick()
{
  auto now = clock_.MonotonicNow();
  pauses_.Check();
  StopSilentEntries();
  for (auto& [key, run] : runs_) {
    bool retry = run.stopWanted && !run.stopAnsweredAt &&
                 now - run.stopSentAt >= kStopRetry;
    bool unlisted = run.unansweredAt && !run.seen && !run.stopWanted &&
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
  Flush(false);
}

void
RunKeeper::KeepLeases()
{
  if (!server_) {
    return;
  }
  auto now = clock_.MonotonicNow();
  auto leaseLength = settings_.lease + kLeaseMargin;
  if (!runs_.empty() && !reachable_ && now - leaseExtendedAt_ > leaseLength) {
    EndAll(RunEndKind::eLost, "the leases have ended");
  }
  if (!IsRenewalWaiting() && now >= nextRenewAt_) {
    Renew(runs_.empty() ? kIdleWait : kBusyWait);
    return;
  }
  bool stopAnswered =
    std::any_of(runs_.begin(), runs_.end(), [](const auto& aRun) {
      return aRun.second.stopAnsweredAt && !aRun.second.seen;
    });
  bool old = !runs_.empty() && now - leaseExtendedAt_ >= kRenewAfter;
  if (now >= nextRenewAt_ && (old || stopAnswered || NeedsProgress())) {
    Renew(milliseconds(0));
  }
}

bool
RunKeeper::IsRenewalWaiting() const
{
  return std::any_of(
    renewals_.begin(), renewals_.end(), [](const auto& aRenewal) {
      return aRenewal.second.waits;
    });
}

void
RunKeeper::Renew(milliseconds aWait)
{
  if (!server_) {
    return;
  }
  auto now = clock_.MonotonicNow();
  std::uint64_t number = nextRenewal_++;
  renewals_[number] = { now, lastSeen_, aWait.count() > 0 };
  leaseExtendedAt_ = now;
  nextRenewAt_ = now + kRenewRetry;
  hooks_.renew({ number, fencingToken_, lastSeen_, LeaseEnd(), aWait });
}

void
RunKeeper::StopSilentEntries()
{
  auto now = clock_.MonotonicNow();
  for (auto& [key, run] : runs_) {
    if (run.stopWanted) {
      continue;
    }
    auto entry = entries_.find(run.entry);
    bool silent = entry == entries_.end() ||
                  now - entry->second.heardAt > settings_.entrySilence;
    if (silent) {
      Note("stop", key, run.entry, "entry_silent");
      Stop(key, run);
    }
  }
}

void
RunKeeper::End(Runs::iterator aRun, RunEndKind aKind)
{
  auto [key, run] = *aRun;
  runs_.erase(aRun);
  used_ = used_ - run.need;
  MarkChanged();
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
  auto entry = entries_.find(run.entry);
  if (entry != entries_.end()) {
    entry->second.ends.push_back({ key, aKind, runTime });
  }
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
RunKeeper::SetReachable(bool aReachable, const std::string& aReason)
{
  if (reachable_ == aReachable) {
    return;
  }
  reachable_ = aReachable;
  MarkChanged();
  hooks_.condition(Condition(), aReason);
}

void
RunKeeper::MarkChanged()
{
  for (auto& [id, entry] : entries_) {
    entry.changed = true;
  }
}

void
RunKeeper::Flush(bool aOnlyEnds)
{
  auto now = clock_.MonotonicNow();
  for (auto& [id, entry] : entries_) {
    auto period = entry.sameDataCentre ? kNearReportPeriod : kFarReportPeriod;
    bool due = !aOnlyEnds && (entry.changed || NeedsDescription(entry)) &&
               now - entry.reportedAt >= period;
    if (due || !entry.ends.empty() || !entry.forecasts.empty()) {
      SendReport(id, entry);
    }
  }
}

bool
RunKeeper::NeedsDescription(const Entry& aEntry) const
{
  auto now = clock_.MonotonicNow();
  return server_ && (!aEntry.describedAt ||
                     now - *aEntry.describedAt >= kDescriptionPeriod);
}

void
RunKeeper::SendReport(const ProcessId& aId, Entry& aEntry)
{
  ServerReport report;
  auto now = clock_.MonotonicNow();
  if (NeedsDescription(aEntry)) {
    report.description = *server_;
    aEntry.describedAt = now;
  }
  report.condition = Condition();
  report.usedByOthers = used_;
  for (const auto& [key, run] : runs_) {
    if (run.entry == aId) {
      report.usedByOthers = report.usedByOthers - run.need;
    }
  }
  report.ends = std::move(aEntry.ends);
  aEntry.ends.clear();
  report.forecasts = std::move(aEntry.forecasts);
  aEntry.forecasts.clear();
  aEntry.changed = false;
  aEntry.reportedAt = now;
  hooks_.report(aId, report);
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
