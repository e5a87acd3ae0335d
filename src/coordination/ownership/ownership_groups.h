#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "coordination/ownership/ownership_record.h"

namespace greengage::coordination {

/** Number of members of a complete ownership group. */
inline constexpr std::size_t kGroupSize = 3;

/** Returns the entries among the members, in the order of succession. */
std::vector<ProcessInfo>
Candidates(const OwnershipRecord& aRecord);

/**
 * Returns the position of a process among the candidates, or empty if it is
 * not a candidate.
 */
std::optional<std::size_t>
CandidateIndex(const OwnershipRecord& aRecord, const state::ProcessId& aId);

/** Returns the candidate that owns a term, or null without candidates. */
const ProcessInfo*
TermHolder(const OwnershipRecord& aRecord, std::uint64_t aTerm);

/**
 * Returns the first token after aAfter that the process may claim. Empty if the
 * process is not a candidate, or if the epoch of aAfter is later than that of
 * the record.
 */
std::optional<state::OwnershipToken>
NextToken(const OwnershipRecord& aRecord,
          const state::ProcessId& aId,
          const state::OwnershipToken& aAfter);

/**
 * Ownership groups of one shard, from the records read so far. A claim on an
 * epoch needs a majority of each group since the last activated epoch.
 */
class OwnershipGroups
{
public:
  /**
   * Adds the group of a record. Returns false if the epoch already has a group
   * or is older than the activated one: the first record of an epoch wins, so
   * a repeated append has no effect.
   */
  bool Add(const OwnershipRecord& aRecord);
  /** Removes the groups before the activated epoch. */
  void Activate(const OwnershipActivated& aActivated);

  /** Returns true if the log has no record of the shard. */
  bool Empty() const { return records_.empty() && activatedEpoch_ == 0; }
  /** Returns the group of the newest epoch, or null if there is none. */
  const OwnershipRecord* Latest() const;
  bool IsActivated(std::uint64_t aEpoch) const
  {
    return activatedEpoch_ >= aEpoch;
  }

  /**
   * Returns the groups of which a claim on the epoch needs a majority each,
   * oldest first.
   */
  std::vector<OwnershipRecord> Required(std::uint64_t aEpoch) const;

private:
  std::map<std::uint64_t, OwnershipRecord> records_;
  std::uint64_t activatedEpoch_ = 0;
};

}
