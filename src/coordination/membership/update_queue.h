#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/membership/membership_messages.h"

namespace greengage::coordination {

/**
 * Addresses of members whose change is still to be spread. Urgent changes go
 * first, then the ones sent least often, then the newest; each is sent a
 * limited number of times.
 */
class UpdateQueue
{
public:
  void Add(const std::string& aAddress, bool aUrgent);
  bool HasUrgent() const { return urgent_ > 0; }

  /**
   * Takes updates for one packet.
   * @param aBytes room for their encoded form
   * @param aMembers number of members, which sets the limit of repeats
   * @param aLookUp the present belief about an address; empty if
   * there is none any more
   */
  std::vector<MemberUpdate> Take(
    std::size_t aBytes,
    std::size_t aMembers,
    const std::function<std::optional<MemberUpdate>(const std::string&)>&
      aLookUp);

private:
  struct Key
  {
    bool low = false;
    unsigned sent = 0;
    /** Counts down, so that the newest comes first. */
    std::uint64_t age = 0;
    auto operator<=>(const Key&) const = default;
  };

  void Remove(const std::string& aAddress);

  std::uint64_t nextAge_ = UINT64_MAX;
  std::size_t urgent_ = 0;
  std::map<Key, std::string> order_;
  std::map<std::string, Key> keys_;
};

}
