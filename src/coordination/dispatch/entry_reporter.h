#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "coordination/dispatch/crash_log.h"
#include "coordination/dispatch/dispatch_messages.h"
#include "coordination/dispatch/late_starts.h"
#include "coordination/dispatch/order_contact.h"
#include "coordination/dispatch/report_period.h"
#include "state/clock.h"
#include "state/process_id.h"

namespace greengage::coordination {

/**
 * Sends the reports of an agent to each entry: ends and forecasts of runs and
 * crashes of the server immediately, the used capacity of the server at a
 * bounded rate, and the description of the server periodically. Used by the
 * control thread only.
 */
class EntryReporter
{
public:
  using SendFunction =
    std::function<void(const state::ProcessId& aEntry, const ServerReport&)>;
  /** Returns the condition and used capacity to report to one entry. */
  using StatusFunction = std::function<ServerReport(const state::ProcessId&)>;

  EntryReporter(const state::Clock& aClock,
                StatusFunction aStatus,
                SendFunction aSend);

  /** @param aSameDataCentre if true, capacity is reported more often */
  void AddEntry(const state::ProcessId& aEntry, bool aSameDataCentre);
  void RemoveEntry(const state::ProcessId& aEntry) { entries_.erase(aEntry); }
  bool Contains(const state::ProcessId& aEntry) const
  {
    return entries_.contains(aEntry);
  }
  /**
   * Sends a last report to an entry, which states that it gets no more. Returns
   * false if the entry is not known.
   */
  bool ReleaseEntry(const state::ProcessId& aEntry);
  /**
   * Records a message of the entry.
   * @param aReportPeriod 0: unchanged
   */
  void OnMessage(const state::ProcessId& aEntry,
                 const OrderContact& aContact,
                 std::chrono::milliseconds aReportPeriod);
  /**
   * Records that the entry places work here. Reports to it are repeated for
   * some seconds, so that its next order is recent enough to be accepted.
   */
  void OnStartOrdered(const state::ProcessId& aEntry);
  /** Answers a message of the entry with a report, as a heartbeat. */
  void SendAnswer(const state::ProcessId& aEntry);
  /**
   * Returns the latest time that a message of the entry confirmed; empty if
   * there was none.
   */
  std::optional<state::MonotonicTime> ConfirmedAt(
    const state::ProcessId& aEntry) const;
  /** Returns true if no message of the entry was sent within this time. */
  bool HasTimedOut(const state::ProcessId& aEntry,
                   std::chrono::milliseconds aLimit) const;

  /**
   * Records that messages to the entry may have been lost. Its next message
   * shows that a connection exists again; the crashes are then reported again.
   */
  void OnDisconnected(const state::ProcessId& aEntry);
  /**
   * The next urgent reports contain the description.
   * @param aDescription empty if there is no server
   */
  void SetDescription(const std::optional<ServerDescription>& aDescription);
  void AddEnd(const state::ProcessId& aEntry, const RunEnd& aEnd);
  void AddForecast(const state::ProcessId& aEntry,
                   const RunForecast& aForecast);
  void AddUncertainStart(const state::ProcessId& aEntry,
                         const UncertainStart& aStart);
  /** Replaces the tasks that the entries must hold; see late_starts.h. */
  void SetHeldTasks(HeldTasks aTasks);
  /** Adds a crash to the next report to each entry; returns its number. */
  std::uint64_t AddCrash(std::vector<CrashSuspect> aSuspects);
  /**
   * Repeats the description in the next report to an entry that may have missed
   * it, at a bounded rate.
   */
  void RepeatDescription(const state::ProcessId& aEntry);
  /** Marks the used capacity or the condition of the server as changed. */
  void MarkChanged();

  /**
   * Sends reports with ended runs, forecasts, uncertain starts, crashes or a
   * changed description.
   */
  void SendUrgent() { SendDue(true); }
  /** Sends all reports that are due. */
  void Send() { SendDue(false); }

private:
  struct Entry
  {
    bool sameDataCentre = false;
    std::chrono::milliseconds reportPeriod = kShortestReportPeriod;
    /** Latest time that a message of the entry confirmed, if any. */
    std::optional<state::MonotonicTime> confirmedAt;
    std::optional<state::MonotonicTime> startOrderedAt;
    state::MonotonicTime reportedAt;
    bool hasChanged = true;
    /** Empty if the current description has not been sent yet. */
    std::optional<state::MonotonicTime> descriptionSentAt;
    std::vector<RunEnd> ends;
    std::vector<RunForecast> forecasts;
    std::vector<UncertainStart> uncertainStarts;
    /** Number of the newest crash that was sent. */
    std::uint64_t crashSent = 0;
    /** Number of the newest holds that were sent. */
    std::uint64_t holdsSent = 0;
    /** True if sent crashes and holds may have been lost. */
    bool wasDisconnected = false;
    /** True for the last report to the entry. */
    bool isReleased = false;
  };

  void SendDue(bool aOnlyUrgent);
  bool NeedsDescription(const Entry& aEntry) const;
  /** Returns true if the entry needs a recent report to place more work. */
  bool NeedsRefresh(const Entry& aEntry) const;
  void SendReport(const state::ProcessId& aId, Entry& aEntry);

  const state::Clock& clock_;
  StatusFunction status_;
  SendFunction send_;
  std::optional<ServerDescription> description_;
  std::map<state::ProcessId, Entry> entries_;
  CrashLog crashes_;
  HeldTasks heldTasks_;
  /** Rises with each change of the held tasks. */
  std::uint64_t holdsNumber_ = 0;
};

}
