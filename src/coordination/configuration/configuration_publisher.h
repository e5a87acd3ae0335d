#pragma once

#include <deque>
#include <functional>
#include <optional>

#include "coordination/configuration/configuration_fold.h"
#include "state/clock.h"
#include "state/job_outcome.h"

namespace greengage::coordination {

/** A publication is answered within this time, whatever the log does. */
inline constexpr std::chrono::milliseconds kPublishWait{ 3000 };

/** Publications that wait for the log; more are refused. */
inline constexpr std::size_t kMaxWaitingProposals = 256;

/** How the attempt to append one record ended. */
struct PublishOutcome
{
  /** eNone if the record is in force. */
  state::RefusalCode code = state::RefusalCode::eNone;
  /** Whether a failed change may still come into force. */
  state::RunState run = state::RunState::eNotRun;
  std::string message;
  /** The new version, or the present one of the key after a conflict. */
  std::uint64_t version = 0;

  bool operator==(const PublishOutcome&) const = default;
};

using PublishDone = std::function<void(const PublishOutcome&)>;

struct ConfigurationPublisherHooks
{
  /** Answered by OnAppended() with the same ticket. */
  std::function<void(std::uint64_t aTicket,
                     std::uint64_t aExpectedOffset,
                     const LogContent& aContent)>
    append;
  /** Asks for a read up to the end of the log. */
  std::function<void()> readLog;
};

/**
 * Appends records one after another, each with the offset at which it was
 * checked, so that no other record can come between check and append. A record
 * whose answer was lost is repeated with the same expected offset only, which
 * can take effect once at most. Used by the control thread only.
 */
class ConfigurationPublisher
{
public:
  ConfigurationPublisher(const state::Clock& aClock,
                         ConfigurationPublisherHooks aHooks);

  /** aDone is called once, within kPublishWait. */
  void Propose(LogContent aContent, PublishDone aDone);

  /** Repeats a live record whose newest copy is at the given position. */
  void Carry(const PositionedRecord& aRecord);

  void OnReadStarted() { ++readsStarted_; }
  /** aFold holds everything up to the end of the log at the last read. */
  void OnCaughtUp(const ConfigurationFold& aFold);
  void OnAppended(std::uint64_t aTicket, AppendStatus aStatus);

  /** Sends what can be sent and ends what waited too long. */
  void Advance(const ConfigurationFold& aFold);
  /** Only ends what waited too long; for a process without a usable fold. */
  void EndOverdue();

  bool IsIdle() const { return proposals_.empty(); }

private:
  enum class Verdict : std::uint8_t
  {
    ePossible,
    eInForce,
    eConflict,
  };

  struct Proposal
  {
    std::uint64_t ticket = 0;
    LogContent content;
    PublishDone done;
    state::MonotonicTime due;
    state::MonotonicTime nextAttempt;
    std::chrono::milliseconds backOff{ 0 };
    /** A conflict counts only after a read that started later than this. */
    std::uint64_t readBefore = 0;
    bool readFinished = false;
    bool inFlight = false;
    /** Offset of the last attempt, until the fold passes it. */
    std::optional<std::uint64_t> attemptedAt;
    /** Some answer of that attempt was lost. */
    bool uncertain = false;
    /** The log holds a record at that offset; only a read is missing. */
    bool offsetTaken = false;
    bool appended = false;
    /** Newest copy of a carried record when it was proposed. */
    std::optional<state::RecordPosition> carriedFrom;
  };

  void Add(LogContent aContent,
           PublishDone aDone,
           std::optional<state::RecordPosition> aCarriedFrom);
  /** True if the first proposal has ended. */
  bool AdvanceFirst(const ConfigurationFold& aFold);
  void Send(Proposal& aProposal, std::uint64_t aExpectedOffset);
  Verdict Judge(const Proposal& aProposal,
                const ConfigurationFold& aFold) const;
  void Finish(std::size_t aIndex, const PublishOutcome& aOutcome);

  const state::Clock& clock_;
  ConfigurationPublisherHooks hooks_;
  std::deque<Proposal> proposals_;
  std::uint64_t lastTicket_ = 0;
  std::uint64_t readsStarted_ = 0;
};

}
