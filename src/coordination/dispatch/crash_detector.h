#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/dispatch/dispatch_messages.h"
#include "state/clock.h"

namespace greengage::coordination {

/** What shows that an incarnation of a server has crashed. */
enum class CrashEvidence : std::uint8_t
{
  /** A later incarnation answered or announced itself. */
  eLaterIncarnation,
  /** The server refused connections until the leases of runs had expired. */
  eRefusedUntilLeaseEnd,
};

/** Returns the name for log lines. */
const char*
ToString(CrashEvidence aEvidence);

/** Record of a detected crash, for the log. */
struct CrashRecord
{
  std::string server;
  /** Start time of the crashed incarnation, as the server states it. */
  std::uint64_t born = 0;
  CrashEvidence evidence = CrashEvidence::eLaterIncarnation;
  /** Time since the first refused connection or the last answer. */
  std::chrono::milliseconds age{ 0 };
  /** Number under which the crash is reported to the entries. */
  std::uint64_t number = 0;
  std::vector<CrashSuspect> suspects;
};

/**
 * Decides whether the present incarnation of a server has crashed. Calls
 * without an answer are no evidence, because a cut of the network and a paused
 * agent look the same. An announced end is no crash. Used by the control thread
 * only.
 */
class CrashDetector
{
public:
  explicit CrashDetector(const state::Clock& aClock)
    : clock_(aClock)
  {
  }

  /** Records the time at which an answered renewal or start was sent. */
  void OnAnswered(state::MonotonicTime aSentAt);
  /** Records the time at which a call was sent that found no listener. */
  void OnConnectionRefused(state::MonotonicTime aSentAt);
  /** Records the time at which a call without an answer was sent. */
  void OnNoAnswer(state::MonotonicTime aSentAt);
  /** Records that the incarnation announced its end. */
  void OnLeave() { hasLeft_ = true; }
  /** Records whether the incarnation announces that it drains. */
  void OnAnnouncement(bool aDraining) { isDraining_ = aDraining; }
  /** Resets the state for a new incarnation. */
  void OnNewIncarnation();

  /**
   * Returns true if the evidence shows a crash of this incarnation that was not
   * recorded yet, provided that it had runs.
   */
  bool IsCrash(CrashEvidence aEvidence) const;
  /** Records the crash; the incarnation has no other. */
  void OnRecorded() { isRecorded_ = true; }

  /** Returns the time since the first refused connection or last answer. */
  std::chrono::milliseconds Age() const;
  /** Returns true if a call sent at this time may have reached the server. */
  bool MayHaveReceived(state::MonotonicTime aSentAt) const
  {
    return !refusedSince_ || aSentAt < *refusedSince_;
  }

private:
  const state::Clock& clock_;
  bool hasLeft_ = false;
  bool isDraining_ = false;
  bool isRecorded_ = false;
  std::optional<state::MonotonicTime> answeredAt_;
  /** First and last of the refused calls in a row. */
  std::optional<state::MonotonicTime> refusedSince_;
  std::optional<state::MonotonicTime> refusedAt_;
};

}
