#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <variant>

#include "coordination/messages.h"
#include "state/clock.h"

namespace greengage::coordination {

/** How long a request may wait for an owner of its shard. */
inline constexpr std::chrono::milliseconds kOwnerWait{ 3000 };

/** How long after its deadline the owner's answer is waited for. */
inline constexpr std::chrono::milliseconds kAnswerGrace{ 1000 };

/** What a RequestRouter may ask its surroundings to do. */
struct RequestRouterHooks
{
  std::function<void(const state::ProcessId& aOwner, PeerMessage)> send;
  /** The one and final answer to a request. */
  std::function<void(std::uint64_t aSubmission,
                     const state::JobKey& aKey,
                     const state::JobOutcome& aOutcome)>
    answer;
};

/**
 * Requests of an entry's callers on their way to the owner of the job's
 * shard. Requests are sent again when the owner changes; the job ID makes
 * that safe. Used by the control thread only.
 */
class RequestRouter
{
public:
  RequestRouter(std::uint32_t aShardCount,
                const state::Clock& aClock,
                RequestRouterHooks aHooks);

  /** Each returns the number that the answer carries. */
  std::uint64_t Submit(const state::JobSpec& aSpec);
  std::uint64_t Query(const state::JobKey& aKey);
  std::uint64_t Cancel(const state::JobKey& aKey);

  void OnOwner(const OwnerAnnouncement& aAnnouncement);
  /** The process is gone or cut off; its shards have no owner for now. */
  void OnProcessLost(const state::ProcessId& aProcess);
  void OnAnswer(const state::ProcessId& aFrom, const JobAnswer& aAnswer);

  /** Ends requests that waited too long; call every 50 ms or so. */
  void Tick();

  std::size_t PendingCount() const { return pending_.size(); }
  /** Owner of a shard, or null. */
  const OwnerAnnouncement* Owner(std::uint32_t aShard) const;

private:
  struct Pending
  {
    PeerMessage message;
    state::JobKey key;
    std::uint32_t shard = 0;
    state::MonotonicTime answerDue;
    state::MonotonicTime waitingSince;
    /** Owner that has the request now; empty while it waits for one. */
    std::optional<state::ProcessId> sentTo;
    /** True if some owner may have accepted the job. */
    bool maybeAccepted = false;
  };

  std::uint64_t Add(PeerMessage aMessage,
                    const state::JobKey& aKey,
                    std::chrono::milliseconds aDeadline);
  void Send(std::uint64_t aSubmission, Pending& aPending);
  void Finish(std::uint64_t aSubmission, const state::JobOutcome& aOutcome);

  std::uint32_t shardCount_;
  const state::Clock& clock_;
  RequestRouterHooks hooks_;
  std::uint64_t lastSubmission_ = 0;
  std::map<std::uint64_t, Pending> pending_;
  std::map<std::uint32_t, OwnerAnnouncement> owners_;
};

}
