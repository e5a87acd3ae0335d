#pragma once

#include <compare>
#include <cstdint>

namespace greengage::state {

/**
 * Fencing token of a shard's owner. A token belongs to exactly one process:
 * epochs are assigned by the platform's log and, within an epoch, term t
 * belongs to candidate t modulo the number of candidates.
 */
struct OwnershipToken
{
  std::uint64_t epoch = 0;
  std::uint64_t term = 0;

  auto operator<=>(const OwnershipToken&) const = default;
};

}
