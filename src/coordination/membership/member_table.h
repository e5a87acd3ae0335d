#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/membership/membership_messages.h"
#include "state/clock.h"

namespace greengage::coordination {

/** Time within which a suspect member must refute the suspicion. */
inline constexpr std::chrono::milliseconds kSuspicionTime{ 1500 };

/** Effect of an update on a MemberTable. */
struct MemberChange
{
  bool changed = false;
  /** More than the configuration version changed. */
  bool urgent = false;
  /** The member was dead or had left and is alive or suspect now. */
  bool returned = false;
  /** Identity of the earlier process on the same address, if it changed. */
  std::optional<state::ProcessId> replaced;
};

/**
 * Last known states of the other members, one for each address. Of two updates
 * the one with the higher incarnation wins; at equal incarnations the one with
 * the later MemberState wins.
 */
class MemberTable
{
public:
  explicit MemberTable(const state::ProcessId& aSelf);

  MemberChange Merge(const MemberUpdate& aUpdate, state::MonotonicTime aNow);

  /** Returns the last known state; null if the address is unknown. */
  const MemberUpdate* Find(const std::string& aAddress) const;
  /** Returns the state to send, with the present value of suspectFor. */
  MemberUpdate UpdateToSend(const std::string& aAddress,
                            state::MonotonicTime aNow) const;

  /** Addresses of members that are alive or suspect, in no particular order. */
  const std::vector<std::string>& Live() const { return live_; }
  std::vector<std::string> Dead() const;
  std::vector<MemberUpdate> All() const;

  /**
   * Live members that follow this process on a ring ordered by the hash of the
   * identity, up to the first that is not suspect; at most aLimit.
   */
  std::vector<std::string> RingSuccessors(std::size_t aLimit) const;

  /** Members whose suspicion has lasted for kSuspicionTime. */
  std::vector<MemberUpdate> SuspicionsDue(state::MonotonicTime aNow) const;
  /**
   * Extends all suspicions by the time for which this process was paused, as it
   * could not receive refutations in that time.
   */
  void ExtendSuspicions(std::chrono::nanoseconds aTime);

  /** Removes members that died or left more than kDeadRetention ago. */
  void Expire(state::MonotonicTime aNow);

private:
  struct Entry
  {
    MemberUpdate update;
    state::MonotonicTime suspicionEnd;
    state::MonotonicTime stateSince;
    /** Position in live_. */
    std::size_t livePosition = 0;
  };

  void Store(Entry& aEntry,
             const MemberUpdate& aUpdate,
             state::MonotonicTime aNow);
  void AddLive(const std::string& aAddress, Entry& aEntry);
  void RemoveLive(const std::string& aAddress, Entry& aEntry);

  std::uint64_t selfPosition_;
  std::unordered_map<std::string, Entry> entries_;
  std::vector<std::string> live_;
  std::set<std::pair<std::uint64_t, std::string>> ring_;
  std::set<std::string> suspects_;
};

}
