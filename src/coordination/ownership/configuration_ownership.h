#pragma once

#include <map>

#include "coordination/configuration/configuration_record.h"

namespace greengage::coordination {

/**
 * Ownership records of all shards, folded from the log. Each shard has the
 * groups since its last activated epoch.
 */
class ConfigurationOwnership
{
public:
  struct Item
  {
    /** OwnershipRecord or OwnershipActivated. */
    LiveRecord content;
    std::uint64_t version = 0;
    /** Position of the newest copy of the record in the log. */
    state::RecordPosition position;

    bool operator==(const Item&) const = default;
  };

  struct Shard
  {
    /** Live groups by epoch. */
    std::map<std::uint64_t, Item> groups;
    std::uint64_t activatedEpoch = 0;
    std::optional<Item> activated;

    bool operator==(const Shard&) const = default;
  };

  /**
   * Applies a record. The first record of an epoch wins, and epochs only
   * increase. A carried record may restore an epoch whose original record the
   * log has dropped. Returns true if the record took effect.
   */
  bool Apply(const state::RecordPosition& aPosition,
             std::uint64_t aVersion,
             const OwnershipRecord& aRecord,
             bool aCarried);

  /** Returns true if the epoch became the last activated one of its shard. */
  bool Apply(const state::RecordPosition& aPosition,
             std::uint64_t aVersion,
             const OwnershipActivated& aRecord);

  /** Returns true if the record would take effect as the next one. */
  bool Accepts(const OwnershipRecord& aRecord) const;
  bool Accepts(const OwnershipActivated& aRecord) const;

  /** Returns true if exactly this group is the live record of its epoch. */
  bool HasApplied(const OwnershipRecord& aRecord) const;
  /** Returns true if this epoch of the shard or a later one is activated. */
  bool HasApplied(const OwnershipActivated& aRecord) const;

  /** Returns all live records. */
  std::vector<Item> Items() const;

  /** Returns the highest epoch of a shard, or 0 if it has none. */
  std::uint64_t LastEpoch(std::uint32_t aShard) const;

private:
  std::map<std::uint32_t, Shard> shards_;
};

}
