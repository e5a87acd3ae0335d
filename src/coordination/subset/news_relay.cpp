#include "coordination/subset/news_relay.h"

#include <algorithm>
#include <utility>

#include "coordination/dispatch/late_starts.h"
#include "coordination/subset/entry_choice.h"

namespace greengage::coordination {

using state::ProcessId;
using std::chrono::milliseconds;

namespace {

/** Crashes are passed on for as long as agents report them. */
constexpr NewsLimits kCrashLimits{ milliseconds(30'000), 512, 32 };
/** A message has at most 4 lists of 1,024 tasks, which need 40 bytes each. */
constexpr NewsLimits kHoldLimits{ kLongestStartDelay, 512, 4 };

}

std::vector<ProcessId>
RelayContacts(const ProcessId& aSelf, const std::set<ProcessId>& aOthers)
{
  std::vector<ProcessId> ring(aOthers.upper_bound(aSelf), aOthers.end());
  ring.insert(ring.end(), aOthers.begin(), aOthers.upper_bound(aSelf));
  std::vector<ProcessId> contacts;
  for (std::size_t place = 1; place <= ring.size(); place *= 2) {
    contacts.push_back(ring[place - 1]);
  }
  return contacts;
}

NewsRelay::NewsRelay(const state::Clock& aClock, SendFunction aSend)
  : clock_(aClock)
  , send_(std::move(aSend))
  , crashes_(kCrashLimits)
  , holds_(kHoldLimits)
{
}

void
NewsRelay::OnEntry(const ProcessId& aEntry)
{
  contactsChanged_ = entries_.insert(aEntry).second || contactsChanged_;
}

void
NewsRelay::OnEntryLost(const ProcessId& aEntry)
{
  contactsChanged_ = entries_.erase(aEntry) > 0 || contactsChanged_;
}

void
NewsRelay::OnCrash(const ProcessId& aAgent, const ServerCrash& aCrash)
{
  crashes_.Add({ aAgent, aCrash.number },
               { aAgent, aCrash },
               milliseconds(aCrash.ageMs),
               clock_.MonotonicNow());
}

void
NewsRelay::AddHolds(const ReportedHolds& aHolds, bool aIsOwn)
{
  holds_.Add({ aHolds.reporter, aHolds.holds.number },
             { aHolds, aIsOwn },
             milliseconds(0),
             clock_.MonotonicNow());
}

bool
NewsRelay::IsLargeFleet() const
{
  return entries_.size() + 1 > kMaxEntriesPerServer;
}

void
NewsRelay::OnContactsChanged()
{
  std::vector<ProcessId> contacts =
    IsLargeFleet() ? RelayContacts(self_, entries_)
                   : std::vector(entries_.begin(), entries_.end());
  std::map<ProcessId, Sent> sent;
  for (const ProcessId& contact : contacts) {
    sent[contact] = sent_[contact];
  }
  sent_ = std::move(sent);
}

void
NewsRelay::Tick()
{
  auto now = clock_.MonotonicNow();
  crashes_.Expire(now);
  holds_.Expire(now);
  if (std::exchange(contactsChanged_, false)) {
    OnContactsChanged();
  }
  for (auto& [contact, sent] : sent_) {
    SendNews(contact, sent);
  }
}

void
NewsRelay::SendNews(const ProcessId& aContact, Sent& aSent) const
{
  auto now = clock_.MonotonicNow();
  EntryNews news;
  if (IsLargeFleet()) {
    for (auto& [crash, age] : crashes_.After(aSent.crash, now)) {
      news.crashes.push_back(std::move(crash));
      news.crashes.back().crash.ageMs = static_cast<std::uint32_t>(age.count());
    }
  }
  for (auto& [hold, age] : holds_.After(aSent.hold, now)) {
    if (hold.isOwn || IsLargeFleet()) {
      news.holds.push_back(std::move(hold.reported));
      for (HeldTask& held : news.holds.back().holds.tasks) {
        auto ageMs = static_cast<std::uint32_t>(age.count());
        held.leftMs -= std::min(held.leftMs, ageMs);
      }
    }
  }
  if (!news.crashes.empty() || !news.holds.empty()) {
    send_(aContact, news);
  }
}

}
