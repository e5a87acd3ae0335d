#include "coordination/dispatch/entry_reports.h"

namespace greengage::coordination {

using state::ProcessId;
using std::chrono::milliseconds;

namespace {

/**
 * An entry that took this agent for gone, while the agent did not notice, gets
 * the description again.
 */
constexpr milliseconds kDescriptionPeriod{ 3000 };
/** An entry that keeps its runs alive gets an answer at least this often. */
constexpr milliseconds kAnswerPeriod{ 150 };

}

EntryReports::EntryReports(const state::Clock& aClock,
                           StatusFunction aStatus,
                           SendFunction aSend)
  : clock_(aClock)
  , status_(std::move(aStatus))
  , send_(std::move(aSend))
{
}

void
EntryReports::Add(const ProcessId& aEntry, bool aSameDataCentre)
{
  auto [entry, isNew] = entries_.try_emplace(aEntry);
  entry->second.sameDataCentre = aSameDataCentre;
  if (isNew) {
    entry->second.heardAt = clock_.MonotonicNow();
    SendReport(aEntry, entry->second);
  }
}

void
EntryReports::OnHeard(const ProcessId& aEntry, milliseconds aReportPeriod)
{
  Entry& entry = entries_[aEntry];
  entry.heardAt = clock_.MonotonicNow();
  if (aReportPeriod.count() > 0) {
    entry.reportPeriod = aReportPeriod;
  }
}

void
EntryReports::Answer(const ProcessId& aEntry)
{
  auto entry = entries_.find(aEntry);
  if (entry != entries_.end() &&
      clock_.MonotonicNow() - entry->second.reportedAt >= kAnswerPeriod) {
    SendReport(aEntry, entry->second);
  }
}

bool
EntryReports::IsSilent(const ProcessId& aEntry, milliseconds aLimit) const
{
  auto entry = entries_.find(aEntry);
  return entry == entries_.end() ||
         clock_.MonotonicNow() - entry->second.heardAt > aLimit;
}

void
EntryReports::SetDescription(
  const std::optional<ServerDescription>& aDescription)
{
  description_ = aDescription;
  for (auto& [id, entry] : entries_) {
    entry.describedAt.reset();
  }
}

void
EntryReports::AddEnd(const ProcessId& aEntry, const RunEnd& aEnd)
{
  auto entry = entries_.find(aEntry);
  if (entry != entries_.end()) {
    entry->second.ends.push_back(aEnd);
  }
}

void
EntryReports::AddForecast(const ProcessId& aEntry, const RunForecast& aForecast)
{
  auto entry = entries_.find(aEntry);
  if (entry != entries_.end()) {
    entry->second.forecasts.push_back(aForecast);
  }
}

void
EntryReports::MarkChanged()
{
  for (auto& [id, entry] : entries_) {
    entry.changed = true;
  }
}

void
EntryReports::SendDue(bool aOnlyUrgent)
{
  auto now = clock_.MonotonicNow();
  for (auto& [id, entry] : entries_) {
    auto period =
      entry.reportPeriod * (entry.sameDataCentre ? 1 : kFarReportPeriods);
    bool due = !aOnlyUrgent && (entry.changed || NeedsDescription(entry)) &&
               now - entry.reportedAt >= period;
    if (due || !entry.ends.empty() || !entry.forecasts.empty()) {
      SendReport(id, entry);
    }
  }
}

bool
EntryReports::NeedsDescription(const Entry& aEntry) const
{
  auto now = clock_.MonotonicNow();
  return description_ && (!aEntry.describedAt ||
                          now - *aEntry.describedAt >= kDescriptionPeriod);
}

void
EntryReports::SendReport(const ProcessId& aId, Entry& aEntry)
{
  auto now = clock_.MonotonicNow();
  ServerReport report = status_(aId);
  if (NeedsDescription(aEntry)) {
    report.description = description_;
    aEntry.describedAt = now;
  }
  report.ends = std::move(aEntry.ends);
  aEntry.ends.clear();
  report.forecasts = std::move(aEntry.forecasts);
  aEntry.forecasts.clear();
  aEntry.changed = false;
  aEntry.reportedAt = now;
  send_(aId, report);
}

}
