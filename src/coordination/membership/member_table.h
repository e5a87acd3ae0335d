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

/** How long a suspect member has to refute. */
inline constexpr std::chrono::milliseconds kSuspicionTime{ 1500 };

/** How an update changed a MemberTable. */
struct MemberChange
{
  bool changed = false;
  /** State or place changed, not only the configuration version. */
  bool urgent = false;
  /** The member was dead and is not any more. */
  bool returned = false;
  /** Identity that the update replaced on its address. */
  std::optional<state::ProcessId> replaced;
};

/**
 * What a process believes about the other members, one per address. The
 * newest incarnation wins; at equal incarnations the worse state wins.
 */
class MemberTable
{
public:
  explicit MemberTable(const state::ProcessId& aSelf);

  MemberChange Merge(const MemberUpdate& aUpdate, state::MonotonicTime aNow);

  /** Null if nothing is known about the address. */
  const MemberUpdate* Find(const std::string& aAddress) const;
  /** Belief as it is sent, with the present length of the suspicion. */
  MemberUpdate Told(const std::string& aAddress,
                    state::MonotonicTime aNow) const;

  /** Addresses of members that are alive or suspect, in no order. */
  const std::vector<std::string>& Live() const { return live_; }
  std::vector<std::string> Dead() const;
  std::vector<MemberUpdate> All() const;

  /**
   * Live members that follow this process on a ring ordered by identity, up
   * to the first that is not suspect.
   */
  std::vector<std::string> RingSuccessors(std::size_t aLimit) const;

  /** Members whose suspicion has lasted for kSuspicionTime. */
  std::vector<MemberUpdate> SuspicionsDue(state::MonotonicTime aNow) const;
  /** This process was paused: nobody could refute in that time. */
  void ExtendSuspicions(std::chrono::nanoseconds aTime);

  /** Forgets members that have been dead or gone for a while. */
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
