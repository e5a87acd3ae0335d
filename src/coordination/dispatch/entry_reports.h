#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "coordination/dispatch/dispatch_messages.h"
#include "coordination/dispatch/report_pace.h"
#include "state/clock.h"
#include "state/process_id.h"

namespace greengage::coordination {

/**
 * What an agent owes each entry: ends and forecasts of its runs at once, the
 * room of the server at a bounded rate, and its description now and then.
 * Used by the control thread only.
 */
class EntryReports
{
public:
  using SendFunction =
    std::function<void(const state::ProcessId& aEntry, const ServerReport&)>;
  /** Condition and room of the server as one entry should see them. */
  using StatusFunction = std::function<ServerReport(const state::ProcessId&)>;

  EntryReports(const state::Clock& aClock,
               StatusFunction aStatus,
               SendFunction aSend);

  /** @param aSameDataCentre it gets reports of used room more often */
  void Add(const state::ProcessId& aEntry, bool aSameDataCentre);
  void Remove(const state::ProcessId& aEntry) { entries_.erase(aEntry); }
  /** @param aReportPeriod 0: as before */
  void OnHeard(const state::ProcessId& aEntry,
               std::chrono::milliseconds aReportPeriod);
  /** Lets an entry that sent something know that this agent lives. */
  void Answer(const state::ProcessId& aEntry);
  /** True if the entry is not known or was not heard for this long. */
  bool IsSilent(const state::ProcessId& aEntry,
                std::chrono::milliseconds aLimit) const;

  /** Empty: there is no server. */
  void SetDescription(const std::optional<ServerDescription>& aDescription);
  void AddEnd(const state::ProcessId& aEntry, const RunEnd& aEnd);
  void AddForecast(const state::ProcessId& aEntry,
                   const RunForecast& aForecast);
  /** The room or the condition of the server has changed. */
  void MarkChanged();

  /** Sends what is urgent. */
  void SendUrgent() { SendDue(true); }
  /** Sends everything that is due. */
  void Send() { SendDue(false); }

private:
  struct Entry
  {
    bool sameDataCentre = false;
    std::chrono::milliseconds reportPeriod = kShortestReportPeriod;
    state::MonotonicTime heardAt;
    state::MonotonicTime reportedAt;
    bool changed = true;
    /** Empty if the present description has not been sent. */
    std::optional<state::MonotonicTime> describedAt;
    std::vector<RunEnd> ends;
    std::vector<RunForecast> forecasts;
  };

  void SendDue(bool aOnlyUrgent);
  bool NeedsDescription(const Entry& aEntry) const;
  void SendReport(const state::ProcessId& aId, Entry& aEntry);

  const state::Clock& clock_;
  StatusFunction status_;
  SendFunction send_;
  std::optional<ServerDescription> description_;
  std::map<state::ProcessId, Entry> entries_;
};

}
