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
/**
 * Retention of the stops of a lost agent. Its server's leases have expired long
 * before.
 */
constexpr std::chrono::milliseconds kRetention{ 10'000 };

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
PendingStops::RemoveExpired()
{
  auto now = clock_.MonotonicNow();
  std::erase_if(sentAt_, [now](const auto& aItem) {
    return now - aItem.second >= kRetention;
  });
}

bool
PendingStops::Contains(const ProcessId& aAgent, const RunKey& aRun) const
{
  return sentAt_.contains({ aAgent, aRun });
}

bool
PendingStops::HasAgent(const ProcessId& aAgent) const
{
  auto next = sentAt_.lower_bound({ aAgent, RunKey{} });
  return next != sentAt_.end() && next->first.first == aAgent;
}

std::vector<PendingStops::AgentRun>
PendingStops::RunsOf(state::DispatchJobId aJob) const
{
  std::vector<AgentRun> runs;
  for (const auto& [run, sentAt] : sentAt_) {
    if (run.second.task.job == aJob) {
      runs.push_back(run);
    }
  }
  return runs;
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
