#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "coordination/messages.h"

namespace greengage::coordination {

/**
 * Log record that names the members of a shard's ownership group for one
 * epoch. Candidates for ownership are the entries among them, in order.
 */
struct OwnershipRecord
{
  std::uint32_t shard = 0;
  std::uint64_t epoch = 0;
  std::vector<ProcessInfo> members;
  /** Set by an operator who states that all earlier members are dead. */
  bool forced = false;

  auto operator<=>(const OwnershipRecord&) const = default;
};

/** Log record: the epoch has an active owner, earlier groups are done. */
struct OwnershipActivated
{
  std::uint32_t shard = 0;
  std::uint64_t epoch = 0;

  auto operator<=>(const OwnershipActivated&) const = default;
};

}
