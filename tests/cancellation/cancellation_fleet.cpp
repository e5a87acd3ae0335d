#include "cancellation/cancellation_fleet.h"

#include <algorithm>

#include <fmt/format.h>

namespace greengage::testing {

using namespace coordination;
using state::ProcessId;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTick{ 25 };
/** Time after which the membership takes an unreachable process for lost. */
constexpr milliseconds kLostAfter{ 1500 };
/** Longest time until the membership finds a process again. */
constexpr milliseconds kFoundWithin{ 2000 };
/** Time in which a starting process finds the others. */
constexpr milliseconds kDiscovery{ 150 };
/** Pauses that are noticed, and for how long nothing is placed afterwards. */
constexpr milliseconds kNoticedPause{ 400 };
constexpr milliseconds kHoldAfterPause{ 100 };
constexpr milliseconds kReportPeriod{ 100 };
constexpr milliseconds kMembershipPeriod{ 5 };
/** Agents refuse an order that does not confirm a report of this age. */
constexpr milliseconds kReportLimit{ 300 };

}

CancellationFleet::CancellationFleet(unsigned aEntries,
                                     std::uint64_t aSeed,
                                     ExchangeStep aWithoutStep)
  : withoutStep_(aWithoutStep)
  , random_(aSeed)
  , nodes_(aEntries)
{
  for (unsigned i = 0; i < aEntries; ++i) {
    StartNode(i);
  }
}

void
CancellationFleet::StartNode(unsigned aEntry)
{
  Node& node = nodes_[aEntry];
  bool isOldVersion = node.isOldVersion;
  node = Node();
  node.isOldVersion = isOldVersion;
  node.id = { random_(), random_() };
  node.startedAt = now_;
  node.lastRunAt = now_;
  node.jobs = std::make_unique<CancelledJobs>(clock_);
  CancellationHooks hooks;
  hooks.send = [this, aEntry](const ProcessId& aTo, const EntryNews& aNews) {
    Send(aEntry, aTo, aNews);
  };
  node.exchange =
    std::make_unique<CancellationExchange>(clock_, *node.jobs, hooks);
}

void
CancellationFleet::At(milliseconds aTime, std::function<void()> aAction)
{
  actions_.emplace(aTime, std::move(aAction));
}

void
CancellationFleet::SetPreviousVersion(unsigned aEntry)
{
  nodes_[aEntry].isOldVersion = true;
}

bool
CancellationFleet::IsRunning(unsigned aEntry) const
{
  return nodes_[aEntry].isAlive && !nodes_[aEntry].isPaused;
}

bool
CancellationFleet::AreLinked(unsigned aA, unsigned aB) const
{
  return nodes_[aA].isConnected && nodes_[aB].isConnected;
}

bool
CancellationFleet::Cancel(unsigned aEntry, std::uint64_t aJob)
{
  Node& node = nodes_[aEntry];
  if (!IsRunning(aEntry) || !node.isConnected) {
    return false;
  }
  cancelledAt_[aJob] = now_;
  node.jobs->Add(aJob, milliseconds(0));
  if (withoutStep_ == ExchangeStep::eWaitForConfirmations) {
    answers_[aJob] = { milliseconds(0), CancellationResult::eConfirmed };
  }
  node.exchange->Cancel(aJob, [this, aEntry, aJob](CancellationResult aResult) {
    // An answer does not reach its caller while the entry is cut off.
    if (nodes_[aEntry].isConnected) {
      answers_.try_emplace(aJob, Answer{ now_ - cancelledAt_[aJob], aResult });
    }
  });
  return true;
}

bool
CancellationFleet::WouldStart(unsigned aEntry, std::uint64_t aJob)
{
  const Node& node = nodes_[aEntry];
  return MayPlace(aEntry) && !node.jobs->Contains(aJob);
}

bool
CancellationFleet::MayPlace(unsigned aEntry) const
{
  const Node& node = nodes_[aEntry];
  return IsRunning(aEntry) && node.isConnected &&
         now_ - node.pauseEndedAt >= kHoldAfterPause &&
         now_ - node.reportedAt <= kReportLimit &&
         (withoutStep_ == ExchangeStep::eHoldPlacement ||
          node.exchange->MayPlace());
}

