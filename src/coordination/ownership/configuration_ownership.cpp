#include "coordination/ownership/configuration_ownership.h"

namespace greengage::coordination {

bool
ConfigurationOwnership::Apply(const state::RecordPosition& aPosition,
                              std::uint64_t aVersion,
                              const OwnershipRecord& aRecord,
                              bool aCarried)
{
  Shard& shard = shards_[aRecord.shard];
  auto known = shard.groups.find(aRecord.epoch);
  if (known != shard.groups.end()) {
    if (aCarried && aPosition.offset > known->second.position.offset) {
      known->second.position = aPosition;
    }
    return false;
  }
  bool applies =
    aCarried ? aRecord.epoch >= shard.activatedEpoch : Accepts(aRecord);
  if (applies) {
    shard.groups.emplace(aRecord.epoch, Item{ aRecord, aVersion, aPosition });
  }
  return applies;
}

bool
ConfigurationOwnership::Apply(const state::RecordPosition& aPosition,
                              std::uint64_t aVersion,
                              const OwnershipActivated& aRecord)
{
  Shard& shard = shards_[aRecord.shard];
  if (aRecord.epoch < shard.activatedEpoch || aRecord.epoch == 0) {
    return false;
  }
  bool isNew = aRecord.epoch > shard.activatedEpoch;
  if (isNew || aPosition.offset > shard.activated->position.offset) {
    shard.activated = Item{ aRecord, aVersion, aPosition };
  }
  shard.activatedEpoch = aRecord.epoch;
  shard.groups.erase(shard.groups.begin(),
                     shard.groups.lower_bound(aRecord.epoch));
  return isNew;
}

bool
ConfigurationOwnership::Accepts(const OwnershipRecord& aRecord) const
{
  return aRecord.epoch > LastEpoch(aRecord.shard);
}

bool
ConfigurationOwnership::Accepts(const OwnershipActivated& aRecord) const
{
  auto shard = shards_.find(aRecord.shard);
  return shard != shards_.end() &&
         aRecord.epoch > shard->second.activatedEpoch &&
         shard->second.groups.contains(aRecord.epoch);
}

bool
ConfigurationOwnership::HasApplied(const OwnershipRecord& aRecord) const
{
  auto shard = shards_.find(aRecord.shard);
  if (shard == shards_.end()) {
    return false;
  }
  auto group = shard->second.groups.find(aRecord.epoch);
  return group != shard->second.groups.end() &&
         group->second.content == LiveRecord(aRecord);
}

bool
ConfigurationOwnership::HasApplied(const OwnershipActivated& aRecord) const
{
  auto shard = shards_.find(aRecord.shard);
  return shard != shards_.end() &&
         shard->second.activatedEpoch >= aRecord.epoch;
}

std::vector<ConfigurationOwnership::Item>
ConfigurationOwnership::Items() const
{
  std::vector<Item> items;
  for (const auto& [number, shard] : shards_) {
    for (const auto& [epoch, item] : shard.groups) {
      items.push_back(item);
    }
    if (shard.activated) {
      items.push_back(*shard.activated);
    }
  }
  return items;
}

std::uint64_t
ConfigurationOwnership::LastEpoch(std::uint32_t aShard) const
{
  auto shard = shards_.find(aShard);
  if (shard == shards_.end()) {
    return 0;
  }
  const auto& groups = shard->second.groups;
  return std::max(shard->second.activatedEpoch,
                  groups.empty() ? 0 : groups.rbegin()->first);
}

}
