#include "coordination/cancellation/cancellation_exchange.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "coordination/subset/entry_choice.h"

namespace greengage::coordination {

using state::ProcessId;
using std::chrono::milliseconds;

namespace {

/** Jobs in one message; it takes 25 ms on a link of 2 Mbit/s. */
constexpr std::size_t kMaxJobsPerMessage = 256;
/** Messages with jobs to one peer in one tick. */
constexpr unsigned kMaxMessagesPerTick = 4;
/**
 * Least time between messages to one peer; the cancellations that arrive
 * meanwhile share the next one. A large fleet has more peers to inform, and the
 * processor of an entry of 0.09 cores is the limit.
 */
constexpr milliseconds kSendInterval{ 25 };
constexpr milliseconds kSendIntervalOfLargeFleet{ 100 };
/** Interval at which something is sent again until it is confirmed. */
constexpr milliseconds kRepeatInterval{ 1000 };
/**
 * Wait for all entries. One that does not confirm for longer is paused or cut
 * off; it notices its silence (kSilence) and catches up before it places a job.
 */
constexpr milliseconds kWaitForAll{ 1500 };
/** Wait for the first confirmation; callers wait 4,000 ms at least. */
constexpr milliseconds kMaxWait{ 3500 };
/**
 * An entry that has not confirmed the first jobs it was sent after this time,
 * or has not asked for any after the next one, is taken for one of the previous
 * version and not waited for: entries find each other within 2 s, and each asks
 * the other then.
 */
constexpr milliseconds kOldVersionTime{ 1500 };
constexpr milliseconds kFirstRequestTime{ 3000 };
/**
 * A process that receives nothing for this time may be cut off: the membership
 * contacts every process each 500 ms.
 */
constexpr milliseconds kSilence{ 1200 };
/** Lost entries that are remembered; only those that return are of interest. */
constexpr std::size_t kMaxFormer = 64;

}

const char*
ToString(CancellationResult aResult)
{
  switch (aResult) {
    case CancellationResult::eConfirmed:
      return "confirmed";
    case CancellationResult::ePartlyConfirmed:
      return "partly_confirmed";
    case CancellationResult::eUnconfirmed:
      return "unconfirmed";
  }
  return "unknown";
}

CancellationExchange::CancellationExchange(const state::Clock& aClock,
                                           CancelledJobs& aJobs,
                                           CancellationHooks aHooks)
  : clock_(aClock)
  , jobs_(aJobs)
  , hooks_(std::move(aHooks))
  , catchUp_(aClock,
             { [this](const ProcessId& aEntry, const CatchUpRequest& aRequest) {
                EntryNews news;
                news.catchUpRequest = aRequest;
                hooks_.send(aEntry, news);
              },
               [this](const CatchUpRecord& aRecord) {
                 if (hooks_.caughtUp) {
                   hooks_.caughtUp(aRecord);
                 }
               } })
  , heardAt_(aClock.MonotonicNow())
{
}

void
CancellationExchange::OnEntry(const ProcessId& aEntry)
{
  auto [peer, isNew] = peers_.try_emplace(aEntry);
  if (!isNew) {
    return;
  }
  peer->second.foundAt = clock_.MonotonicNow();
  bool returned = former_.erase(aEntry) > 0;
  catchUp_.OnEntry(aEntry);
  if (returned && !catchUp_.Holds()) {
    // Either of the two processes was cut off, possibly this one.
    catchUp_.Begin(CatchUpReason::eReturn);
  }
}

void
CancellationExchange::OnEntryLost(const ProcessId& aEntry)
{
  if (peers_.erase(aEntry) == 0) {
    return;
  }
  if (former_.size() >= kMaxFormer) {
    former_.erase(std::min_element(
      former_.begin(), former_.end(), [](const auto& aA, const auto& aB) {
        return aA.second < aB.second;
      }));
  }
  former_[aEntry] = clock_.MonotonicNow();
  catchUp_.OnEntryLost(aEntry);
  AnswerPending();
}

void
CancellationExchange::OnEntryDisconnected(const ProcessId& aEntry)
{
  auto peer = peers_.find(aEntry);
  if (peer == peers_.end()) {
    return;
  }
  peer->second.sent = peer->second.confirmed;
  catchUp_.OnEntryDisconnected(aEntry);
}

void
CancellationExchange::OnHeard()
{
  if (!IsSilent()) {
    heardAt_ = clock_.MonotonicNow();
    return;
  }
  auto missing = LostInSilence();
  heardAt_ = clock_.MonotonicNow();
  // An entry that has no others, and lost none meanwhile, has missed nothing.
  if (!peers_.empty() || !missing.empty()) {
    catchUp_.Begin(CatchUpReason::eSilence, std::move(missing));
  }
}

void
CancellationExchange::Cancel(state::DispatchJobId aJob, AnswerFunction aAnswer)
{
  pending_.push_back(
    { aJob, jobs_.AddOwn(aJob), clock_.MonotonicNow(), std::move(aAnswer) });
  for (auto& [entry, peer] : peers_) {
    SendOwn(entry, peer);
  }
  AnswerPending();
}

void
CancellationExchange::OnNews(const ProcessId& aFrom, const EntryNews& aNews)
{
  bool takesPart = aNews.confirmNumber > 0 || aNews.confirmedNumber > 0 ||
                   aNews.catchUpRequest || aNews.catchUpPage;
  auto peer = peers_.find(aFrom);
  if (takesPart && peer != peers_.end()) {
    peer->second.takesPart = true;
    peer->second.isOld = false;
    if (aNews.confirmedNumber > 0) {
      OnConfirmed(peer->second, aNews.confirmedNumber);
    }
  }
  if (aNews.catchUpPage) {
    catchUp_.OnPage(aFrom, *aNews.catchUpPage);
  }
  if (aNews.catchUpRequest) {
    AnswerCatchUp(aFrom, *aNews.catchUpRequest);
  }
  if (aNews.confirmNumber > 0) {
    EntryNews confirmation;
    confirmation.confirmedNumber = aNews.confirmNumber;
    hooks_.send(aFrom, confirmation);
  }
  AnswerPending();
}

void
CancellationExchange::Tick()
{
  for (auto& [entry, peer] : peers_) {
    FindOldVersion(peer);
    RepeatUnconfirmed(entry, peer);
    SendOwn(entry, peer);
  }
  catchUp_.Tick();
  AnswerPending();
}

bool
CancellationExchange::IsSilent() const
{
  return clock_.MonotonicNow() - heardAt_ > kSilence;
}

std::set<ProcessId>
CancellationExchange::LostInSilence() const
{
  std::set<ProcessId> lost;
  for (const auto& [entry, lostAt] : former_) {
    if (lostAt > heardAt_) {
      lost.insert(entry);
    }
  }
  return lost;
}

bool
CancellationExchange::IsCutOff() const
{
  return IsSilent() && !LostInSilence().empty();
}

milliseconds
CancellationExchange::SendInterval() const
{
  return peers_.size() + 1 > kMaxEntriesPerServer ? kSendIntervalOfLargeFleet
                                                  : kSendInterval;
}

void
CancellationExchange::SendOwn(const ProcessId& aEntry, Peer& aPeer)
{
  auto now = clock_.MonotonicNow();
  if (aPeer.sent == jobs_.Newest() || now - aPeer.sentAt < SendInterval()) {
    return;
  }
  for (unsigned i = 0; i < kMaxMessagesPerTick; ++i) {
    auto page = jobs_.OwnAfter(aPeer.sent, kMaxJobsPerMessage);
    if (page.jobs.empty()) {
      // Nothing to confirm: the numbers in between are of other entries' jobs.
      if (aPeer.confirmed == aPeer.sent) {
        aPeer.confirmed = page.last;
      }
      aPeer.sent = page.last;
      return;
    }
    aPeer.sent = page.last;
    aPeer.sentAt = now;
    if (!aPeer.unconfirmedSince) {
      aPeer.unconfirmedSince = now;
    }
    EntryNews news;
    news.cancelledJobs = std::move(page.jobs);
    news.confirmNumber = page.last;
    hooks_.send(aEntry, news);
    if (!page.hasMore) {
      return;
    }
  }
}

void
CancellationExchange::RepeatUnconfirmed(const ProcessId& aEntry, Peer& aPeer)
{
  if (aPeer.isOld || aPeer.confirmed >= aPeer.sent ||
      clock_.MonotonicNow() - aPeer.sentAt < kRepeatInterval) {
    return;
  }
  aPeer.sent = aPeer.confirmed;
  SendOwn(aEntry, aPeer);
}

void
CancellationExchange::FindOldVersion(Peer& aPeer) const
{
  if (aPeer.takesPart || aPeer.isOld || IsSilent()) {
    return;
  }
  auto now = clock_.MonotonicNow();
  aPeer.isOld = now - aPeer.foundAt >= kFirstRequestTime ||
                (aPeer.unconfirmedSince &&
                 now - *aPeer.unconfirmedSince >= kOldVersionTime);
}

void
CancellationExchange::OnConfirmed(Peer& aPeer, std::uint64_t aNumber)
{
  // A confirmation can exceed what was sent since the connection was lost.
  std::uint64_t number = std::min(aNumber, jobs_.Newest());
  if (number <= aPeer.confirmed) {
    return;
  }
  aPeer.confirmed = number;
  aPeer.sent = std::max(aPeer.sent, number);
  aPeer.unconfirmedSince.reset();
  if (aPeer.confirmed < aPeer.sent) {
    aPeer.unconfirmedSince = clock_.MonotonicNow();
  }
}

void
CancellationExchange::AnswerCatchUp(const ProcessId& aFrom,
                                    const CatchUpRequest& aRequest)
{
  auto page = aRequest.ownOnly
                ? jobs_.OwnAfter(aRequest.after, kMaxJobsPerMessage)
                : jobs_.After(aRequest.after, kMaxJobsPerMessage);
  EntryNews news;
  news.cancelledJobs = std::move(page.jobs);
  news.catchUpPage = {
    aRequest.number, page.last, page.hasMore, catchUp_.IsComplete()
  };
  hooks_.send(aFrom, news);
}

CancellationExchange::Coverage
CancellationExchange::FindCoverage() const
{
  Coverage coverage;
  coverage.byAll = std::numeric_limits<std::uint64_t>::max();
  for (const auto& [entry, peer] : peers_) {
    coverage.byAny = std::max(coverage.byAny, peer.confirmed);
    if (!peer.isOld) {
      coverage.byAll = std::min(coverage.byAll, peer.confirmed);
    }
  }
  return coverage;
}

std::optional<CancellationResult>
CancellationExchange::ResultOf(const Pending& aPending,
                               const Coverage& aCoverage) const
{
  auto waited = clock_.MonotonicNow() - aPending.since;
  bool isConfirmed = aCoverage.byAny >= aPending.number;
  // While this entry is cut off, or has not found the others yet, it does not
  // know whether there are any.
  bool knowsOthers = !catchUp_.Holds() && !IsCutOff();
  if (aCoverage.byAll >= aPending.number && knowsOthers) {
    return CancellationResult::eConfirmed;
  }
  if (isConfirmed && knowsOthers && waited >= kWaitForAll) {
    return CancellationResult::ePartlyConfirmed;
  }
  if (waited >= kMaxWait) {
    return CancellationResult::eUnconfirmed;
  }
  return std::nullopt;
}

void
CancellationExchange::AnswerPending()
{
  if (pending_.empty()) {
    return;
  }
  Coverage coverage = FindCoverage();
  std::vector<Pending> waiting;
  std::vector<std::pair<Pending, CancellationResult>> answered;
  for (Pending& pending : std::exchange(pending_, {})) {
    auto result = ResultOf(pending, coverage);
    if (result) {
      answered.emplace_back(std::move(pending), *result);
    } else {
      waiting.push_back(std::move(pending));
    }
  }
  pending_ = std::move(waiting);
  for (auto& [pending, result] : answered) {
    if (hooks_.answered) {
      hooks_.answered(MakeRecord(pending, result));
    }
    pending.answer(result);
  }
}

CancellationRecord
CancellationExchange::MakeRecord(const Pending& aPending,
                                 CancellationResult aResult) const
{
  CancellationRecord record;
  record.job = aPending.job;
  record.result = aResult;
  record.waited = std::chrono::duration_cast<milliseconds>(
    clock_.MonotonicNow() - aPending.since);
  record.entries = peers_.size();
  record.confirmed = static_cast<std::size_t>(
    std::count_if(peers_.begin(), peers_.end(), [&](const auto& aPeer) {
      return aPeer.second.confirmed >= aPending.number;
    }));
  return record;
}

}
