#include "coordination/membership/update_queue.h"

#include <bit>

namespace greengage::coordination {

namespace {

/** A member sends a change this number times log2 of the member count. */
constexpr unsigned kRepeatFactor = 3;
/**
 * Configuration versions change at all members at once; at 1,000 members more
 * repeats would fill every packet.
 */
constexpr unsigned kLowPriorityRepeats = 2;

unsigned
RepeatLimit(bool aLowPriority, std::size_t aMembers)
{
  return aLowPriority
           ? kLowPriorityRepeats
           : kRepeatFactor * static_cast<unsigned>(std::bit_width(aMembers));
}

}

void
UpdateQueue::Add(const std::string& aAddress, bool aUrgent)
{
  auto known = keys_.find(aAddress);
  bool isLowPriority =
    !aUrgent && (known == keys_.end() || known->second.isLowPriority);
  Remove(aAddress);
  Key key{ isLowPriority, 0, nextAge_-- };
  order_.emplace(key, aAddress);
  keys_.emplace(aAddress, key);
  urgentCount_ += isLowPriority ? 0 : 1;
}

std::vector<MemberUpdate>
UpdateQueue::SelectForPacket(
  std::size_t aBytes,
  std::size_t aMembers,
  const std::function<std::optional<MemberUpdate>(const std::string&)>& aLookUp)
{
  std::vector<MemberUpdate> selected;
  std::vector<std::pair<Key, std::string>> sent;
  for (const auto& [key, address] : order_) {
    std::optional<MemberUpdate> update = aLookUp(address);
    std::size_t size = update ? EncodedBytes(*update) : 0;
    if (size > aBytes) {
      break;
    }
    sent.emplace_back(key, address);
    if (update) {
      aBytes -= size;
      selected.push_back(*std::move(update));
    }
  }
  for (auto& [key, address] : sent) {
    Remove(address);
    if (++key.sentCount < RepeatLimit(key.isLowPriority, aMembers)) {
      order_.emplace(key, address);
      keys_.emplace(address, key);
      urgentCount_ += key.isLowPriority ? 0 : 1;
    }
  }
  return selected;
}

void
UpdateQueue::Remove(const std::string& aAddress)
{
  auto known = keys_.find(aAddress);
  if (known == keys_.end()) {
    return;
  }
  urgentCount_ -= known->second.isLowPriority ? 0 : 1;
  order_.erase(known->second);
  keys_.erase(known);
}

}