std::optional<milliseconds>
CancellationFleet::StartTime(unsigned aEntry) const
{
  const Node& node = nodes_[aEntry];
  return node.placesFrom ? std::optional(*node.placesFrom - node.startedAt)
                         : std::nullopt;
}

std::size_t
CancellationFleet::Knowing(std::uint64_t aJob) const
{
  return static_cast<std::size_t>(
    std::count_if(nodes_.begin(), nodes_.end(), [&](const Node& aNode) {
      return aNode.isAlive && aNode.jobs->Contains(aJob);
    }));
}

void
CancellationFleet::Inject(unsigned aEntry, EntryFault aFault, milliseconds aFor)
{
  Node& node = nodes_[aEntry];
  switch (aFault) {
    case EntryFault::eNone:
      return;
    case EntryFault::eKill:
      node.isAlive = false;
      return;
    case EntryFault::eRestart:
      node.isAlive = false;
      At(now_ + aFor, [this, aEntry] {
        for (Node& other : nodes_) {
          other.known.erase(aEntry);
          if (other.isAlive) {
            other.exchange->OnEntryLost(nodes_[aEntry].id);
          }
        }
        std::erase_if(apart_, [aEntry](const auto& aItem) {
          return aItem.first.first == aEntry || aItem.first.second == aEntry;
        });
        StartNode(aEntry);
      });
      return;
    case EntryFault::ePause:
      node.isPaused = true;
      At(now_ + aFor, [this, aEntry] { nodes_[aEntry].isPaused = false; });
      return;
    case EntryFault::eDisconnect:
      node.isConnected = false;
      At(now_ + aFor, [this, aEntry] { nodes_[aEntry].isConnected = true; });
      return;
  }
}

void
CancellationFleet::Send(unsigned aFrom,
                        const ProcessId& aTo,
                        const EntryNews& aNews)
{
  if (nodes_[aFrom].isOldVersion) {
    return;
  }
  ++messages_;
  auto to = std::find_if(nodes_.begin(), nodes_.end(), [&](const Node& aNode) {
    return aNode.id == aTo;
  });
  if (to == nodes_.end()) {
    return;
  }
  if (withoutStep_ == ExchangeStep::eAnswerCatchUp && aNews.catchUpPage) {
    return;
  }
  auto receiver = static_cast<unsigned>(to - nodes_.begin());
  auto& newest = arrival_[{ aFrom, receiver }];
  newest = std::max(newest, now_ + milliseconds(1 + random_() % 4));
  if (std::uniform_real_distribution<>(0, 1)(random_) < lossShare_) {
    return;
  }
  inFlight_.emplace(
    newest, InFlight{ newest, aFrom, receiver, nodes_[aFrom].id, aTo, aNews });
}

void
CancellationFleet::RunFor(milliseconds aTime)
{
  for (auto end = now_ + aTime; now_ < end;) {
    now_ += milliseconds(1);
    Step();
  }
}

void
CancellationFleet::Step()
{
  while (!actions_.empty() && actions_.begin()->first <= now_) {
    auto action = actions_.extract(actions_.begin());
    action.mapped()();
  }
  Deliver();
  for (unsigned i = 0; i < nodes_.size(); ++i) {
    if (IsRunning(i)) {
      RunNode(i);
    }
  }
  if (submits_) {
    CheckStarts();
  }
}

void
CancellationFleet::Deliver()
{
  while (!inFlight_.empty() && inFlight_.begin()->first <= now_) {
    InFlight message = inFlight_.extract(inFlight_.begin()).mapped();
    Node& to = nodes_[message.to];
    // Messages are lost with the connection, or with the receiver.
    if (!to.isAlive || to.id != message.toId ||
        !AreLinked(message.from, message.to)) {
      continue;
    }
    to.inbox.emplace_back(message.fromId, std::move(message.news));
  }
}

