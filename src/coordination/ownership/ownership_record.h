#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "coordination/messages.h"

namespace greengage::coordination {

/**
 * Log record that lists the members of a shard's ownership group for one
 * epoch. The entries among the members are the candidates for ownership, in
 * this order.
 */
struct OwnershipRecord
{
  std::uint32_t shard = 0;
  std::uint64_t epoch = 0;
  std::vector<ProcessInfo> members;
  /** True if an operator stated that all members of earlier groups are dead. */
  bool forced = false;

  auto operator<=>(const OwnershipRecord&) const = default;
};

/**
 * Log record that the epoch has an active owner. Groups of earlier epochs are
 * no longer needed.
 */
struct OwnershipActivated
{
  std::uint32_t shard = 0;
  std::uint64_t epoch = 0;

  auto operator<=>(const OwnershipActivated&) const = default;
};

}
