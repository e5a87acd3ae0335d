#include "coordination/ownership/ownership_groups.h"

#include <algorithm>

namespace greengage::coordination {

std::vector<ProcessInfo>
Candidates(const OwnershipRecord& aRecord)
{
  std::vector<ProcessInfo> candidates;
  for (const ProcessInfo& member : aRecord.members) {
    if (member.role == ProcessRole::eEntry) {
      candidates.push_back(member);
    }
  }
  return candidates;
}

std::optional<std::size_t>
CandidateIndex(const OwnershipRecord& aRecord, const state::ProcessId& aId)
{
  std::size_t index = 0;
  for (const ProcessInfo& member : aRecord.members) {
    if (member.role != ProcessRole::eEntry) {
      continue;
    }
    if (member.id == aId) {
      return index;
    }
    ++index;
  }
  return std::nullopt;
}

const ProcessInfo*
TermHolder(const OwnershipRecord& aRecord, std::uint64_t aTerm)
{
  std::size_t count = Candidates(aRecord).size();
  if (count == 0) {
    return nullptr;
  }
  std::size_t remaining = aTerm % count;
  for (const ProcessInfo& member : aRecord.members) {
    if (member.role == ProcessRole::eEntry && remaining-- == 0) {
      return &member;
    }
  }
  return nullptr;
}

std::optional<state::OwnershipToken>
NextToken(const OwnershipRecord& aRecord,
          const state::ProcessId& aId,
          const state::OwnershipToken& aAfter)
{
  auto index = CandidateIndex(aRecord, aId);
  if (!index || aAfter.epoch > aRecord.epoch) {
    return std::nullopt;
  }
  std::uint64_t count = Candidates(aRecord).size();
  std::uint64_t term = aAfter.epoch == aRecord.epoch ? aAfter.term + 1 : 0;
  term += (*index + count - term % count) % count;
  return state::OwnershipToken{ aRecord.epoch, term };
}

bool
OwnershipGroups::Add(const OwnershipRecord& aRecord)
{
  if (aRecord.epoch == 0 || aRecord.epoch < activatedEpoch_) {
    return false;
  }
  if (!records_.emplace(aRecord.epoch, aRecord).second) {
    return false;
  }
  if (aRecord.forced) {
    Activate({ aRecord.shard, aRecord.epoch });
  }
  return true;
}

void
OwnershipGroups::Activate(const OwnershipActivated& aActivated)
{
  if (aActivated.epoch <= activatedEpoch_) {
    return;
  }
  activatedEpoch_ = aActivated.epoch;
  records_.erase(records_.begin(), records_.lower_bound(activatedEpoch_));
}

const OwnershipRecord*
OwnershipGroups::Latest() const
{
  return records_.empty() ? nullptr : &records_.rbegin()->second;
}

std::vector<OwnershipRecord>
OwnershipGroups::Required(std::uint64_t aEpoch) const
{
  std::vector<OwnershipRecord> required;
  for (const auto& [epoch, record] : records_) {
    if (epoch <= aEpoch) {
      required.push_back(record);
    }
  }
  return required;
}

}
