#include "coordination/evacuation/evacuation_exchange.h"

#include <utility>

#include "coordination/evacuation/evacuation_records.h"
#include "coordination/subset/entry_choice.h"
#include "coordination/subset/news_relay.h"

namespace greengage::coordination {

using state::EvacuationState;
using state::ProcessId;
using std::chrono::milliseconds;

namespace {

/**
 * Delay of the first repetition. With the relays of a large fleet, a state that
 * is repeated twice on its way still arrives well within the 5 s in which it
 * must be in force.
 */
constexpr milliseconds kFirstRepeatDelay{ 250 };
/** Sends of one state to one process: the last after about 8 s. */
constexpr unsigned kSends = 6;
/**
 * Delay of a state whose data centres have not changed. The revision rises with
 * each record of the log, about every 30 s on a busy day.
 */
constexpr milliseconds kRevisionDelay{ 1000 };

}

EvacuationExchange::EvacuationExchange(const state::Clock& aClock,
                                       EvacuationExchangeHooks aHooks)
  : clock_(aClock)
  , hooks_(std::move(aHooks))
{
}

void
EvacuationExchange::OnEntry(const ProcessId& aEntry)
{
  if (entries_.insert(aEntry).second) {
    Schedule(contacts_[aEntry]);
  }
}

void
EvacuationExchange::OnAgent(const ProcessId& aAgent)
{
  auto [contact, isNew] = contacts_.try_emplace(aAgent);
  if (!isNew) {
    return;
  }
  contact->second.isAgent = true;
  Schedule(contact->second);
  // The agent must know the state before the first order to it.
  Tick();
}

void
EvacuationExchange::OnLost(const ProcessId& aProcess)
{
  entries_.erase(aProcess);
  contacts_.erase(aProcess);
}

void
EvacuationExchange::OnDisconnected(const ProcessId& aProcess)
{
  auto contact = contacts_.find(aProcess);
  if (contact != contacts_.end()) {
    Schedule(contact->second);
  }
}

void
EvacuationExchange::OnLogState(const EvacuationState& aState)
{
  Adopt(Limited(aState), std::nullopt);
}

void
EvacuationExchange::OnProcessState(const ProcessId& aFrom,
                                   const EvacuationState& aState)
{
  Adopt(aState, aFrom);
  auto contact = contacts_.find(aFrom);
  if (contact != contacts_.end() && aState == state_) {
    contact->second.sendsLeft = 0;
    return;
  }
  bool isOutdated = aState.revision < state_.revision &&
                    aState.dataCentres != state_.dataCentres;
  auto now = clock_.MonotonicNow();
  if (!isOutdated || contact == contacts_.end() ||
      now < contact->second.nextAnswerAt) {
    return;
  }
  hasEvacuated_ = hasEvacuated_ || !aState.dataCentres.empty();
  contact->second.nextAnswerAt = now + kFirstRepeatDelay;
  hooks_.send(aFrom, state_);
}

void
EvacuationExchange::Adopt(const EvacuationState& aState,
                          const std::optional<ProcessId>& aFrom)
{
  if (aState.revision <= state_.revision) {
    return;
  }
  EvacuationState before = std::exchange(state_, aState);
  if (before.dataCentres == state_.dataCentres) {
    if (!before.IsKnown()) {
      ScheduleAll();
    } else if (ConcernsAgents()) {
      ScheduleRevision();
    }
    return;
  }
  hasEvacuated_ = true;
  ScheduleAll();
  if (aFrom && contacts_.contains(*aFrom)) {
    contacts_.at(*aFrom).sendsLeft = 0;
  }
  hooks_.changed({ before, state_, aFrom });
  Tick();
}

void
EvacuationExchange::Schedule(Contact& aContact) const
{
  aContact.dueAt = clock_.MonotonicNow();
  aContact.repeatDelay = kFirstRepeatDelay;
  // What was never in force need not arrive: a process that starts waits for it
  // for a bounded time only.
  aContact.sendsLeft = ConcernsAgents() ? kSends : 1;
}

void
EvacuationExchange::ScheduleAll()
{
  for (auto& [id, contact] : contacts_) {
    Schedule(contact);
  }
}

void
EvacuationExchange::ScheduleRevision()
{
  for (auto& [id, contact] : contacts_) {
    if (contact.sendsLeft == 0) {
      contact.dueAt = clock_.MonotonicNow() + kRevisionDelay;
      contact.sendsLeft = 1;
    }
  }
}

std::vector<ProcessId>
EvacuationExchange::Targets() const
{
  bool isLargeFleet = entries_.size() + 1 > kMaxEntriesPerServer;
  std::vector<ProcessId> targets =
    isLargeFleet ? RelayContacts(self_, entries_)
                 : std::vector(entries_.begin(), entries_.end());
  for (const auto& [id, contact] : contacts_) {
    if (contact.isAgent && ConcernsAgents()) {
      targets.push_back(id);
    }
  }
  return targets;
}

void
EvacuationExchange::Tick()
{
  if (!state_.IsKnown()) {
    return;
  }
  auto now = clock_.MonotonicNow();
  for (const ProcessId& target : Targets()) {
    Contact& contact = contacts_.at(target);
    if (contact.sendsLeft == 0 || now < contact.dueAt) {
      continue;
    }
    --contact.sendsLeft;
    contact.dueAt = now + contact.repeatDelay;
    contact.repeatDelay *= 2;
    hooks_.send(target, state_);
  }
}

}
