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
 * Queue of the addresses of members whose changes are still to be sent. Urgent
 * changes are sent first, then those sent least often, then the newest. Each is
 * sent a limited number of times.
 */
class UpdateQueue
{
public:
  void Add(const std::string& aAddress, bool aUrgent);
  bool HasUrgent() const { return urgentCount_ > 0; }

  /**
   * Returns the next updates that fit into one packet and counts them as sent.
   * @param aBytes upper bound of their encoded size
   * @param aMembers number of members, which determines how often each is sent
   * @param aLookUp returns the last known state of an address; empty if the
   *   address is no longer known
   */
  std::vector<MemberUpdate> SelectForPacket(
    std::size_t aBytes,
    std::size_t aMembers,
    const std::function<std::optional<MemberUpdate>(const std::string&)>&
      aLookUp);

private:
  struct Key
  {
    bool isLowPriority = false;
    unsigned sentCount = 0;
    /** Decreases with every added change, so that the newest sorts first. */
    std::uint64_t age = 0;
    auto operator<=>(const Key&) const = default;
  };

  void Remove(const std::string& aAddress);

  std::uint64_t nextAge_ = UINT64_MAX;
  std::size_t urgentCount_ = 0;
  std::map<Key, std::string> order_;
  std::map<std::string, Key> keys_;
};

}
