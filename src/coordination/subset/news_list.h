#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <utility>
#include <vector>

#include "state/clock.h"

namespace greengage::coordination {

/** Limits of a NewsList. */
struct NewsLimits
{
  /** Age up to which news are passed on. */
  std::chrono::milliseconds retention{ 0 };
  std::size_t maxItems = 0;
  /** Items in one message; further ones follow in the next one. */
  std::size_t maxItemsPerMessage = 0;

  auto operator<=>(const NewsLimits&) const = default;
};

/**
 * News of one kind that an entry has learned and passes on to others. Contents
 * are identified by a key; repetitions are ignored. Used by the control thread
 * only.
 */
template<class Key, class Content>
class NewsList
{
public:
  explicit NewsList(const NewsLimits& aLimits)
    : limits_(aLimits)
  {
  }

  /** Returns false if the content is known or too old. */
  bool Add(Key aKey,
           Content aContent,
           std::chrono::milliseconds aAge,
           state::MonotonicTime aNow)
  {
    if (aAge > limits_.retention || !known_.insert(aKey).second) {
      return false;
    }
    if (items_.size() >= limits_.maxItems) {
      RemoveOldest();
    }
    items_.push_back({ aNow - aAge, std::move(aKey), std::move(aContent) });
    ++newest_;
    return true;
  }

  /** Removes what may not be news to another entry any more. */
  void Expire(state::MonotonicTime aNow)
  {
    // Kept for longer than it is passed on, so that it is not taken for new.
    while (!items_.empty() &&
           aNow - items_.front().since > 2 * limits_.retention) {
      RemoveOldest();
    }
  }

  /**
   * Returns the next contents after a sequence number and their ages, and sets
   * the number to that of the last one.
   */
  std::vector<std::pair<Content, std::chrono::milliseconds>> After(
    std::uint64_t& aSequence,
    state::MonotonicTime aNow) const
  {
    std::vector<std::pair<Content, std::chrono::milliseconds>> news;
    if (aSequence == newest_) {
      return news;
    }
    // The numbers of the items are consecutive and end with newest_.
    std::uint64_t oldest = newest_ + 1 - items_.size();
    for (std::size_t i = aSequence < oldest ? 0 : aSequence + 1 - oldest;
         i < items_.size();
         ++i) {
      const Item& item = items_[i];
      auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        aNow - item.since);
      if (age > limits_.retention) {
        continue;
      }
      if (news.size() == limits_.maxItemsPerMessage) {
        return news;
      }
      news.emplace_back(item.content, age);
      aSequence = oldest + i;
    }
    aSequence = newest_;
    return news;
  }

private:
  struct Item
  {
    state::MonotonicTime since;
    Key key;
    Content content;
  };

  void RemoveOldest()
  {
    known_.erase(items_.front().key);
    items_.pop_front();
  }

  NewsLimits limits_;
  /** Number of the newest item; the first one has the number 1. */
  std::uint64_t newest_ = 0;
  std::deque<Item> items_;
  std::set<Key> known_;
};

}
