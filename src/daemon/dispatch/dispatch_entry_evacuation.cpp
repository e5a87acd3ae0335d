#include "daemon/dispatch/dispatch_entry_process.h"

#include "daemon/dispatch/log_evacuation.h"

// Evacuations of data centres at an entry.
namespace greengage::daemon {

using namespace coordination;
using state::EvacuationState;
using state::ProcessId;

namespace {

/**
 * Time that a new entry waits for the evacuations after it got its first
 * configuration. The store provides both together; a peer sends the evacuations
 * as soon as it knows the entry. Peers of the previous version send none.
 */
constexpr std::chrono::milliseconds kEvacuationWait{ 1000 };

}

EvacuationExchangeHooks
DispatchEntryProcess::MakeEvacuationHooks()
{
  EvacuationExchangeHooks hooks;
  hooks.send = [this](const ProcessId& aProcess,
                      const EvacuationState& aState) {
    if (dispatcher_.Servers().Contains(aProcess)) {
      dispatcher_.SendEvacuation(aProcess, aState);
      return;
    }
    EntryNews news;
    news.evacuation = aState;
    peers_.Send(aProcess, std::move(news));
  };
  hooks.changed = [this](const EvacuationChange& aChange) {
    dispatchMetrics_.OnEvacuationChanged(aChange);
    LogEvacuation(aChange);
    dispatcher_.SetEvacuated(aChange.after.dataCentres);
  };
  return hooks;
}

void
DispatchEntryProcess::OnEvacuationState(const EvacuationState& aState)
{
  evacuation_.OnLogState(aState);
}

void
DispatchEntryProcess::OnReport(const ProcessInfo& aAgent,
                               const ServerReport& aReport)
{
  if (!aReport.isReleased && !dispatcher_.Servers().Contains(aAgent.id)) {
    dispatcher_.OnAgent(aAgent);
    evacuation_.OnAgent(aAgent.id);
  }
  if (aReport.evacuation) {
    evacuation_.OnProcessState(aAgent.id, *aReport.evacuation);
  }
  dispatcher_.OnReport(aAgent.id, aReport);
  UpdateReady();
}

bool
DispatchEntryProcess::IsConfigured() const
{
  return configuredAt_ &&
         (evacuation_.State().IsKnown() ||
          clock_.MonotonicNow() - *configuredAt_ >= kEvacuationWait);
}

}
