#pragma once

#include <map>

#include "coordination/configuration/configuration_record.h"

namespace greengage::coordination {

/**
 * Ownership records of all shards, folded from the log: the groups since the
 * last activated epoch of each shard.
 */
class ConfigurationOwnership
{
public:
  struct Item
  {
    /** OwnershipRecord or OwnershipActivated. */
    LiveRecord content;
    std::uint64_t version = 0;
    state::RecordPosition record;

    bool operator==(const Item&) const = default;
  };

  struct Shard
  {
    std::map<std::uint64_t, Item> groups;
    std::uint64_t activatedEpoch = 0;
    std::optional<Item> activated;

    bool operator==(const Shard&) const = default;
  };

  /**
   * The first record of an epoch wins, and epochs only grow. A carried record
   * may fill in an epoch that had expired. Returns true if it applied.
   */
  bool Apply(const state::RecordPosition& aPosition,
             std::uint64_t aVersion,
             const OwnershipRecord& aRecord,
             bool aCarried);

  bool Apply(const state::RecordPosition& aPosition,
             std::uint64_t aVersion,
             const OwnershipActivated& aRecord);

  /** True if the record would apply as the next one. */
  bool Accepts(const OwnershipRecord& aRecord) const;
  bool Accepts(const OwnershipActivated& aRecord) const;

  /** True if exactly this record is in force or was replaced later. */
  bool Holds(const OwnershipRecord& aRecord) const;
  bool Holds(const OwnershipActivated& aRecord) const;

  /** Every live record. */
  std::vector<Item> Items() const;

  /** Highest epoch of a shard; 0 if it has none. */
  std::uint64_t LastEpoch(std::uint32_t aShard) const;

private:
  std::map<std::uint32_t, Shard> shards_;
};

}
