#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "state/clock.h"
#include "state/configuration_change.h"

namespace greengage::state {

/** Position of a record in the platform's log and the time of its append. */
struct RecordPosition
{
  std::uint64_t offset = 0;
  /** Time by the log's clock; zero if a peer supplied the record. */
  WallTime time;

  auto operator<=>(const RecordPosition&) const = default;
};

/** The last change of one key. A deletion is kept as a tombstone. */
struct ConfigurationEntry
{
  ConfigurationChange change;
  /** Offset of the change + 1; carried records keep the version. */
  std::uint64_t version = 0;
  /** Newest record that contains the change: the original or a carried one. */
  RecordPosition record;
  /** True if the base version had expired, so that it was not compared. */
  bool unverified = false;

  bool operator==(const ConfigurationEntry&) const = default;
};

enum class ApplyResult : std::uint8_t
{
  eApplied,
  /** The key has this version already; only its newest record can change. */
  eRefreshed,
  /** A change with this ID was applied before. */
  eRepeated,
  /** The change is based on another version of the key. */
  eVersionConflict,
};

/**
 * Current documents, computed from the log's records in offset order. All
 * readers of the same records have the same entries.
 */
class ConfigurationStore
{
public:
  using Entries = std::map<ConfigurationKey, ConfigurationEntry>;

  /** Records below aStartOffset have expired and will not be applied. */
  explicit ConfigurationStore(std::uint64_t aStartOffset = 0);

  ApplyResult Apply(const RecordPosition& aRecord,
                    const ConfigurationChange& aChange);

  /**
   * Applies a change from a carried record. Other readers verified the change
   * when it created aVersion. The highest version of a key has precedence.
   */
  ApplyResult ApplyCarried(const RecordPosition& aRecord,
                           std::uint64_t aVersion,
                           const ConfigurationChange& aChange);

  /** Returns true if Apply() would apply the change as the next record. */
  bool Accepts(const ConfigurationChange& aChange) const;

  /**
   * Removes the live keys with a version up to aVersion that are not in
   * aLiveKeys. Returns the removed keys.
   */
  std::vector<ConfigurationKey> RemoveUnlisted(
    std::uint64_t aVersion,
    const std::set<ConfigurationKey>& aLiveKeys);

  /** Drops tombstones and change IDs whose records the log has dropped. */
  void DropExpired(std::uint64_t aFirstOffset);

  /** Records that deletions before aOffset may be missing in this store. */
  void RaiseHistoryStart(std::uint64_t aOffset);

  /** Returns the offset from which this store includes all deletions. */
  std::uint64_t HistoryStart() const { return historyStart_; }

  /** Returns null if the key is unknown. */
  const ConfigurationEntry* Find(const ConfigurationKey& aKey) const;

  /** Returns the version of a live or deleted key; 0 if it is unknown. */
  std::uint64_t KeyVersion(const ConfigurationKey& aKey) const;

  /** Returns the version that the change created, if it was applied. */
  std::optional<std::uint64_t> VersionOfChange(
    const std::string& aChangeId) const;

  const Entries& All() const { return entries_; }

private:
  void Set(const RecordPosition& aRecord,
           std::uint64_t aVersion,
           const ConfigurationChange& aChange,
           bool aUnverified);

  std::uint64_t historyStart_;
  Entries entries_;
  /** Version that each applied change created, by change ID. */
  std::map<std::string, std::uint64_t> versionByChangeId_;
};

}
