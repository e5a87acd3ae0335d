#pragma once

#include <functional>
#include <map>

#include "coordination/dispatch/dispatch_messages.h"
#include "state/clock.h"
#include "state/process_id.h"

namespace greengage::coordination {

/**
 * Orders of one step of work, gathered for each agent and sent together at its
 * end. It also keeps the runs at agents alive that have heard nothing else.
 * Used by the control thread only.
 */
class OrderOutbox
{
public:
  using SendFunction =
    std::function<void(const state::ProcessId& aAgent, DispatchOrders)>;

  OrderOutbox(const state::Clock& aClock, SendFunction aSend);

  /** Tasks of one step that the agent is to start; without runs if new. */
  RunBatch& BatchFor(const state::ProcessId& aAgent,
                     std::uint64_t aJob,
                     std::uint32_t aStep);
  void AddStop(const state::ProcessId& aAgent, const state::RunKey& aRun);
  void AddChecks(const state::ProcessId& aAgent,
                 const std::vector<state::RunKey>& aRuns);
  /** Sends an empty message to agents that have waited for long. */
  void KeepAlive(const std::vector<state::ProcessId>& aAgents);
  /** Drops the orders to an agent that has gone. */
  void Forget(const state::ProcessId& aAgent);
  /** Told to agents with every message. */
  void SetReportPeriod(std::chrono::milliseconds aPeriod)
  {
    reportPeriod_ = aPeriod;
  }
  void Send();

private:
  const state::Clock& clock_;
  SendFunction send_;
  std::chrono::milliseconds reportPeriod_{ 0 };
  std::map<state::ProcessId, DispatchOrders> outgoing_;
  std::map<state::ProcessId, state::MonotonicTime> sentAt_;
};

}
