#include "coordination/membership/update_queue.h"

#include <bit>

namespace greengage::coordination {

namespace {

/** Each member sends a change this often times log2 of their number. */
constexpr unsigned kRepeatFactor = 3;
/**
 * Configuration versions change at all members at once; more repeats would
 * fill every packet at 1,000 members.
 */
constexpr unsigned kLowRepeats = 2;

unsigned
RepeatLimit(bool aLow, std::size_t aMembers)
{
  return aLow ? kLowRepeats
              : kRepeatFactor * static_cast<unsigned>(std::bit_width(aMembers));
}

}

void
UpdateQueue::Add(const std::string& aAddress, bool aUrgent)
{
  auto known = keys_.find(aAddress);
  bool low = !aUrgent && (known == keys_.end() || known->second.low);
  Remove(aAddress);
  Key key{ low, 0, nextAge_-- };
  order_.emplace(key, aAddress);
  keys_.emplace(aAddress, key);
  urgent_ += low ? 0 : 1;
}

std::vector<MemberUpdate>
UpdateQueue::Take(
  std::size_t aBytes,
  std::size_t aMembers,
  const std::function<std::optional<MemberUpdate>(const std::string&)>& aLookUp)
{
  std::vector<MemberUpdate> taken;
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
      taken.push_back(*std::move(update));
    }
  }
  for (auto& [key, address] : sent) {
    Remove(address);
    if (++key.sent < RepeatLimit(key.low, aMembers)) {
      order_.emplace(key, address);
      keys_.emplace(address, key);
      urgent_ += key.low ? 0 : 1;
    }
  }
  return taken;
}

void
UpdateQueue::Remove(const std::string& aAddress)
{
  auto known = keys_.find(aAddress);
  if (known == keys_.end()) {
    return;
  }
  urgent_ -= known->second.low ? 0 : 1;
  order_.erase(known->second);
  keys_.erase(known);
}

}
