#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "coordination/ownership/ownership_record.h"

namespace greengage::coordination {

/** Members that a complete ownership group has. */
inline constexpr std::size_t kGroupSize = 3;

/** The entries among the members, in the order of succession. */
std::vector<ProcessInfo>
Candidates(const OwnershipRecord& aRecord);

/** Position of a process among the candidates; empty if it is none. */
std::optional<std::size_t>
CandidateIndex(const OwnershipRecord& aRecord, const state::ProcessId& aId);

/** The candidate that a term belongs to; null if there is no candidate. */
const ProcessInfo*
TermHolder(const OwnershipRecord& aRecord, std::uint64_t aTerm);

/**
 * The first token after aAfter that belongs to the process. Empty if the
 * process is no candidate or aAfter is of a later epoch than the record.
 */
std::optional<state::OwnershipToken>
NextToken(const OwnershipRecord& aRecord,
          const state::ProcessId& aId,
          const state::OwnershipToken& aAfter);

/**
 * Ownership groups of one shard as far as the log was read. A claim on an
 * epoch needs majorities of all groups since the last activated epoch.
 */
class OwnershipGroups
{
public:
  /**
   * False if the epoch is known or done: the first record of an epoch wins,
   * so a repeated append has no effect.
   */
  bool Add(const OwnershipRecord& aRecord);
  /** Groups before the activated epoch are no longer needed. */
  void Activate(const OwnershipActivated& aActivated);

  /** True if the log holds no record of the shard. */
  bool Empty() const { return records_.empty() && activated_ == 0; }
  /** Group of the newest epoch; null if the log holds none. */
  const OwnershipRecord* Latest() const;
  bool Activated(std::uint64_t aEpoch) const { return activated_ >= aEpoch; }

  /** Groups whose majorities a claim on the epoch needs, oldest first. */
  std::vector<OwnershipRecord> Required(std::uint64_t aEpoch) const;

private:
  std::map<std::uint64_t, OwnershipRecord> records_;
  std::uint64_t activated_ = 0;
};

}
