#include "dispatch/dispatch_simulation.h"

// Evacuations: the operator's log, and messages between entries.
namespace greengage::testing {

using namespace coordination;
using state::EvacuationState;
using state::ProcessId;

namespace {

/** Longest time in which an entry reads a record that was acknowledged. */
constexpr Milliseconds kMaxReadTime = 200;
/** Longest time in which processes that start discover each other. */
constexpr Milliseconds kMaxDiscoveryTime = 300;
constexpr Milliseconds kMaxMessageTime = 20;

}

Milliseconds
DispatchSimulation::NoticeTime(Milliseconds aLimit)
{
  return std::uniform_int_distribution<Milliseconds>(1, aLimit)(noticeRandom_);
}

EvacuationExchangeHooks
DispatchSimulation::EvacuationHooks(unsigned aEntry)
{
  EvacuationExchangeHooks hooks;
  hooks.changed = [this, aEntry](const EvacuationChange& aChange) {
    entries_[aEntry].dispatcher->SetEvacuated(aChange.after.dataCentres);
  };
  hooks.send = [this, aEntry](const ProcessId& aProcess,
                              const EvacuationState& aState) {
    unsigned entry = FindEntry(aProcess);
    if (entry == entries_.size()) {
      entries_[aEntry].dispatcher->SendEvacuation(aProcess, aState);
      return;
    }
    std::bernoulli_distribution isLost(settings_.lostNoticeShare);
    if (isLost(noticeRandom_)) {
      return;
    }
    ScheduleAt(now_ + NoticeTime(kMaxMessageTime),
               [this, entry, aProcess, aState, from = entries_[aEntry].id] {
                 if (entries_[entry].id != aProcess) {
                   return;
                 }
                 RunOnEntry(entry, [this, entry, from, aState] {
                   entries_[entry].evacuation->OnProcessState(from, aState);
                 });
               });
  };
  return hooks;
}

void
DispatchSimulation::ConnectEntry(unsigned aEntry)
{
  if (settings_.dataCentres.size() == 1) {
    return;
  }
  ProcessId id = entries_[aEntry].id;
  entries_[aEntry].evacuation->SetSelf(id);
  ScheduleAt(now_ + NoticeTime(kMaxDiscoveryTime), [this, aEntry, id] {
    for (unsigned i = 0; i < entries_.size(); ++i) {
      if (i != aEntry && entries_[i].isUp && entries_[aEntry].id == id) {
        entries_[i].evacuation->OnEntry(id);
        entries_[aEntry].evacuation->OnEntry(entries_[i].id);
      }
    }
  });
  ScheduleAt(now_ + NoticeTime(kMaxReadTime),
             [this, aEntry] { ReadStore(aEntry); });
}

void
DispatchSimulation::ReadStore(unsigned aEntry)
{
  if (!entries_[aEntry].isRefusedByStore) {
    RunOnEntry(aEntry, [this, aEntry, state = storeState_] {
      entries_[aEntry].evacuation->OnLogState(state);
    });
  }
}

void
DispatchSimulation::SetEvacuated(const std::string& aDataCentre,
                                 bool aIsEvacuated)
{
  storeState_ = WithRecords(
    storeState_, { { aDataCentre, aIsEvacuated } }, storeState_.revision + 1);
  for (unsigned i = 0; i < entries_.size(); ++i) {
    ScheduleAt(now_ + NoticeTime(kMaxReadTime), [this, i] { ReadStore(i); });
  }
}

void
DispatchSimulation::SetRefused(unsigned aEntry, bool aIsRefused)
{
  entries_[aEntry].isRefusedByStore = aIsRefused;
  ReadStore(aEntry);
}

}
