#include "coordination/configuration/configuration_publisher.h"

#include <algorithm>

#include <fmt/format.h>

namespace greengage::coordination {

using state::RefusalCode;
using state::RunState;

namespace {

constexpr std::chrono::milliseconds kFirstBackoff{ 100 };
constexpr std::chrono::milliseconds kMaxBackoff{ 800 };

/** Returns the version that a writer has to base its next change on. */
std::uint64_t
CurrentVersion(const LogContent& aContent, const ConfigurationFold& aFold)
{
  if (const auto* change = std::get_if<state::ConfigurationChange>(&aContent)) {
    const auto* entry = aFold.Documents().Find(change->key);
    // A writer creates a deleted key again from version 0.
    return entry && !entry->change.IsDeletion() ? entry->version : 0;
  }
  if (const auto* group = std::get_if<OwnershipRecord>(&aContent)) {
    return aFold.Ownership().LastEpoch(group->shard);
  }
  return aFold.Version();
}

std::uint64_t
AppliedVersion(const LogContent& aContent, const ConfigurationFold& aFold)
{
  if (const auto* change = std::get_if<state::ConfigurationChange>(&aContent)) {
    return aFold.Documents().VersionOfChange(change->changeId).value_or(0);
  }
  return aFold.Version();
}

bool
IsSuperseded(const PositionedRecord& aRecord, const ConfigurationFold& aFold)
{
  auto live = aFold.RecordsFrom(aRecord.position.offset);
  return std::find(live.begin(), live.end(), aRecord) == live.end();
}

}

ConfigurationPublisher::ConfigurationPublisher(
  const state::Clock& aClock,
  ConfigurationPublisherHooks aHooks)
  : clock_(aClock)
  , hooks_(std::move(aHooks))
{
}

void
ConfigurationPublisher::Propose(LogContent aContent, PublishDone aDone)
{
  if (proposals_.size() >= kMaxPendingProposals) {
    aDone({ RefusalCode::eLogUnavailable,
            RunState::eNotRun,
            fmt::format("{} changes are already waiting for the log",
                        proposals_.size()) });
    return;
  }
  Add(std::move(aContent), std::move(aDone), std::nullopt);
}

void
ConfigurationPublisher::Carry(const PositionedRecord& aRecord)
{
  Add(
    aRecord.content, [](const PublishOutcome&) {}, aRecord.position);
}

void
ConfigurationPublisher::Add(LogContent aContent,
                            PublishDone aDone,
                            std::optional<state::RecordPosition> aCarriedFrom)
{
  Proposal proposal;
  proposal.ticket = ++lastTicket_;
  proposal.content = std::move(aContent);
  proposal.done = std::move(aDone);
  proposal.nextAttempt = clock_.MonotonicNow();
  proposal.deadline = proposal.nextAttempt + kPublishTimeout;
  proposal.earlierReads = readsStarted_;
  proposal.carriedFrom = aCarriedFrom;
  proposals_.push_back(std::move(proposal));
}

void
ConfigurationPublisher::OnCaughtUp(const ConfigurationFold& aFold)
{
  for (Proposal& proposal : proposals_) {
    if (readsStarted_ > proposal.earlierReads) {
      proposal.laterReadFinished = true;
    }
  }
  Advance(aFold);
}

void
ConfigurationPublisher::OnAppended(std::uint64_t aTicket, AppendStatus aStatus)
{
  auto found =
    std::find_if(proposals_.begin(), proposals_.end(), [&](const auto& aItem) {
      return aItem.ticket == aTicket;
    });
  if (found == proposals_.end()) {
    return;
  }
  Proposal& proposal = *found;
  proposal.inFlight = false;
  switch (aStatus) {
    case AppendStatus::eAppended:
      proposal.appended = true;
      proposal.offsetTaken = true;
      hooks_.readLog();
      return;
    case AppendStatus::eConflict:
      // An earlier append of this record may have taken the offset; the next
      // read shows whether it did.
      proposal.offsetTaken = true;
      proposal.earlierReads = readsStarted_;
      proposal.laterReadFinished = false;
      hooks_.readLog();
      return;
    case AppendStatus::eRefused:
      break;
    case AppendStatus::eUncertain:
      proposal.uncertain = true;
      break;
  }
  // In both cases the append is retried at the same offset, until the log
  // holds a record there.
  proposal.backoff =
    std::clamp(2 * proposal.backoff, kFirstBackoff, kMaxBackoff);
  proposal.nextAttempt = clock_.MonotonicNow() + proposal.backoff;
}

void
ConfigurationPublisher::Advance(const ConfigurationFold& aFold)
{
  while (!proposals_.empty() && AdvanceFirst(aFold)) {
  }
  EndOverdue();
}

bool
ConfigurationPublisher::AdvanceFirst(const ConfigurationFold& aFold)
{
  Proposal& first = proposals_.front();
  ProposalStatus status = Evaluate(first, aFold);
  if (status == ProposalStatus::eApplied) {
    Finish(0,
           { RefusalCode::eNone,
             RunState::eRan,
             "",
             AppliedVersion(first.content, aFold) });
    return true;
  }
  if (first.inFlight || clock_.MonotonicNow() < first.nextAttempt) {
    return false;
  }
  if (first.attemptedOffset &&
      *first.attemptedOffset < aFold.Documents().HistoryStart()) {
    // The log has dropped the record at that offset, which may be this one.
    Finish(0,
           { RefusalCode::eLogUnavailable,
             RunState::eUnknown,
             "the record of this change was dropped by the platform's log "
             "before it could be read" });
    return true;
  }
  if (first.attemptedOffset && aFold.Version() > *first.attemptedOffset) {
    // Another record is at the offset, so this one was never appended.
    first.attemptedOffset.reset();
    first.uncertain = false;
    first.offsetTaken = false;
  }
  if (first.attemptedOffset) {
    if (!first.offsetTaken) {
      Send(first, *first.attemptedOffset);
    }
    return false;
  }
  if (status == ProposalStatus::eAppendable) {
    Send(first, aFold.Version());
    return false;
  }
  if (!first.laterReadFinished) {
    hooks_.readLog();
    return false;
  }
  std::uint64_t current = CurrentVersion(first.content, aFold);
  Finish(0,
         { RefusalCode::eVersionConflict,
           RunState::eNotRun,
           fmt::format("the current version is {}", current),
           current });
  return true;
}

void
ConfigurationPublisher::Send(Proposal& aProposal, std::uint64_t aExpectedOffset)
{
  aProposal.inFlight = true;
  aProposal.attemptedOffset = aExpectedOffset;
  hooks_.append(aProposal.ticket, aExpectedOffset, aProposal.content);
}

ConfigurationPublisher::ProposalStatus
ConfigurationPublisher::Evaluate(const Proposal& aProposal,
                                 const ConfigurationFold& aFold) const
{
  auto status = [](bool aApplied, bool aAccepted) {
    if (aApplied) {
      return ProposalStatus::eApplied;
    }
    return aAccepted ? ProposalStatus::eAppendable : ProposalStatus::eConflict;
  };
  const LogContent& content = aProposal.content;
  if (const auto* change = std::get_if<state::ConfigurationChange>(&content)) {
    const auto& documents = aFold.Documents();
    return status(documents.VersionOfChange(change->changeId).has_value(),
                  documents.Accepts(*change));
  }
  const auto& ownership = aFold.Ownership();
  if (const auto* group = std::get_if<OwnershipRecord>(&content)) {
    return status(ownership.HasApplied(*group), ownership.Accepts(*group));
  }
  if (const auto* active = std::get_if<OwnershipActivated>(&content)) {
    return status(ownership.HasApplied(*active), ownership.Accepts(*active));
  }
  if (const auto* carried = std::get_if<CarriedRecord>(&content)) {
    return status(IsSuperseded({ *aProposal.carriedFrom, *carried }, aFold),
                  true);
  }
  return ProposalStatus::eConflict;
}

void
ConfigurationPublisher::EndOverdue()
{
  auto now = clock_.MonotonicNow();
  for (std::size_t i = 0; i < proposals_.size();) {
    const Proposal& proposal = proposals_[i];
    if (now < proposal.deadline) {
      ++i;
      continue;
    }
    if (proposal.appended) {
      // The record is at the offset up to which it was checked, so it will
      // take effect.
      Finish(i,
             { RefusalCode::eNone,
               RunState::eRan,
               "",
               *proposal.attemptedOffset + 1 });
      continue;
    }
    bool unknown = proposal.inFlight || proposal.uncertain;
    Finish(i,
           { RefusalCode::eLogUnavailable,
             unknown ? RunState::eUnknown : RunState::eNotRun,
             unknown ? "no reply from the platform's log; the change may "
                       "have been accepted"
                     : "the platform's log is unavailable" });
  }
}

void
ConfigurationPublisher::Finish(std::size_t aIndex,
                               const PublishOutcome& aOutcome)
{
  PublishDone done = std::move(proposals_[aIndex].done);
  proposals_.erase(proposals_.begin() + static_cast<std::ptrdiff_t>(aIndex));
  done(aOutcome);
}

}
