#include "coordination/dispatch/entry_reporter.h"

#include <algorithm>
#include <utility>

namespace greengage::coordination {

using state::ProcessId;
using std::chrono::milliseconds;

namespace {

/**
 * The description is repeated because an entry may have removed this agent as
 * lost and added it again without the agent detecting it.
 */
constexpr milliseconds kDescriptionPeriod{ 3000 };
/** Minimum interval at which a refusal repeats the description. */
constexpr milliseconds kMinDescriptionPeriod{ 100 };
/**
 * Minimum interval between answers to an entry. A heartbeat of the entry that
 * arrives this long after the last report is answered with a report.
 */
constexpr milliseconds kMinAnswerPeriod{ 150 };
/**
 * Interval of reports to an entry that placed work recently, while nothing else
 * is reported. With a tick and the transfer in both directions it stays below
 * kMaxOrderAge, so that the next order to an idle server is not refused. An
 * entry with a longer report period has its first order refused once instead.
 */
constexpr milliseconds kRefreshPeriod{ 200 };
/** Time after a start order in which these reports are sent. */
constexpr milliseconds kRefreshTime{ 3000 };

}

EntryReporter::EntryReporter(const state::Clock& aClock,
                             StatusFunction aStatus,
                             SendFunction aSend)
  : clock_(aClock)
  , status_(std::move(aStatus))
  , send_(std::move(aSend))
  , crashes_(aClock)
{
}

void
EntryReporter::AddEntry(const ProcessId& aEntry, bool aSameDataCentre)
{
  auto [entry, isNew] = entries_.try_emplace(aEntry);
  entry->second.sameDataCentre = aSameDataCentre;
  if (isNew) {
    SendReport(aEntry, entry->second);
  }
}

bool
EntryReporter::ReleaseEntry(const ProcessId& aEntry)
{
  auto entry = entries_.find(aEntry);
  if (entry == entries_.end()) {
    return false;
  }
  entry->second.isReleased = true;
  SendReport(aEntry, entry->second);
  entries_.erase(entry);
  return true;
}

void
EntryReporter::OnMessage(const ProcessId& aEntry,
                         const OrderContact& aContact,
                         milliseconds aReportPeriod)
{
  Entry& entry = entries_[aEntry];
  entry.confirmedAt = std::max(entry.confirmedAt.value_or(aContact.confirmedAt),
                               aContact.confirmedAt);
  if (std::exchange(entry.wasDisconnected, false)) {
    entry.crashSent = 0;
    entry.holdsSent = 0;
  }
  if (aReportPeriod.count() > 0) {
    entry.reportPeriod = aReportPeriod;
  }
}

void
EntryReporter::OnStartOrdered(const ProcessId& aEntry)
{
  entries_[aEntry].startOrderedAt = clock_.MonotonicNow();
}

void
EntryReporter::SendAnswer(const ProcessId& aEntry)
{
  auto entry = entries_.find(aEntry);
  if (entry != entries_.end() &&
      clock_.MonotonicNow() - entry->second.reportedAt >= kMinAnswerPeriod) {
    SendReport(aEntry, entry->second);
  }
}

std::optional<state::MonotonicTime>
EntryReporter::ConfirmedAt(const ProcessId& aEntry) const
{
  auto entry = entries_.find(aEntry);
  return entry == entries_.end() ? std::nullopt : entry->second.confirmedAt;
}

bool
EntryReporter::HasTimedOut(const ProcessId& aEntry, milliseconds aLimit) const
{
  auto confirmedAt = ConfirmedAt(aEntry);
  return !confirmedAt || clock_.MonotonicNow() - *confirmedAt > aLimit;
}

void
EntryReporter::OnDisconnected(const ProcessId& aEntry)
{
  auto entry = entries_.find(aEntry);
  if (entry != entries_.end()) {
    entry->second.wasDisconnected = true;
  }
}

void
EntryReporter::SetDescription(
  const std::optional<ServerDescription>& aDescription)
{
  description_ = aDescription;
  for (auto& [id, entry] : entries_) {
    entry.descriptionSentAt.reset();
  }
}

void
EntryReporter::RepeatDescription(const ProcessId& aEntry)
{
  auto entry = entries_.find(aEntry);
  if (entry != entries_.end() && entry->second.descriptionSentAt &&
      clock_.MonotonicNow() - *entry->second.descriptionSentAt >=
        kMinDescriptionPeriod) {
    entry->second.descriptionSentAt.reset();
  }
}

void
EntryReporter::AddEnd(const ProcessId& aEntry, const RunEnd& aEnd)
{
  auto entry = entries_.find(aEntry);
  if (entry != entries_.end()) {
    entry->second.ends.push_back(aEnd);
  }
}

void
EntryReporter::AddForecast(const ProcessId& aEntry,
                           const RunForecast& aForecast)
{
  auto entry = entries_.find(aEntry);
  if (entry != entries_.end()) {
    entry->second.forecasts.push_back(aForecast);
  }
}

void
EntryReporter::SetHeldTasks(HeldTasks aTasks)
{
  if (heldTasks_ != aTasks) {
    heldTasks_ = std::move(aTasks);
    ++holdsNumber_;
  }
}

std::uint64_t
EntryReporter::AddCrash(std::vector<CrashSuspect> aSuspects)
{
  return crashes_.Add(std::move(aSuspects));
}

void
EntryReporter::AddUncertainStart(const ProcessId& aEntry,
                                 const UncertainStart& aStart)
{
  auto entry = entries_.find(aEntry);
  if (entry != entries_.end()) {
    entry->second.uncertainStarts.push_back(aStart);
  }
}

void
EntryReporter::MarkChanged()
{
  for (auto& [id, entry] : entries_) {
    entry.hasChanged = true;
  }
}

void
EntryReporter::SendDue(bool aOnlyUrgent)
{
  auto now = clock_.MonotonicNow();
  for (auto& [id, entry] : entries_) {
    auto period =
      entry.reportPeriod * (entry.sameDataCentre ? 1 : kRemoteReportPeriods);
    bool due =
      !aOnlyUrgent &&
      (entry.hasChanged || NeedsDescription(entry) || NeedsRefresh(entry)) &&
      now - entry.reportedAt >= period;
    bool isDescriptionNew = description_ && !entry.descriptionSentAt;
    if (due || isDescriptionNew || !entry.ends.empty() ||
        !entry.forecasts.empty() || !entry.uncertainStarts.empty() ||
        entry.crashSent < crashes_.Newest() || entry.holdsSent < holdsNumber_) {
      SendReport(id, entry);
    }
  }
}

bool
EntryReporter::NeedsDescription(const Entry& aEntry) const
{
  auto now = clock_.MonotonicNow();
  return description_ &&
         (!aEntry.descriptionSentAt ||
          now - *aEntry.descriptionSentAt >= kDescriptionPeriod);
}

bool
EntryReporter::NeedsRefresh(const Entry& aEntry) const
{
  auto now = clock_.MonotonicNow();
  return aEntry.startOrderedAt && now - *aEntry.startOrderedAt < kRefreshTime &&
         now - aEntry.reportedAt >= kRefreshPeriod;
}

void
EntryReporter::SendReport(const ProcessId& aId, Entry& aEntry)
{
  auto now = clock_.MonotonicNow();
  ServerReport report = status_(aId);
  if (NeedsDescription(aEntry)) {
    report.description = description_;
    aEntry.descriptionSentAt = now;
  } else {
    // Reports of the used capacity are frequent and stay small.
    report.evacuation.reset();
  }
  report.ends = std::move(aEntry.ends);
  aEntry.ends.clear();
  report.forecasts = std::move(aEntry.forecasts);
  aEntry.forecasts.clear();
  report.uncertainStarts = std::move(aEntry.uncertainStarts);
  aEntry.uncertainStarts.clear();
  report.crashes = crashes_.After(aEntry.crashSent);
  aEntry.crashSent = crashes_.Newest();
  if (aEntry.holdsSent < holdsNumber_) {
    report.holds = MakeTaskHolds(holdsNumber_, heldTasks_, now);
    aEntry.holdsSent = holdsNumber_;
  }
  aEntry.hasChanged = false;
  aEntry.reportedAt = now;
  report.sentAtMs = ToReportTime(now);
  report.isReleased = aEntry.isReleased;
  send_(aId, report);
}

}
