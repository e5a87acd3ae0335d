#include "coordination/execution/request_router.h"

#include <algorithm>

namespace greengage::coordination {

using state::JobOutcome;
using state::RefusalCode;
using state::RunState;

namespace {

// Short because owners answer queries and cancellations from memory.
constexpr std::chrono::milliseconds kControlDeadline{ 2000 };
constexpr std::chrono::milliseconds kUnavailableRetryAfter{ 1000 };

}

RunState
RequestRouter::PendingRequest::CurrentRunState() const
{
  return maybeAccepted || sentTo ? RunState::eUnknown : RunState::eNotRun;
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
  return Add(SubmitJob{ 0, aSpec }, aSpec.Key(), aSpec.Deadline());
}

std::uint64_t
RequestRouter::Query(const state::JobKey& aKey)
{
  return Add(QueryJob{ 0, aKey }, aKey, kControlDeadline);
}

std::uint64_t
RequestRouter::Cancel(const state::JobKey& aKey)
{
  return Add(CancelJob{ 0, aKey }, aKey, kControlDeadline);
}

void
RequestRouter::OnOwner(const OwnerAnnouncement& aAnnouncement)
{
  auto now = clock_.MonotonicNow();
  auto known = owners_.find(aAnnouncement.shard);
  bool isNew = true;
  if (known != owners_.end()) {
    const OwnerAnnouncement& present = known->second.announcement;
    if (aAnnouncement.token < present.token) {
      return;
    }
    // A newer token of the same process may mean that it has lost its jobs.
    isNew = aAnnouncement.token != present.token ||
            aAnnouncement.owner.id != present.owner.id;
  }
  owners_[aAnnouncement.shard] = { aAnnouncement, now };
  if (!isNew) {
    return;
  }
  for (auto& [submission, pending] : pending_) {
    if (pending.shard != aAnnouncement.shard) {
      continue;
    }
    if (pending.sentTo) {
      WaitForOwner(pending, now);
    }
    Send(submission, pending);
  }
}

void
RequestRouter::OnProcessLost(const state::ProcessId& aProcess)
{
  std::vector<std::uint32_t> shards;
  for (const auto& [shard, owner] : owners_) {
    if (owner.announcement.owner.id == aProcess) {
      shards.push_back(shard);
    }
  }
  for (std::uint32_t shard : shards) {
    RemoveOwner(shard);
  }
}

void
RequestRouter::OnAnswer(const state::ProcessId& aFrom, const JobAnswer& aAnswer)
{
  auto transmission = submissionsByTransmission_.find(aAnswer.submission);
  auto found = transmission == submissionsByTransmission_.end()
                 ? pending_.end()
                 : pending_.find(transmission->second);
  bool known = found != pending_.end() && found->second.key == aAnswer.key;
  bool latest = known && found->second.sentTo == aFrom &&
                found->second.transmission == aAnswer.submission;
  // The current owner may still complete a job for which an earlier owner
  // reported a failure. A complete answer is valid from any owner.
  if (!latest && !(known && aAnswer.outcome.complete)) {
    ++counters_.lateAnswers;
    return;
  }
  std::uint64_t submission = found->first;
  PendingRequest& pending = found->second;
  if (aAnswer.outcome.code == RefusalCode::eNotOwner) {
    // This transmission was certainly not accepted.
    pending.sentTo.reset();
    auto owner = owners_.find(pending.shard);
    if (owner != owners_.end() &&
        owner->second.announcement.owner.id == aFrom) {
      owners_.erase(owner);
    }
    return;
  }
  bool cancelled = std::holds_alternative<CancelJob>(pending.message) &&
                   aAnswer.outcome.code == RefusalCode::eCancelled;
  JobOutcome outcome = aAnswer.outcome;
  bool mayRunLater =
    pending.maybeAccepted || (cancelled && !IsCertainlyCancelled(aAnswer.key));
  if (mayRunLater && outcome.run == RunState::eNotRun) {
    // A paused process may hold an earlier transmission unread and accept it if
    // it becomes the owner again.
    outcome.run = RunState::eUnknown;
  }
  Finish(submission, outcome);
  if (cancelled) {
    FinishCancelled(aAnswer.key, outcome);
  }
}

bool
RequestRouter::IsCertainlyCancelled(const state::JobKey& aKey) const
{
  auto [begin, end] = submitsByKey_.equal_range(aKey);
  bool maybeAccepted = std::any_of(begin, end, [this](const auto& aEntry) {
    return pending_.at(aEntry.second).maybeAccepted;
  });
  return begin != end && !maybeAccepted;
}

void
RequestRouter::Tick()
{
  auto now = clock_.MonotonicNow();
  std::vector<std::uint32_t> timedOut;
  for (const auto& [shard, owner] : owners_) {
    if (now - owner.lastAnnouncementAt >= kOwnerContactTimeout) {
      timedOut.push_back(shard);
    }
  }
  for (std::uint32_t shard : timedOut) {
    ++counters_.timedOutOwners;
    RemoveOwner(shard);
  }
  std::vector<std::pair<std::uint64_t, JobOutcome>> ended;
  for (const auto& [submission, pending] : pending_) {
    if (!pending.sentTo && now - pending.waitingSince >= kOwnerWaitTimeout) {
      ended.emplace_back(
        submission,
        JobOutcome::Failed(RefusalCode::eShardUnavailable,
                           pending.CurrentRunState(),
                           "no process owns the job's shard at the moment",
                           kUnavailableRetryAfter));
    } else if (now >= pending.answerDue) {
      ended.emplace_back(submission,
                         JobOutcome::Failed(RefusalCode::eDeadlineExceeded,
                                            pending.CurrentRunState(),
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
  return found == owners_.end() ? nullptr : &found->second.announcement;
}

std::uint64_t
RequestRouter::Add(PeerMessage aMessage,
                   const state::JobKey& aKey,
                   std::chrono::milliseconds aDeadline)
{
  std::uint64_t submission = ++lastSubmission_;
  auto now = clock_.MonotonicNow();
  PendingRequest pending;
  pending.message = std::move(aMessage);
  pending.key = aKey;
  pending.shard = aKey.Shard(shardCount_);
  pending.answerDue = now + aDeadline + kAnswerGrace;
  pending.waitingSince = now;
  if (std::holds_alternative<SubmitJob>(pending.message)) {
    submitsByKey_.emplace(aKey, submission);
  }
  auto [entry, inserted] = pending_.emplace(submission, std::move(pending));
  Send(submission, entry->second);
  return submission;
}

void
RequestRouter::Send(std::uint64_t aSubmission, PendingRequest& aPending)
{
  auto owner = owners_.find(aPending.shard);
  if (owner == owners_.end()) {
    return;
  }
  ++counters_.sent;
  counters_.resent += aPending.transmission != 0 ? 1 : 0;
  aPending.transmission = ++lastTransmission_;
  aPending.transmissions.push_back(aPending.transmission);
  submissionsByTransmission_.emplace(aPending.transmission, aSubmission);
  aPending.sentTo = owner->second.announcement.owner.id;
  PeerMessage message = aPending.message;
  if (auto* submit = std::get_if<SubmitJob>(&message)) {
    submit->submission = aPending.transmission;
  } else if (auto* query = std::get_if<QueryJob>(&message)) {
    query->submission = aPending.transmission;
  } else if (auto* cancel = std::get_if<CancelJob>(&message)) {
    cancel->submission = aPending.transmission;
  }
  hooks_.send(*aPending.sentTo, std::move(message));
}

void
RequestRouter::WaitForOwner(PendingRequest& aPending,
                            state::MonotonicTime aSince)
{
  aPending.sentTo.reset();
  aPending.maybeAccepted = true;
  aPending.waitingSince = std::max(aPending.waitingSince, aSince);
}

void
RequestRouter::RemoveOwner(std::uint32_t aShard)
{
  auto owner = owners_.extract(aShard);
  for (auto& [submission, pending] : pending_) {
    if (pending.shard == aShard && pending.sentTo) {
      WaitForOwner(pending, owner.mapped().lastAnnouncementAt);
    }
  }
}

void
RequestRouter::Finish(std::uint64_t aSubmission, const JobOutcome& aOutcome)
{
  auto found = pending_.extract(aSubmission);
  for (std::uint64_t transmission : found.mapped().transmissions) {
    submissionsByTransmission_.erase(transmission);
  }
  auto [begin, end] = submitsByKey_.equal_range(found.mapped().key);
  auto submit = std::find_if(begin, end, [&](const auto& aEntry) {
    return aEntry.second == aSubmission;
  });
  if (submit != end) {
    submitsByKey_.erase(submit);
  }
  hooks_.answer(aSubmission, found.mapped().key, aOutcome);
}

void
RequestRouter::FinishCancelled(const state::JobKey& aKey,
                               const JobOutcome& aOutcome)
{
  // These submissions would run the cancelled job if they were sent to a later
  // owner.
  std::vector<std::uint64_t> cancelled;
  auto [begin, end] = submitsByKey_.equal_range(aKey);
  for (auto entry = begin; entry != end; ++entry) {
    cancelled.push_back(entry->second);
  }
  for (std::uint64_t submission : cancelled) {
    Finish(submission, aOutcome);
  }
}

}
