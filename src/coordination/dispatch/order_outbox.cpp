#include "coordination/dispatch/order_outbox.h"

#include <algorithm>
#include <utility>

namespace greengage::coordination {

using state::ProcessId;
using state::RunKey;

namespace {

/** Agents stop the runs of an entry that is silent for 500 ms. */
constexpr std::chrono::milliseconds kKeepAlive{ 150 };

}

OrderOutbox::OrderOutbox(const state::Clock& aClock, SendFunction aSend)
  : clock_(aClock)
  , send_(std::move(aSend))
{
}

RunBatch&
OrderOutbox::BatchFor(const ProcessId& aAgent,
                      std::uint64_t aJob,
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
OrderOutbox::AddStop(const ProcessId& aAgent, const RunKey& aRun)
{
  outgoing_[aAgent].stops.push_back(aRun);
}

void
OrderOutbox::AddChecks(const ProcessId& aAgent,
                       const std::vector<RunKey>& aRuns)
{
  auto& checks = outgoing_[aAgent].checks;
  checks.insert(checks.end(), aRuns.begin(), aRuns.end());
}

void
OrderOutbox::KeepAlive(const std::vector<ProcessId>& aAgents)
{
  auto now = clock_.MonotonicNow();
  for (const ProcessId& agent : aAgents) {
    if (now - sentAt_[agent] >= kKeepAlive) {
      outgoing_.try_emplace(agent);
    }
  }
}

void
OrderOutbox::Forget(const ProcessId& aAgent)
{
  outgoing_.erase(aAgent);
  sentAt_.erase(aAgent);
}

void
OrderOutbox::Send()
{
  auto now = clock_.MonotonicNow();
  for (auto& [agent, orders] : std::exchange(outgoing_, {})) {
    sentAt_[agent] = now;
    orders.reportPeriodMs = static_cast<std::uint32_t>(reportPeriod_.count());
    send_(agent, std::move(orders));
  }
}

}
