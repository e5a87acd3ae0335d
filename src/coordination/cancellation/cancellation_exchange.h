#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "coordination/cancellation/cancellation_catch_up.h"
#include "coordination/cancellation/cancelled_jobs.h"
#include "coordination/dispatch/dispatch_messages.h"
#include "state/clock.h"
#include "state/process_id.h"

namespace greengage::coordination {

/** What can be said to the caller that cancelled a job. */
enum class CancellationResult : std::uint8_t
{
  /** Every entry that can be reached, or none exists, knows of it. */
  eConfirmed,
  /** At least one other entry knows of it; others did not answer in time. */
  ePartlyConfirmed,
  /** There are other entries, and none has confirmed it. */
  eUnconfirmed,
};

/** Returns the name for log lines. */
const char*
ToString(CancellationResult aResult);

/** Record of a cancellation that was answered. */
struct CancellationRecord
{
  state::DispatchJobId job;
  CancellationResult result = CancellationResult::eConfirmed;
  std::chrono::milliseconds waited{ 0 };
  /** Number of other entries that were known, and that had confirmed it. */
  std::size_t entries = 0;
  std::size_t confirmed = 0;

  auto operator<=>(const CancellationRecord&) const = default;
};

struct CancellationHooks
{
  /** Sends a message, which is lost if its connection ends. */
  std::function<void(const state::ProcessId& aEntry, const EntryNews&)> send;
  std::function<void(const CancellationRecord&)> answered;
  /** Called when jobs may be placed again. */
  std::function<void(const CatchUpRecord&)> caughtUp;
};

/**
 * Makes a cancellation known to the other entries before it is acknowledged,
 * and lets this entry catch up with those that it may have missed. An entry
 * sends the jobs that were cancelled here to every other entry, and each
 * confirms them by number. Several cancellations share one message. Used by the
 * control thread only.
 */
class CancellationExchange
{
public:
  using AnswerFunction = std::function<void(CancellationResult)>;

  /** @param aJobs the table of this process */
  CancellationExchange(const state::Clock& aClock,
                       CancelledJobs& aJobs,
                       CancellationHooks aHooks);

  void OnEntry(const state::ProcessId& aEntry);
  void OnEntryLost(const state::ProcessId& aEntry);
  /** Handles a lost connection, with which messages may have been lost. */
  void OnEntryDisconnected(const state::ProcessId& aEntry);
  /**
   * Records that a message of any process has arrived. After a silence, in
   * which this process was paused or cut off, it catches up.
   */
  void OnHeard();

  /**
   * Makes a job known that a caller cancelled here, and calls aAnswer once:
   * at once if there is no other entry.
   */
  void Cancel(state::DispatchJobId aJob, AnswerFunction aAnswer);
  /**
   * Handles what belongs to this exchange. The cancelled jobs of the message
   * must have been recorded in the table, and their runs stopped, before.
   */
  void OnNews(const state::ProcessId& aFrom, const EntryNews& aNews);
  /** Must be called every 25 ms. */
  void Tick();

  /** Returns false while this entry may not know all cancelled jobs. */
  bool MayPlace() const { return !catchUp_.Holds(); }
  std::size_t PendingCount() const { return pending_.size(); }

private:
  /** Another entry, and what it was sent of the jobs cancelled here. */
  struct Peer
  {
    /** Number of the table up to which the jobs were sent. */
    std::uint64_t sent = 0;
    state::MonotonicTime foundAt;
    /** Number up to which they are recorded there. */
    std::uint64_t confirmed = 0;
    state::MonotonicTime sentAt;
    /** Time since which something that was sent is not confirmed. */
    std::optional<state::MonotonicTime> unconfirmedSince;
    /** True once the peer has used the messages of this exchange. */
    bool takesPart = false;
    /** True if the peer seems to run the previous version. */
    bool isOld = false;
  };

  struct Pending
  {
    state::DispatchJobId job;
    std::uint64_t number = 0;
    state::MonotonicTime since;
    AnswerFunction answer;
  };

  /** Numbers up to which the jobs cancelled here are confirmed. */
  struct Coverage
  {
    /** By every entry that is waited for. */
    std::uint64_t byAll = 0;
    std::uint64_t byAny = 0;
  };

  bool IsSilent() const;
  /** Entries that were lost since this process heard of any process. */
  std::set<state::ProcessId> LostInSilence() const;
  /** Returns true if this entry, not all others, seems to be cut off. */
  bool IsCutOff() const;
  std::chrono::milliseconds SendInterval() const;
  void SendOwn(const state::ProcessId& aEntry, Peer& aPeer);
  /** Sends again what a peer has not confirmed for long. */
  void RepeatUnconfirmed(const state::ProcessId& aEntry, Peer& aPeer);
  void FindOldVersion(Peer& aPeer) const;
  Coverage FindCoverage() const;
  void OnConfirmed(Peer& aPeer, std::uint64_t aNumber);
  void AnswerCatchUp(const state::ProcessId& aFrom,
                     const CatchUpRequest& aRequest);
  /** Returns the result if the cancellation can be answered now. */
  std::optional<CancellationResult> ResultOf(const Pending& aPending,
                                             const Coverage& aCoverage) const;
  void AnswerPending();
  CancellationRecord MakeRecord(const Pending& aPending,
                                CancellationResult aResult) const;

  const state::Clock& clock_;
  CancelledJobs& jobs_;
  CancellationHooks hooks_;
  CancellationCatchUp catchUp_;
  std::map<state::ProcessId, Peer> peers_;
  /** Entries that were lost, and when; some may return. */
  std::map<state::ProcessId, state::MonotonicTime> former_;
  std::vector<Pending> pending_;
  state::MonotonicTime heardAt_;
};

}
