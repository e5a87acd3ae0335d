#include "coordination/configuration/configuration_fold.h"

#include <algorithm>

namespace greengage::coordination {

using state::ApplyResult;
using state::ConfigurationChange;
using state::RecordPosition;

ConfigurationFold::ConfigurationFold(std::uint64_t aStartOffset)
  : version_(aStartOffset)
  , documents_(aStartOffset)
{
}

std::optional<LiveRecord>
ConfigurationFold::Apply(const RecordPosition& aPosition,
                         const LogContent& aContent)
{
  version_ = aPosition.offset + 1;
  if (const auto* change = std::get_if<ConfigurationChange>(&aContent)) {
    if (documents_.Apply(aPosition, *change) == ApplyResult::eApplied) {
      return *change;
    }
  } else if (const auto* group = std::get_if<OwnershipRecord>(&aContent)) {
    if (ownership_.Apply(aPosition, version_, *group, false)) {
      return *group;
    }
  } else if (const auto* active = std::get_if<OwnershipActivated>(&aContent)) {
    if (ownership_.Apply(aPosition, version_, *active)) {
      return *active;
    }
  } else if (const auto* carried = std::get_if<CarriedRecord>(&aContent)) {
    if (ApplyCarried(aPosition, *carried)) {
      return carried->record;
    }
  }
  return std::nullopt;
}

void
ConfigurationFold::Skip(std::uint64_t aOffset)
{
  version_ = aOffset + 1;
  ++skippedRecords_;
}

std::vector<LiveRecord>
ConfigurationFold::ApplyFromPeer(const RecordPosition& aPosition,
                                 const LogContent& aContent)
{
  std::vector<LiveRecord> applied;
  if (const auto* carried = std::get_if<CarriedRecord>(&aContent)) {
    if (ApplyCarried(aPosition, *carried)) {
      applied.push_back(carried->record);
    }
  } else if (const auto* live = std::get_if<LiveKeys>(&aContent)) {
    for (auto& key : documents_.RemoveUnlisted(live->version, live->keys)) {
      ConfigurationChange deletion;
      deletion.key = std::move(key);
      applied.emplace_back(std::move(deletion));
    }
  }
  return applied;
}

void
ConfigurationFold::FinishPeerTransfer(std::uint64_t aVersion)
{
  version_ = std::max(version_, aVersion);
  documents_.RaiseHistoryStart(version_);
}

void
ConfigurationFold::DropExpired(std::uint64_t aFirstOffset)
{
  documents_.DropExpired(aFirstOffset);
}

std::vector<PositionedRecord>
ConfigurationFold::RecordsFrom(std::uint64_t aOffset) const
{
  std::vector<PositionedRecord> records;
  for (const auto& [key, entry] : documents_.All()) {
    if (entry.record.offset >= aOffset) {
      records.push_back({ entry.record, { entry.version, entry.change } });
    }
  }
  for (const auto& item : ownership_.Items()) {
    if (item.position.offset >= aOffset) {
      records.push_back({ item.position, { item.version, item.content } });
    }
  }
  std::sort(
    records.begin(), records.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.position < aRight.position;
    });
  return records;
}

std::vector<PositionedRecord>
ConfigurationFold::LiveRecords() const
{
  std::vector<PositionedRecord> records = RecordsFrom(0);
  std::erase_if(records, [](const PositionedRecord& aRecord) {
    const auto* change =
      std::get_if<ConfigurationChange>(&aRecord.content.record);
    return change && change->IsDeletion();
  });
  return records;
}

std::set<state::ConfigurationKey>
ConfigurationFold::LiveDocumentKeys() const
{
  std::set<state::ConfigurationKey> keys;
  for (const auto& [key, entry] : documents_.All()) {
    if (!entry.change.IsDeletion()) {
      keys.insert(key);
    }
  }
  return keys;
}

bool
ConfigurationFold::ApplyCarried(const RecordPosition& aPosition,
                                const CarriedRecord& aCarried)
{
  if (const auto* change = std::get_if<ConfigurationChange>(&aCarried.record)) {
    return documents_.ApplyCarried(aPosition, aCarried.version, *change) ==
           ApplyResult::eApplied;
  }
  if (const auto* group = std::get_if<OwnershipRecord>(&aCarried.record)) {
    return ownership_.Apply(aPosition, aCarried.version, *group, true);
  }
  return ownership_.Apply(
    aPosition, aCarried.version, std::get<OwnershipActivated>(aCarried.record));
}

}
