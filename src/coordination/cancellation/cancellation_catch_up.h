#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "coordination/dispatch/dispatch_messages.h"
#include "state/clock.h"
#include "state/process_id.h"

namespace greengage::coordination {

/** Why an entry may not know all cancelled jobs. */
enum class CatchUpReason : std::uint8_t
{
  eStart,
  /** Nothing was heard for a while: the process was paused or cut off. */
  eSilence,
  /** An entry that was lost has returned: one of the two was cut off. */
  eReturn,
};

/** Returns the name for log lines. */
const char*
ToString(CatchUpReason aReason);

/** Record of a catch-up, at the time from which jobs may be placed again. */
struct CatchUpRecord
{
  CatchUpReason reason = CatchUpReason::eStart;
  std::chrono::milliseconds waited{ 0 };
  /** Entries that were asked, and those that sent all that they know. */
  std::size_t asked = 0;
  std::size_t answered = 0;
  /** True if one of them knows all cancelled jobs. */
  bool isComplete = false;

  auto operator<=>(const CatchUpRecord&) const = default;
};

struct CatchUpHooks
{
  std::function<void(const state::ProcessId&, const CatchUpRequest&)> request;
  /** Called when jobs may be placed again. */
  std::function<void(const CatchUpRecord&)> ended;
};

/**
 * Lets an entry learn the cancelled jobs that it may have missed from other
 * entries, before it places a job. The wait is bounded. Used by the control
 * thread only.
 */
class CancellationCatchUp
{
public:
  CancellationCatchUp(const state::Clock& aClock, CatchUpHooks aHooks);

  void OnEntry(const state::ProcessId& aEntry);
  void OnEntryLost(const state::ProcessId& aEntry);
  /** Handles a lost connection, with which a request may have been lost. */
  void OnEntryDisconnected(const state::ProcessId& aEntry);
  /**
   * Begins to catch up again; the wait for answers begins now.
   * @param aMissing entries that were lost while this one was cut off from all
   * others; they do not inform this one before they have found it again
   */
  void Begin(CatchUpReason aReason, std::set<state::ProcessId> aMissing = {});
  /** The cancelled jobs of the page must have been recorded before. */
  void OnPage(const state::ProcessId& aFrom, const CatchUpPage& aPage);
  /** Must be called every 25 ms. */
  void Tick();

  /** Returns true while no job may be placed. */
  bool Holds() const { return holds_; }
  /** Returns true if this entry is taken to know all cancelled jobs. */
  bool IsComplete() const { return isComplete_; }

private:
  /** An entry that is asked for what it knows. */
  struct Source
  {
    CatchUpRequest request;
    state::MonotonicTime askedAt;
    bool hasEnded = false;
    /** True if the entry has not answered in time. */
    bool isSilent = false;
    bool isComplete = false;
  };

  /**
   * Asks each entry for the jobs that were cancelled there, and some for all
   * that they know. An entry that was asked knows of this one, and informs it
   * before it acknowledges a later cancellation.
   */
  void AskSources();
  void Ask(const state::ProcessId& aEntry, std::uint64_t aAfter, bool aOwnOnly);
  bool HasWaitedEnough() const;
  /** Ends the wait if the answers suffice or its time is over. */
  void EndIfPossible();
  CatchUpRecord MakeRecord() const;

  const state::Clock& clock_;
  CatchUpHooks hooks_;
  std::set<state::ProcessId> entries_;
  std::map<state::ProcessId, Source> sources_;
  std::uint64_t lastRequest_ = 0;
  CatchUpReason reason_ = CatchUpReason::eStart;
  state::MonotonicTime beganAt_;
  /** Latest end of the wait. */
  state::MonotonicTime deadline_;
  std::set<state::ProcessId> missing_;
  /** Time of the first answer of an entry that knows all. */
  std::optional<state::MonotonicTime> firstCompleteAt_;
  bool holds_ = true;
  bool isComplete_ = false;
};

}
