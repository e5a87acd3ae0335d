#pragma once

#include <map>
#include <optional>

#include "coordination/messages.h"
#include "state/clock.h"

namespace greengage::coordination {

/** Duration of a granted lease, from the time when the request was sent. */
inline constexpr std::chrono::milliseconds kLeaseDuration{ 1000 };

/**
 * Margin for the rates of the hosts' monotonic clocks, which may differ by 0.1%
 * of kLeaseDuration.
 */
inline constexpr std::chrono::milliseconds kLeaseDriftMargin{ 1 };

/**
 * The state of a group member for one shard: the highest token that it
 * promised, the grants that may still be in use, and the agents in use. On
 * restart the process loses this state together with its identity and
 * membership.
 */
class LeaseMember
{
public:
  LeaseMember(std::uint32_t aShard,
              const state::ProcessId& aSelf,
              const state::Clock& aClock);

  /**
   * Processes a request and returns the reply. A request for epoch 0 only
   * queries the state of the grants and is never granted.
   */
  LeaseReply OnRequest(const state::ProcessId& aFrom,
                       const LeaseRequest& aRequest);

  const state::OwnershipToken& Promised() const { return promised_; }

  /** Drops agents that were lost more than kJobRetention + kClockMargin ago. */
  void Expire();

  std::size_t AgentCount() const { return agents_.size(); }

private:
  struct Grant
  {
    state::OwnershipToken token;
    state::MonotonicTime end;
  };
  struct StoredAgent
  {
    AgentInUse agent;
    /** Time at which this member was notified that the agent is lost. */
    std::optional<state::MonotonicTime> lostAt;
  };

  bool MayGrant(const LeaseRequest& aRequest) const;
  void Release(const state::ProcessId& aFrom, const LeaseRequest& aRequest);
  void RecordGrant(const state::ProcessId& aFrom, const LeaseRequest& aRequest);
  void StoreAgents(const LeaseRequest& aRequest);
  /** Returns how long the grants to processes other than aFrom still last. */
  std::chrono::milliseconds RemainingGrantsOfOthers(
    const state::ProcessId& aFrom) const;

  std::uint32_t shard_;
  state::ProcessId self_;
  const state::Clock& clock_;
  state::OwnershipToken promised_;
  /** Token that its holder released; it is not granted again. */
  std::optional<state::OwnershipToken> released_;
  /** Highest sequence number received with the promised token. */
  std::uint64_t sequence_ = 0;
  std::map<state::ProcessId, Grant> grants_;
  std::map<state::ProcessId, StoredAgent> agents_;
};

}
