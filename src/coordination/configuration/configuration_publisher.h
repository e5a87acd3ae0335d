#pragma once

#include <deque>
#include <functional>
#include <optional>

#include "coordination/configuration/configuration_fold.h"
#include "state/clock.h"
#include "state/job_outcome.h"

namespace greengage::coordination {

/** A publication ends within this time, also if the log is unavailable. */
inline constexpr std::chrono::milliseconds kPublishTimeout{ 3000 };

/** Limit of publications that are pending; more are refused. */
inline constexpr std::size_t kMaxPendingProposals = 256;

/** Result of the publication of one record. */
struct PublishOutcome
{
  /** eNone if the record took effect. */
  state::RefusalCode code = state::RefusalCode::eNone;
  /** Whether a failed change may still take effect. */
  state::RunState run = state::RunState::eNotRun;
  std::string message;
  /**
   * The version after the change; after a conflict the current version, which
   * the change has to be based on.
   */
  std::uint64_t version = 0;

  bool operator==(const PublishOutcome&) const = default;
};

using PublishDone = std::function<void(const PublishOutcome&)>;

struct ConfigurationPublisherHooks
{
  /**
   * Appends a record to the log at the expected offset. The result arrives
   * through OnAppended() with the same ticket.
   */
  std::function<void(std::uint64_t aTicket,
                     std::uint64_t aExpectedOffset,
                     const LogContent& aContent)>
    append;
  /** Requests a read up to the end of the log. */
  std::function<void()> readLog;
};

/**
 * Appends records to the log one after another. Each append names the offset
 * up to which the record was checked for conflicts, so that it fails if
 * another record was appended in between. If the reply to an append is lost,
 * the append is retried with the same expected offset, so that the record
 * takes effect at most once. Used by the control thread only.
 */
class ConfigurationPublisher
{
public:
  ConfigurationPublisher(const state::Clock& aClock,
                         ConfigurationPublisherHooks aHooks);

  /** Adds a record to the queue. aDone is called once, within kPublishTimeout.
   */
  void Propose(LogContent aContent, PublishDone aDone);

  /** Appends a new copy of a live record before the log drops it. */
  void Carry(const PositionedRecord& aRecord);

  void OnReadStarted() { ++readsStarted_; }
  /**
   * A read has reached the end of the log.
   * @param aFold contains all records up to that end
   */
  void OnCaughtUp(const ConfigurationFold& aFold);
  void OnAppended(std::uint64_t aTicket, AppendStatus aStatus);

  /**
   * Ends proposals that have a result, sends the append that is due, and ends
   * overdue proposals.
   */
  void Advance(const ConfigurationFold& aFold);
  /**
   * Ends overdue proposals only. For a process whose fold is not up to date
   * with the log.
   */
  void EndOverdue();

  bool IsIdle() const { return proposals_.empty(); }

private:
  enum class ProposalStatus : std::uint8_t
  {
    /** The record would take effect if it were the next one in the log. */
    eAppendable,
    /** The log contains the record and it took effect. */
    eApplied,
    /** Another record prevents this one from taking effect. */
    eConflict,
  };

  struct Proposal
  {
    std::uint64_t ticket = 0;
    LogContent content;
    PublishDone done;
    state::MonotonicTime deadline;
    state::MonotonicTime nextAttempt;
    std::chrono::milliseconds backoff{ 0 };
    /**
     * Number of reads started before the proposal or its last append conflict.
     * A conflict is only reported after a read that started later.
     */
    std::uint64_t earlierReads = 0;
    /** Whether such a later read has reached the end of the log. */
    bool laterReadFinished = false;
    bool inFlight = false;
    /**
     * Expected offset of the last append, until the fold shows another record
     * at that offset.
     */
    std::optional<std::uint64_t> attemptedOffset;
    /** A reply to an append at attemptedOffset was lost. */
    bool uncertain = false;
    /**
     * The log holds a record at attemptedOffset. The next read shows whether it
     * is this one.
     */
    bool offsetTaken = false;
    bool appended = false;
    /**
     * For a carried record: position of its newest copy at the time of the
     * proposal.
     */
    std::optional<state::RecordPosition> carriedFrom;
  };

  void Add(LogContent aContent,
           PublishDone aDone,
           std::optional<state::RecordPosition> aCarriedFrom);
  /**
   * Ends the first proposal or sends its append, whichever is possible.
   * Returns true if the proposal ended.
   */
  bool AdvanceFirst(const ConfigurationFold& aFold);
  void Send(Proposal& aProposal, std::uint64_t aExpectedOffset);
  ProposalStatus Evaluate(const Proposal& aProposal,
                          const ConfigurationFold& aFold) const;
  void Finish(std::size_t aIndex, const PublishOutcome& aOutcome);

  const state::Clock& clock_;
  ConfigurationPublisherHooks hooks_;
  std::deque<Proposal> proposals_;
  std::uint64_t lastTicket_ = 0;
  std::uint64_t readsStarted_ = 0;
};

}
