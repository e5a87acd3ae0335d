#include "coordination/request_router.h"

namespace greengage::coordination {

using state::JobOutcome;
using state::RefusalCode;
using state::RunState;

namespace {

// Queries and cancellations are answered from memory.
constexpr std::chrono::milliseconds kControlDeadline{ 2000 };
constexpr std::chrono::milliseconds kUnavailableRetryAfter{ 1000 };

}

RequestRouter::RequestRouter(std::uint32_t aShardCount,
                             const state::Clock& aClock,
                             RequestRouterHooks aHooks)
  : shardCount_(aShardCount)
  , clock_(aClock)
  , hooks_(std::move(aHooks))
{
}

std::uint64_t
RequestRouter::Submit(const state::JobSpec& aSpec)
{
  return Add(
    SubmitJob{ lastSubmission_ + 1, aSpec }, aSpec.Key(), aSpec.Deadline());
}

std::uint64_t
RequestRouter::Query(const state::JobKey& aKey)
{
  return Add(QueryJob{ lastSubmission_ + 1, aKey }, aKey, kControlDeadline);
}

std::uint64_t
RequestRouter::Cancel(const state::JobKey& aKey)
{
  return Add(CancelJob{ lastSubmission_ + 1, aKey }, aKey, kControlDeadline);
}

void
RequestRouter::OnOwner(const OwnerAnnouncement& aAnnouncement)
{
  auto known = owners_.find(aAnnouncement.shard);
  if (known != owners_.end()) {
    if (aAnnouncement.token < known->second.token) {
      return;
    }
    if (aAnnouncement == known->second) {
      return;
    }
  }
  owners_[aAnnouncement.shard] = aAnnouncement;
  for (auto& [submission, pending] : pending_) {
    if (pending.shard == aAnnouncement.shard &&
        pending.sentTo != aAnnouncement.owner.id) {
      Send(submission, pending);
    }
  }
}

void
RequestRouter::OnProcessLost(const state::ProcessId& aProcess)
{
  std::erase_if(owners_, [&](const auto& aEntry) {
    return aEntry.second.owner.id == aProcess;
  });
  for (auto& [submission, pending] : pending_) {
    if (pending.sentTo == aProcess) {
      pending.sentTo.reset();
      pending.waitingSince = clock_.MonotonicNow();
    }
  }
}

void
RequestRouter::OnAnswer(const state::ProcessId& aFrom, const JobAnswer& aAnswer)
{
  auto found = pending_.find(aAnswer.submission);
  if (found == pending_.end() || found->second.key != aAnswer.key) {
    return;
  }
  Pending& pending = found->second;
  if (pending.sentTo != aFrom) {
    // A late answer of an earlier owner; the present one decides.
    return;
  }
  if (aAnswer.outcome.code == RefusalCode::eNotOwner) {
    pending.sentTo.reset();
    pending.waitingSince = clock_.MonotonicNow();
    auto owner = owners_.find(pending.shard);
    if (owner != owners_.end() && owner->second.owner.id == aFrom) {
      owners_.erase(owner);
    }
    return;
  }
  Finish(aAnswer.submission, aAnswer.outcome);
}

void
RequestRouter::Tick()
{
  auto now = clock_.MonotonicNow();
  std::vector<std::pair<std::uint64_t, JobOutcome>> ended;
  for (const auto& [submission, pending] : pending_) {
    RunState run =
      pending.maybeAccepted ? RunState::eUnknown : RunState::eNotRun;
    if (!pending.sentTo && now - pending.waitingSince >= kOwnerWait) {
      ended.emplace_back(
        submission,
        JobOutcome::Failed(RefusalCode::eShardUnavailable,
                           run,
                           "no process owns the job's shard at the moment",
                           kUnavailableRetryAfter));
    } else if (now >= pending.answerDue) {
      ended.emplace_back(submission,
                         JobOutcome::Failed(RefusalCode::eDeadlineExceeded,
                                            run,
                                            "the deadline passed without an "
                                            "answer from the owner"));
    }
  }
  for (const auto& [submission, outcome] : ended) {
    Finish(submission, outcome);
  }
}

const OwnerAnnouncement*
RequestRouter::Owner(std::uint32_t aShard) const
{
  auto found = owners_.find(aShard);
  return found == owners_.end() ? nullptr : &found->second;
}

std::uint64_t
RequestRouter::Add(PeerMessage aMessage,
                   const state::JobKey& aKey,
                   std::chrono::milliseconds aDeadline)
{
  std::uint64_t submission = ++lastSubmission_;
  auto now = clock_.MonotonicNow();
  Pending pending;
  pending.message = std::move(aMessage);
  pending.key = aKey;
  pending.shard = aKey.Shard(shardCount_);
  pending.answerDue = now + aDeadline + kAnswerGrace;
  pending.waitingSince = now;
  auto [entry, inserted] = pending_.emplace(submission, std::move(pending));
  Send(submission, entry->second);
  return submission;
}

void
RequestRouter::Send(std::uint64_t, Pending& aPending)
{
  auto owner = owners_.find(aPending.shard);
  if (owner == owners_.end()) {
    return;
  }
  aPending.sentTo = owner->second.owner.id;
  if (std::holds_alternative<SubmitJob>(aPending.message)) {
    aPending.maybeAccepted = true;
  }
  hooks_.send(owner->second.owner.id, aPending.message);
}

void
RequestRouter::Finish(std::uint64_t aSubmission, const JobOutcome& aOutcome)
{
  auto found = pending_.find(aSubmission);
  state::JobKey key = std::move(found->second.key);
  pending_.erase(found);
  hooks_.answer(aSubmission, key, aOutcome);
}

}
