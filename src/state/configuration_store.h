#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "state/clock.h"
#include "state/configuration_change.h"

namespace greengage::state {

/** Where a record lies in the platform's log, and when it was appended. */
struct RecordPosition
{
  std::uint64_t offset = 0;
  /** Time of the log; the epoch if a peer supplied the record. */
  WallTime time;

  auto operator<=>(const RecordPosition&) const = default;
};

/** The last change of one key; a deletion remains as a tombstone. */
struct ConfigurationEntry
{
  ConfigurationChange change;
  /** Offset of the change + 1; a carried key keeps it. */
  std::uint64_t version = 0;
  /** Newest record that holds the change: itself or carried forward. */
  RecordPosition record;
  /** True if the base of the change had expired before it could be checked. */
  bool unverified = false;

  bool operator==(const ConfigurationEntry&) const = default;
};

enum class ApplyResult : std::uint8_t
{
  eApplied,
  /** The key is unchanged, its newest record is a later one. */
  eRefreshed,
  /** A change with this ID was applied before. */
  eRepeated,
  /** The change was made from another version of the key. */
  eVersionConflict,
};

/**
 * Documents in force, folded from the log's records in offset order. Every
 * reader of the same records has the same entries.
 */
class ConfigurationStore
{
public:
  using Entries = std::map<ConfigurationKey, ConfigurationEntry>;

  /** Records below the offset had expired when the fold began. */
  explicit ConfigurationStore(std::uint64_t aStartOffset = 0);

  ApplyResult Apply(const RecordPosition& aRecord,
                    const ConfigurationChange& aChange);

  /**
   * Applies a change that other readers checked when it was at aVersion; the
   * highest version of a key wins.
   */
  ApplyResult Carry(const RecordPosition& aRecord,
                    std::uint64_t aVersion,
                    const ConfigurationChange& aChange);

  /** True if the change would apply as the next record. */
  bool Accepts(const ConfigurationChange& aChange) const;

  /** Removes keys up to aVersion that are not listed; returns them. */
  std::vector<ConfigurationKey> KeepOnly(
    std::uint64_t aVersion,
    const std::set<ConfigurationKey>& aLiveKeys);

  /** Forgets tombstones and change IDs whose records the log has dropped. */
  void DropExpired(std::uint64_t aFirstOffset);

  /** Marks that deletions before the offset may be unknown here. */
  void RaiseHorizon(std::uint64_t aOffset);

  /** Deletions from this offset on are all known. */
  std::uint64_t Horizon() const { return horizon_; }

  /** Null if the key is unknown. */
  const ConfigurationEntry* Find(const ConfigurationKey& aKey) const;

  /** Version of a live or deleted key; 0 if it is unknown. */
  std::uint64_t KeyVersion(const ConfigurationKey& aKey) const;

  /** Version that the change created; empty if it did not apply. */
  std::optional<std::uint64_t> VersionOfChange(
    const std::string& aChangeId) const;

  const Entries& All() const { return entries_; }

private:
  void Set(const RecordPosition& aRecord,
           std::uint64_t aVersion,
           const ConfigurationChange& aChange,
           bool aUnverified);

  std::uint64_t horizon_;
  Entries entries_;
  /** Version that each applied change created. */
  std::map<std::string, std::uint64_t> changes_;
};

}
