#include "coordination/cancellation/cancellation_catch_up.h"

#include <algorithm>
#include <utility>

namespace greengage::coordination {

using state::ProcessId;
using std::chrono::milliseconds;

namespace {

/**
 * Longest wait of an entry without peers, or whose peers do not answer. Other
 * entries are found within 100 to 200 ms, and answer within some milliseconds.
 */
constexpr milliseconds kMaxWait{ 500 };
/**
 * Wait for an entry that knows all, if those that were found have answered and
 * do not: the whole fleet starts.
 */
constexpr milliseconds kMaxWaitForComplete{ 200 };
/** Time to answer of the first entry that is found, even if it is late. */
constexpr milliseconds kAnswerWait{ 300 };
/**
 * Longest wait after this entry was cut off from all others. The membership
 * searches lost processes every 2 s.
 */
constexpr milliseconds kMaxWaitAfterIsolation{ 2500 };
/** Wait for the answer of each further entry after a complete one. */
constexpr milliseconds kMaxWaitForOthers{ 100 };
/** Time without an answer after which another entry is asked. */
constexpr milliseconds kSourceTimeout{ 150 };
/**
 * Entries that are asked for all that they know. One that knows all suffices;
 * one of them may be paused and another one may be starting.
 */
constexpr std::size_t kSources = 3;

}

const char*
ToString(CatchUpReason aReason)
{
  switch (aReason) {
    case CatchUpReason::eStart:
      return "start";
    case CatchUpReason::eSilence:
      return "silence";
    case CatchUpReason::eReturn:
      return "return";
  }
  return "unknown";
}

CancellationCatchUp::CancellationCatchUp(const state::Clock& aClock,
                                         CatchUpHooks aHooks)
  : clock_(aClock)
  , hooks_(std::move(aHooks))
  , beganAt_(aClock.MonotonicNow())
  , deadline_(beganAt_ + kMaxWait)
{
}

void
CancellationCatchUp::OnEntry(const ProcessId& aEntry)
{
  missing_.erase(aEntry);
  if (!entries_.insert(aEntry).second) {
    return;
  }
  if (entries_.size() == 1) {
    deadline_ = std::max(deadline_, clock_.MonotonicNow() + kAnswerWait);
  }
  AskSources();
}

void
CancellationCatchUp::OnEntryLost(const ProcessId& aEntry)
{
  entries_.erase(aEntry);
  sources_.erase(aEntry);
  AskSources();
  EndIfPossible();
}

void
CancellationCatchUp::OnEntryDisconnected(const ProcessId& aEntry)
{
  auto source = sources_.find(aEntry);
  if (source != sources_.end() && !source->second.hasEnded) {
    const CatchUpRequest request = source->second.request;
    Ask(aEntry, request.after, request.ownOnly);
  }
}

void
CancellationCatchUp::Begin(CatchUpReason aReason, std::set<ProcessId> aMissing)
{
  reason_ = aReason;
  beganAt_ = clock_.MonotonicNow();
  deadline_ = beganAt_ + (aMissing.empty() ? kMaxWait : kMaxWaitAfterIsolation);
  missing_ = std::move(aMissing);
  sources_.clear();
  firstCompleteAt_.reset();
  holds_ = true;
  isComplete_ = false;
  AskSources();
}

void
CancellationCatchUp::OnPage(const ProcessId& aFrom, const CatchUpPage& aPage)
{
  auto found = sources_.find(aFrom);
  if (found == sources_.end() || found->second.hasEnded ||
      found->second.request.number != aPage.number) {
    return;
  }
  Source& source = found->second;
  // A page that does not go on would be requested again without end.
  if (aPage.hasMore && aPage.last > source.request.after) {
    Ask(aFrom, aPage.last, source.request.ownOnly);
    return;
  }
  source.hasEnded = true;
  source.isSilent = false;
  source.isComplete = aPage.isComplete && !source.request.ownOnly;
  isComplete_ = isComplete_ || source.isComplete || !holds_;
  if (source.isComplete && !firstCompleteAt_) {
    firstCompleteAt_ = clock_.MonotonicNow();
  }
  EndIfPossible();
}

void
CancellationCatchUp::Tick()
{
  auto now = clock_.MonotonicNow();
  for (auto& [entry, source] : sources_) {
    source.isSilent =
      source.isSilent ||
      (!source.hasEnded && now - source.askedAt > kSourceTimeout);
  }
  AskSources();
  EndIfPossible();
}

void
CancellationCatchUp::AskSources()
{
  bool isCatchingUp = holds_ || !isComplete_;
  auto answering =
    std::count_if(sources_.begin(), sources_.end(), [](const auto& aSource) {
      const Source& source = aSource.second;
      return !source.request.ownOnly && !source.isSilent &&
             (!source.hasEnded || source.isComplete);
    });
  for (const ProcessId& entry : entries_) {
    auto source = sources_.find(entry);
    bool isNew = source == sources_.end();
    bool mayKnowAll =
      isNew || (source->second.request.ownOnly && !source->second.isSilent);
    bool isNeeded =
      isCatchingUp && static_cast<std::size_t>(answering) < kSources;
    if (mayKnowAll && isNeeded) {
      Ask(entry, 0, false);
      ++answering;
    } else if (isNew) {
      Ask(entry, 0, true);
    }
  }
}

void
CancellationCatchUp::Ask(const ProcessId& aEntry,
                         std::uint64_t aAfter,
                         bool aOwnOnly)
{
  Source& source = sources_[aEntry];
  source.request = { ++lastRequest_, aAfter, aOwnOnly };
  source.askedAt = clock_.MonotonicNow();
  source.hasEnded = false;
  hooks_.request(aEntry, source.request);
}

bool
CancellationCatchUp::HasWaitedEnough() const
{
  auto now = clock_.MonotonicNow();
  if (now >= deadline_) {
    return true;
  }
  bool mayEnd = firstCompleteAt_ ||
                (!sources_.empty() && now - beganAt_ >= kMaxWaitForComplete);
  if (!mayEnd || !missing_.empty()) {
    return false;
  }
  auto limit = firstCompleteAt_ ? kMaxWaitForOthers : kMaxWait;
  return std::none_of(
    sources_.begin(), sources_.end(), [&](const auto& aSource) {
      const Source& source = aSource.second;
      return !source.hasEnded && now - source.askedAt < limit;
    });
}

void
CancellationCatchUp::EndIfPossible()
{
  if (!holds_ || !HasWaitedEnough()) {
    return;
  }
  CatchUpRecord record = MakeRecord();
  holds_ = false;
  // If no entry knows all, what the answers contained is all that is known.
  isComplete_ = isComplete_ || entries_.empty() || record.answered > 0;
  if (hooks_.ended) {
    hooks_.ended(record);
  }
}

CatchUpRecord
CancellationCatchUp::MakeRecord() const
{
  CatchUpRecord record;
  record.reason = reason_;
  record.waited =
    std::chrono::duration_cast<milliseconds>(clock_.MonotonicNow() - beganAt_);
  record.asked = sources_.size();
  record.answered = static_cast<std::size_t>(
    std::count_if(sources_.begin(), sources_.end(), [](const auto& aSource) {
      return aSource.second.hasEnded;
    }));
  record.isComplete = isComplete_;
  return record;
}

}
