#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "coordination/dispatch/dispatch_messages.h"
#include "coordination/subset/news_list.h"
#include "state/clock.h"
#include "state/process_id.h"

namespace greengage::coordination {

/**
 * Returns the processes 1, 2, 4, 8 and so on places after aSelf in the order of
 * the ids. News that each process passes on to these reaches all in a number of
 * steps that grows with the logarithm of their number.
 * @param aOthers without aSelf
 */
std::vector<state::ProcessId>
RelayContacts(const state::ProcessId& aSelf,
              const std::set<state::ProcessId>& aOthers);

/**
 * Passes crashes of servers on between the entries of a large fleet, in which
 * an agent reports to some entries only. They must know them before callers
 * submit the jobs again, 1.3 s later. Entries that are new get the crashes of
 * the last 30 s. CancellationExchange passes on cancelled jobs. Used by the
 * control thread only.
 */
class NewsRelay
{
public:
  using SendFunction =
    std::function<void(const state::ProcessId& aEntry, const EntryNews&)>;

  NewsRelay(const state::Clock& aClock, SendFunction aSend);

  void SetSelf(const state::ProcessId& aSelf) { self_ = aSelf; }
  /** Records another entry that understands such news. */
  void OnEntry(const state::ProcessId& aEntry);
  void OnEntryLost(const state::ProcessId& aEntry);
  /** Records a crash that was reported or passed on; repetitions are ignored.
   */
  void OnCrash(const state::ProcessId& aAgent, const ServerCrash& aCrash);
  /** Records the holds of an agent or of another entry. */
  void OnHolds(const ReportedHolds& aHolds) { AddHolds(aHolds, false); }
  /** Records holds of this entry, which no agent reports. */
  void OnOwnHolds(const TaskHolds& aHolds)
  {
    AddHolds({ self_, aHolds }, true);
  }
  /** Sends what is new to each contact; call at least every 50 ms. */
  void Tick();

private:
  using CrashId = std::pair<state::ProcessId, std::uint64_t>;

  struct Hold
  {
    ReportedHolds reported;
    /** True if this entry holds the tasks itself. */
    bool isOwn = false;
  };

  /** Sequence numbers of the newest items that were sent to a contact. */
  struct Sent
  {
    std::uint64_t hold = 0;
    std::uint64_t crash = 0;
  };

  /** In smaller fleets every agent reports to every entry. */
  bool IsLargeFleet() const;
  void OnContactsChanged();
  void AddHolds(const ReportedHolds& aHolds, bool aIsOwn);
  void SendNews(const state::ProcessId& aContact, Sent& aSent) const;

  const state::Clock& clock_;
  SendFunction send_;
  state::ProcessId self_;
  std::set<state::ProcessId> entries_;
  std::map<state::ProcessId, Sent> sent_;
  bool contactsChanged_ = false;
  NewsList<CrashId, ReportedCrash> crashes_;
  /** By the process and the number of its holds. */
  NewsList<std::pair<state::ProcessId, std::uint64_t>, Hold> holds_;
};

}
