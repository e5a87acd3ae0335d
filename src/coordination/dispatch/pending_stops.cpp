#include "coordination/dispatch/pending_stops.h"

#include <chrono>

namespace greengage::coordination {

using state::ProcessId;
using state::RunKey;

namespace {

/**
 * Interval at which a stop is repeated. A stop usually takes 50 ms at the
 * server, so most ends are reported before.
 */
constexpr std::chrono::milliseconds kStopRepeatPeriod{ 100 };

}

PendingStops::PendingStops(const state::Clock& aClock)
  : clock_(aClock)
{
}

void
PendingStops::OnSent(const ProcessId& aAgent, const RunKey& aRun)
{
  sentAt_[{ aAgent, aRun }] = clock_.MonotonicNow();
}

void
PendingStops::OnEnded(const ProcessId& aAgent, const RunKey& aRun)
{
  sentAt_.erase({ aAgent, aRun });
}

void
PendingStops::RemoveAgent(const ProcessId& aAgent)
{
  std::erase_if(sentAt_,
                [&](const auto& aItem) { return aItem.first.first == aAgent; });
}

bool
PendingStops::Contains(const ProcessId& aAgent, const RunKey& aRun) const
{
  return sentAt_.contains({ aAgent, aRun });
}

std::vector<PendingStops::AgentRun>
PendingStops::Due() const
{
  auto now = clock_.MonotonicNow();
  std::vector<AgentRun> due;
  for (const auto& [run, sentAt] : sentAt_) {
    if (now - sentAt >= kStopRepeatPeriod) {
      due.push_back(run);
    }
  }
  return due;
}

}
