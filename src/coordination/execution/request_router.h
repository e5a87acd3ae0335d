#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "coordination/messages.h"
#include "state/clock.h"

namespace greengage::coordination {

/** How long a request may wait for an owner of its shard. */
inline constexpr std::chrono::milliseconds kOwnerWait{ 3000 };

/** How long after its deadline the owner's answer is waited for. */
inline constexpr std::chrono::milliseconds kAnswerGrace{ 1000 };

/**
 * An owner announces itself every 250 ms. One that is silent for this long is
 * taken as lost even if its connection is open, because it may be paused.
 */
inline constexpr std::chrono::milliseconds kOwnerSilence{ 1500 };

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

/** What a RequestRouter did since its process started. */
struct RouterCounters
{
  /** Requests sent to an owner. */
  std::uint64_t sent = 0;
  /** Of these, requests that had been sent to an owner before. */
  std::uint64_t resent = 0;
  /** Answers that nobody waited for (wasted messages). */
  std::uint64_t lateAnswers = 0;
  std::uint64_t silentOwners = 0;

  auto operator<=>(const RouterCounters&) const = default;
};

/**
 * Requests of an entry's callers on their way to the owner of the job's
 * shard. Requests are sent again when the owner changes; the job ID makes
 * that safe. Every sending has a number of its own, so that the answer to an
 * earlier sending is recognised as late. Used by the control thread only.
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

  const RouterCounters& Counters() const { return counters_; }
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
    /** Since when it has had no working owner. */
    state::MonotonicTime waitingSince;
    /** Owner that has the request now; empty while it waits for one. */
    std::optional<state::ProcessId> sentTo;
    /** Number of the latest sending. */
    std::uint64_t sending = 0;
    std::vector<std::uint64_t> sendings;
    /** True if an earlier sending may have been accepted. */
    bool maybeAccepted = false;

    state::RunState Run() const;
  };

  struct KnownOwner
  {
    OwnerAnnouncement announcement;
    state::MonotonicTime heardAt;
  };

  std::uint64_t Add(PeerMessage aMessage,
                    const state::JobKey& aKey,
                    std::chrono::milliseconds aDeadline);
  void Send(std::uint64_t aSubmission, Pending& aPending);
  /** The request waits for another owner since the given time. */
  void Abandon(Pending& aPending, state::MonotonicTime aSince);
  void LoseOwner(std::uint32_t aShard);
  void Finish(std::uint64_t aSubmission, const state::JobOutcome& aOutcome);
  /** The job's submissions wait here, and only the present owner has them. */
  bool CertainlyCancelled(const state::JobKey& aKey) const;
  void FinishCancelled(const state::JobKey& aKey,
                       const state::JobOutcome& aOutcome);

  std::uint32_t shardCount_;
  const state::Clock& clock_;
  RequestRouterHooks hooks_;
  RouterCounters counters_;
  std::uint64_t lastSubmission_ = 0;
  std::uint64_t lastSending_ = 0;
  std::map<std::uint64_t, Pending> pending_;
  /** Submission of each sending. */
  std::map<std::uint64_t, std::uint64_t> sendings_;
  /** Pending submissions of jobs, so that a wave of cancellations is cheap. */
  std::unordered_multimap<state::JobKey, std::uint64_t> submits_;
  std::map<std::uint32_t, KnownOwner> owners_;
};

}
