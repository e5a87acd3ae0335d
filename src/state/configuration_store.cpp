#include "state/configuration_store.h"

namespace greengage::state {

ConfigurationStore::ConfigurationStore(std::uint64_t aStartOffset)
  : historyStart_(aStartOffset)
{
}

ApplyResult
ConfigurationStore::Apply(const RecordPosition& aRecord,
                          const ConfigurationChange& aChange)
{
  if (versionByChangeId_.contains(aChange.changeId)) {
    return ApplyResult::eRepeated;
  }
  if (!Accepts(aChange)) {
    return ApplyResult::eVersionConflict;
  }
  bool unverified = !Find(aChange.key)
                      ? historyStart_ > 0
                      : aChange.baseVersion != 0 &&
                          KeyVersion(aChange.key) != aChange.baseVersion;
  Set(aRecord, aRecord.offset + 1, aChange, unverified);
  return ApplyResult::eApplied;
}

ApplyResult
ConfigurationStore::ApplyCarried(const RecordPosition& aRecord,
                                 std::uint64_t aVersion,
                                 const ConfigurationChange& aChange)
{
  auto found = entries_.find(aChange.key);
  if (found == entries_.end()) {
    Set(aRecord, aVersion, aChange, false);
    return ApplyResult::eApplied;
  }
  ConfigurationEntry& entry = found->second;
  if (aVersion == entry.version) {
    if (aRecord.offset > entry.record.offset) {
      entry.record = aRecord;
    }
    entry.unverified = false;
    return ApplyResult::eRefreshed;
  }
  // The writer of a carried record verified the change against the whole
  // history of the key.
  if (aVersion > entry.version || entry.unverified) {
    Set(aRecord, aVersion, aChange, false);
    return ApplyResult::eApplied;
  }
  return ApplyResult::eVersionConflict;
}

bool
ConfigurationStore::Accepts(const ConfigurationChange& aChange) const
{
  const ConfigurationEntry* entry = Find(aChange.key);
  bool live = entry && !entry->change.IsDeletion();
  if (aChange.baseVersion == 0) {
    return !live && !aChange.IsDeletion();
  }
  if (entry && entry->version == aChange.baseVersion) {
    return live || !aChange.IsDeletion();
  }
  // If the base version expired before this reader started, it cannot be
  // compared.
  bool baseExpired = aChange.baseVersion <= historyStart_;
  if (!entry) {
    return baseExpired;
  }
  // A base version above that of the unverified change existed, so earlier
  // readers did not apply the unverified change.
  return baseExpired && entry->unverified &&
         aChange.baseVersion > entry->change.baseVersion;
}

std::vector<ConfigurationKey>
ConfigurationStore::RemoveUnlisted(std::uint64_t aVersion,
                                   const std::set<ConfigurationKey>& aLiveKeys)
{
  std::vector<ConfigurationKey> removed;
  for (const auto& [key, entry] : entries_) {
    if (entry.version <= aVersion && !aLiveKeys.contains(key) &&
        !entry.change.IsDeletion()) {
      removed.push_back(key);
    }
  }
  for (const ConfigurationKey& key : removed) {
    entries_.erase(key);
  }
  return removed;
}

void
ConfigurationStore::DropExpired(std::uint64_t aFirstOffset)
{
  if (aFirstOffset <= historyStart_) {
    return;
  }
  RaiseHistoryStart(aFirstOffset);
  std::erase_if(entries_, [&](const auto& aItem) {
    return aItem.second.change.IsDeletion() &&
           aItem.second.record.offset < aFirstOffset;
  });
  std::erase_if(versionByChangeId_, [&](const auto& aItem) {
    return aItem.second <= aFirstOffset;
  });
}

void
ConfigurationStore::RaiseHistoryStart(std::uint64_t aOffset)
{
  historyStart_ = std::max(historyStart_, aOffset);
}

const ConfigurationEntry*
ConfigurationStore::Find(const ConfigurationKey& aKey) const
{
  auto found = entries_.find(aKey);
  return found == entries_.end() ? nullptr : &found->second;
}

std::uint64_t
ConfigurationStore::KeyVersion(const ConfigurationKey& aKey) const
{
  const ConfigurationEntry* entry = Find(aKey);
  return entry ? entry->version : 0;
}

std::optional<std::uint64_t>
ConfigurationStore::VersionOfChange(const std::string& aChangeId) const
{
  auto found = versionByChangeId_.find(aChangeId);
  if (found == versionByChangeId_.end()) {
    return std::nullopt;
  }
  return found->second;
}

void
ConfigurationStore::Set(const RecordPosition& aRecord,
                        std::uint64_t aVersion,
                        const ConfigurationChange& aChange,
                        bool aUnverified)
{
  entries_.insert_or_assign(
    aChange.key, ConfigurationEntry{ aChange, aVersion, aRecord, aUnverified });
  versionByChangeId_.insert_or_assign(aChange.changeId, aVersion);
}

}