void
CancellationFleet::RunNode(unsigned aEntry)
{
  Node& node = nodes_[aEntry];
  auto pause = now_ - node.lastRunAt;
  node.lastRunAt = now_;
  if (pause > kNoticedPause) {
    node.pauseEndedAt = now_;
  }
  bool heard = node.isConnected && now_ % kReportPeriod == milliseconds(0);
  bool ignores = withoutStep_ == ExchangeStep::eCatchUpAfterSilence;
  if (heard) {
    node.reportedAt = now_;
  }
  // A test without this step has reports that are never missing.
  if (heard || !node.inbox.empty() || ignores) {
    node.exchange->OnHeard();
  }
  if ((now_.count() + aEntry) % kMembershipPeriod.count() == 0) {
    UpdateMembership(aEntry);
  }
  // Entries of the previous version record the jobs and answer nothing.
  while (!node.inbox.empty()) {
    auto [from, news] = std::move(node.inbox.front());
    node.inbox.pop_front();
    LearnOfSender(aEntry, from);
    for (const CancelledJob& job : news.cancelledJobs) {
      node.jobs->Add(job.job, milliseconds(job.ageMs));
    }
    if (!node.isOldVersion) {
      node.exchange->OnNews(from, news);
    }
  }
  if (now_ % kTick == milliseconds(0) && !node.isOldVersion) {
    node.exchange->Tick();
  }
  if (!node.placesFrom && MayPlace(aEntry)) {
    node.placesFrom = now_;
  }
}

void
CancellationFleet::LearnOfSender(unsigned aEntry, const ProcessId& aSender)
{
  for (unsigned other = 0; other < nodes_.size(); ++other) {
    if (nodes_[other].id == aSender &&
        nodes_[aEntry].known.insert(other).second) {
      apart_.erase({ aEntry, other });
      foundAt_.erase({ aEntry, other });
      nodes_[aEntry].exchange->OnEntry(aSender);
    }
  }
}

void
CancellationFleet::UpdateMembership(unsigned aEntry)
{
  Node& node = nodes_[aEntry];
  for (unsigned other = 0; other < nodes_.size(); ++other) {
    if (other == aEntry) {
      continue;
    }
    bool reachable = IsRunning(other) && AreLinked(aEntry, other);
    auto key = std::pair(aEntry, other);
    if (reachable && !node.known.contains(other)) {
      auto since = std::max(node.startedAt, nodes_[other].startedAt);
      auto apart = apart_.find(key);
      auto foundAt = since + kDiscovery;
      if (apart != apart_.end()) {
        milliseconds delay(random_() % kFoundWithin.count());
        foundAt = foundAt_.try_emplace(key, now_ + delay).first->second;
      }
      if (now_ >= foundAt) {
        apart_.erase(key);
        foundAt_.erase(key);
        node.known.insert(other);
        // A packet of the membership has arrived.
        node.exchange->OnHeard();
        node.exchange->OnEntry(nodes_[other].id);
      }
    } else if (reachable) {
      auto apart = apart_.find(key);
      if (apart != apart_.end()) {
        // The connection broke, but the process was not taken for lost.
        apart_.erase(apart);
        if (withoutStep_ != ExchangeStep::eRepeat) {
          node.exchange->OnEntryDisconnected(nodes_[other].id);
        }
      }
    } else if (node.known.contains(other)) {
      auto since = apart_.try_emplace(key, now_).first->second;
      if (now_ - since >= kLostAfter) {
        node.known.erase(other);
        node.exchange->OnEntryLost(nodes_[other].id);
      }
    }
  }
}

void
CancellationFleet::CheckStarts()
{
  for (const auto& [job, answer] : answers_) {
    if (answer.result == CancellationResult::eUnconfirmed) {
      continue;
    }
    for (unsigned i = 0; i < nodes_.size(); ++i) {
      if (WouldStart(i, job) && violations_.size() < 10) {
        violations_.push_back(
          fmt::format("entry {} starts job {} {} ms after its cancellation, "
                      "answered after {} ms",
                      i,
                      job,
                      (now_ - cancelledAt_[job]).count(),
                      answer.waited.count()));
      }
    }
  }
}

}
