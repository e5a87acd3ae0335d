#include "coordination/dispatch/order_queue.h"

#include <algorithm>
#include <utility>

namespace greengage::coordination {

using state::ProcessId;
using state::RunKey;

namespace {

/**
 * Heartbeat interval to agents. It is well below 600 ms, the age of the last
 * confirmed report after which agents stop the runs of an entry.
 */
constexpr std::chrono::milliseconds kKeepAlivePeriod{ 150 };

}

OrderQueue::OrderQueue(const state::Clock& aClock, SendFunction aSend)
  : clock_(aClock)
  , send_(std::move(aSend))
{
}

RunBatch&
OrderQueue::BatchFor(const ProcessId& aAgent,
                     state::DispatchJobId aJob,
                     std::uint32_t aStep)
{
  auto& starts = outgoing_[aAgent].starts;
  auto batch =
    std::find_if(starts.begin(), starts.end(), [&](const RunBatch& aBatch) {
      return aBatch.job == aJob && aBatch.step == aStep;
    });
  if (batch != starts.end()) {
    return *batch;
  }
  RunBatch& added = starts.emplace_back();
  added.job = aJob;
  added.step = aStep;
  return added;
}

void
OrderQueue::AddStop(const ProcessId& aAgent, const RunKey& aRun)
{
  outgoing_[aAgent].stops.push_back(aRun);
}

void
OrderQueue::AddChecks(const ProcessId& aAgent, const std::vector<RunKey>& aRuns)
{
  auto& checks = outgoing_[aAgent].checks;
  checks.insert(checks.end(), aRuns.begin(), aRuns.end());
}

void
OrderQueue::AddKeepAlives(const std::vector<ProcessId>& aAgents)
{
  auto now = clock_.MonotonicNow();
  for (const ProcessId& agent : aAgents) {
    if (now - sentAt_[agent] >= kKeepAlivePeriod) {
      outgoing_.try_emplace(agent);
    }
  }
}

void
OrderQueue::RemoveAgent(const ProcessId& aAgent)
{
  outgoing_.erase(aAgent);
  sentAt_.erase(aAgent);
}

void
OrderQueue::Send()
{
  auto now = clock_.MonotonicNow();
  for (auto& [agent, orders] : std::exchange(outgoing_, {})) {
    sentAt_[agent] = now;
    orders.reportPeriodMs = static_cast<std::uint32_t>(reportPeriod_.count());
    send_(agent, std::move(orders));
  }
}

}
