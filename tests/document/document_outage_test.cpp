#include <map>

#include <gtest/gtest.h>

#include "coordination/document/document_follower.h"
#include "coordination/simulation/virtual_clock.h"

// A follower and a log that does not answer for some time.
namespace greengage::coordination {
namespace {

using std::chrono::milliseconds;

/** A change must take effect within this time of its acknowledgement. */
constexpr milliseconds kApplyBound{ 2000 };
/** Interval of the follower's ticks in the programs. */
constexpr milliseconds kTickPeriod{ 50 };
constexpr milliseconds kLogLatency{ 4 };

/**
 * A log with one record for each document, in virtual time. A read that begins
 * or is in progress during an outage is never answered.
 */
class LogWithOutage
{
public:
  LogWithOutage(milliseconds aOutageBegin, milliseconds aOutageEnd)
    : outageBegin_(aOutageBegin)
    , outageEnd_(aOutageEnd)
  {
  }

  DocumentFollowerHooks Hooks()
  {
    DocumentFollowerHooks hooks;
    hooks.readNewest =
      [this](milliseconds aTimeout,
             const std::function<void(DocumentFollowerHooks::Newest)>& aDone) {
        ++reads_;
        Answer(aTimeout, [this, aDone](bool aAnswered) {
          if (!aAnswered) {
            aDone(tl::unexpected(DocumentReadError::eUnavailable));
            return;
          }
          aDone(NewestDocument{ std::to_string(end_), end_ });
        });
      };
    hooks.readSince =
      [this](std::uint64_t aFrom,
             const DocumentReadLimits& aLimits,
             const std::function<void(DocumentFollowerHooks::Page)>& aDone) {
        ++reads_;
        if (end_ > aFrom || aLimits.wait.count() == 0) {
          AnswerPage(aFrom, aLimits.timeout, aDone);
          return;
        }
        poll_ = { aFrom, now_ + aLimits.wait, now_ + aLimits.timeout, aDone };
      };
    hooks.document = [this](const std::string&) { documentAt_ = now_; };
    hooks.availability = [](bool) {};
    return hooks;
  }

  /** Appends a document, with which a waiting read is answered. */
  void Append() { ++end_; }

  void Step(DocumentFollower& aFollower)
  {
    now_ += milliseconds(1);
    if (poll_.done) {
      StepPoll();
    }
    for (auto due = pending_.begin();
         due != pending_.end() && due->first <= now_;
         due = pending_.begin()) {
      auto done = std::move(due->second);
      pending_.erase(due);
      done();
    }
    if (now_ % kTickPeriod == milliseconds(0)) {
      aFollower.Tick();
    }
  }

  milliseconds Now() const { return now_; }
  const state::Clock& Clock() const { return clock_; }
  unsigned Reads() const { return reads_; }
  /** Time at which the last document was read. */
  milliseconds DocumentAt() const { return documentAt_; }

private:
  struct LongPoll
  {
    std::uint64_t from = 0;
    milliseconds waitEnd{ 0 };
    milliseconds timeoutAt{ 0 };
    std::function<void(DocumentFollowerHooks::Page)> done;
  };

  bool IsOut() const { return now_ >= outageBegin_ && now_ < outageEnd_; }

  /** Calls aDone after the latency, or with false after the timeout. */
  void Answer(milliseconds aTimeout, const std::function<void(bool)>& aDone)
  {
    bool answers = !IsOut();
    pending_.emplace(now_ + (answers ? kLogLatency : aTimeout),
                     [answers, aDone] { aDone(answers); });
  }

  void AnswerPage(std::uint64_t aFrom,
                  milliseconds aTimeout,
                  const std::function<void(DocumentFollowerHooks::Page)>& aDone)
  {
    Answer(aTimeout, [this, aFrom, aDone](bool aAnswered) {
      if (!aAnswered) {
        aDone(tl::unexpected(DocumentReadError::eUnavailable));
        return;
      }
      DocumentPage page;
      for (auto offset = aFrom; offset < end_; ++offset) {
        page.documents.push_back(std::to_string(offset));
      }
      page.nextOffset = std::max(aFrom, end_);
      aDone(page);
    });
  }

  void StepPoll()
  {
    if (IsOut()) {
      // The answer is lost, also if the outage ends before it is due.
      poll_.waitEnd = milliseconds::max();
      poll_.from = ~std::uint64_t{ 0 };
    }
    if (now_ >= poll_.timeoutAt) {
      auto done = std::exchange(poll_, {}).done;
      done(tl::unexpected(DocumentReadError::eUnavailable));
    } else if (end_ > poll_.from || now_ >= poll_.waitEnd) {
      LongPoll poll = std::exchange(poll_, {});
      AnswerPage(poll.from, poll.timeoutAt - now_, poll.done);
    }
  }

  milliseconds outageBegin_;
  milliseconds outageEnd_;
  milliseconds now_{ 1000 };
  simulation::VirtualClock clock_{ now_, {} };
  std::uint64_t end_ = 1;
  unsigned reads_ = 0;
  LongPoll poll_;
  std::multimap<milliseconds, std::function<void()>> pending_;
  milliseconds documentAt_{ 0 };
};

/**
 * Returns how long a follower takes to read a document that is appended right
 * after an outage.
 */
milliseconds
DelayAfterOutage(milliseconds aOutageBegin, milliseconds aLength)
{
  LogWithOutage log(aOutageBegin, aOutageBegin + aLength);
  DocumentFollower follower(log.Clock(), log.Hooks());
  while (log.Now() < aOutageBegin + aLength) {
    log.Step(follower);
  }
  log.Append();
  auto appendedAt = log.Now();
  while (log.DocumentAt() < appendedAt &&
         log.Now() < appendedAt + milliseconds(10'000)) {
    log.Step(follower);
  }
  return log.Now() - appendedAt;
}

// Guards against a follower that misses a change after an outage, because it
// still waits for the answer to a long poll that began before the outage ended.
TEST(DocumentOutageTest, ChangeAfterAnOutageIsReadInTime)
{
  for (milliseconds length : { milliseconds(20),
                               milliseconds(500),
                               milliseconds(1700),
                               milliseconds(4200),
                               milliseconds(9000) }) {
    milliseconds worst{ 0 };
    milliseconds worstBegin{ 0 };
    // The outage begins at each phase of a long poll.
    for (milliseconds begin{ 5000 }; begin < milliseconds(9500);
         begin += milliseconds(20)) {
      auto delay = DelayAfterOutage(begin, length);
      if (delay > worst) {
        worst = delay;
        worstBegin = begin;
      }
    }
    EXPECT_LE(worst, kApplyBound)
      << "outage of " << length.count() << " ms, which begins at "
      << worstBegin.count() << " ms";
  }
}

// Guards against frequent reads during an outage, each of which is billed.
TEST(DocumentOutageTest, ReadsDuringAnOutageAreBounded)
{
  LogWithOutage log(milliseconds(5000), milliseconds(65'000));
  DocumentFollower follower(log.Clock(), log.Hooks());
  while (log.Now() < milliseconds(5000)) {
    log.Step(follower);
  }
  auto before = log.Reads();
  while (log.Now() < milliseconds(65'000)) {
    log.Step(follower);
  }
  EXPECT_LE(log.Reads() - before, 2u * 60u);
}

}
}
