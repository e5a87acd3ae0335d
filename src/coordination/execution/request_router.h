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

/** How long a request waits for its shard to have an owner. */
inline constexpr std::chrono::milliseconds kOwnerWaitTimeout{ 3000 };

/** How long a request waits for the owner's answer after its deadline. */
inline constexpr std::chrono::milliseconds kAnswerGrace{ 1000 };

/**
 * An owner sends an announcement every 250 ms. If none arrives for this long,
 * it is treated as lost even if its connection is open, because its process may
 * be paused.
 */
inline constexpr std::chrono::milliseconds kOwnerContactTimeout{ 1500 };

/** Callbacks of a RequestRouter. */
struct RequestRouterHooks
{
  std::function<void(const state::ProcessId& aOwner, PeerMessage)> send;
  /** Called once per request, with its final outcome. */
  std::function<void(std::uint64_t aSubmission,
                     const state::JobKey& aKey,
                     const state::JobOutcome& aOutcome)>
    answer;
};

/** Events of a RequestRouter since its process started. */
struct RouterCounters
{
  /** Requests sent to an owner. */
  std::uint64_t sent = 0;
  /** Of these, requests that had been sent before. */
  std::uint64_t resent = 0;
  /** Answers that match no pending request (wasted messages). */
  std::uint64_t lateAnswers = 0;
  /** Owners that were removed because no announcement arrived in time. */
  std::uint64_t timedOutOwners = 0;

  auto operator<=>(const RouterCounters&) const = default;
};

/**
 * Forwards the requests of an entry's callers to the owners of the jobs'
 * shards. A request is sent again when the owner changes; the job ID makes that
 * safe. Every transmission has its own number, so that the answer to an earlier
 * transmission is recognised as late. Used by the control thread only.
 */
class RequestRouter
{
public:
  RequestRouter(std::uint32_t aShardCount,
                const state::Clock& aClock,
                RequestRouterHooks aHooks);

  /** Each returns the number with which the answer is reported. */
  std::uint64_t Submit(const state::JobSpec& aSpec);
  std::uint64_t Query(const state::JobKey& aKey);
  std::uint64_t Cancel(const state::JobKey& aKey);

  void OnOwner(const OwnerAnnouncement& aAnnouncement);
  /** Removes a lost or unreachable process as the owner of its shards. */
  void OnProcessLost(const state::ProcessId& aProcess);
  void OnAnswer(const state::ProcessId& aFrom, const JobAnswer& aAnswer);

  /** Ends requests that timed out; call about every 50 ms. */
  void Tick();

  const RouterCounters& Counters() const { return counters_; }
  std::size_t PendingCount() const { return pending_.size(); }
  /** Returns the owner of a shard, or null. */
  const OwnerAnnouncement* Owner(std::uint32_t aShard) const;

private:
  struct PendingRequest
  {
    PeerMessage message;
    state::JobKey key;
    std::uint32_t shard = 0;
    state::MonotonicTime answerDue;
    /** Time since which the shard has had no reachable owner. */
    state::MonotonicTime waitingSince;
    /** Owner to which the request was sent; empty while it waits for one. */
    std::optional<state::ProcessId> sentTo;
    /** Number of the latest transmission. */
    std::uint64_t transmission = 0;
    std::vector<std::uint64_t> transmissions;
    /** True if an owner may have accepted an earlier transmission. */
    bool maybeAccepted = false;

    state::RunState CurrentRunState() const;
  };

  struct ShardOwner
  {
    OwnerAnnouncement announcement;
    state::MonotonicTime lastAnnouncementAt;
  };

  std::uint64_t Add(PeerMessage aMessage,
                    const state::JobKey& aKey,
                    std::chrono::milliseconds aDeadline);
  void Send(std::uint64_t aSubmission, PendingRequest& aPending);
  /** Marks the request as waiting for another owner since the given time. */
  void WaitForOwner(PendingRequest& aPending, state::MonotonicTime aSince);
  void RemoveOwner(std::uint32_t aShard);
  void Finish(std::uint64_t aSubmission, const state::JobOutcome& aOutcome);
  /**
   * True if submissions of the job are pending here and none of them may have
   * been accepted by an earlier owner.
   */
  bool IsCertainlyCancelled(const state::JobKey& aKey) const;
  void FinishCancelled(const state::JobKey& aKey,
                       const state::JobOutcome& aOutcome);

  std::uint32_t shardCount_;
  const state::Clock& clock_;
  RequestRouterHooks hooks_;
  RouterCounters counters_;
  std::uint64_t lastSubmission_ = 0;
  std::uint64_t lastTransmission_ = 0;
  std::map<std::uint64_t, PendingRequest> pending_;
  /** Submission of each transmission. */
  std::map<std::uint64_t, std::uint64_t> submissionsByTransmission_;
  /** Pending submissions by job; avoids a scan for every cancellation. */
  std::unordered_multimap<state::JobKey, std::uint64_t> submitsByKey_;
  std::map<std::uint32_t, ShardOwner> owners_;
};

}
