#pragma once

#include <functional>
#include <map>

#include "coordination/dispatch/dispatch_messages.h"
#include "state/clock.h"
#include "state/process_id.h"

namespace greengage::coordination {

/**
 * Collects the orders to each agent and sends them in one message per agent. It
 * also adds heartbeats to agents that have received no other message for some
 * time. Used by the control thread only.
 */
class OrderQueue
{
public:
  using SendFunction =
    std::function<void(const state::ProcessId& aAgent, DispatchOrders)>;

  OrderQueue(const state::Clock& aClock, SendFunction aSend);

  /**
   * Returns the pending batch of start orders of one step for an agent. A new
   * batch has no runs, and the caller sets its other members.
   */
  RunBatch& BatchFor(const state::ProcessId& aAgent,
                     state::DispatchJobId aJob,
                     std::uint32_t aStep);
  void AddStop(const state::ProcessId& aAgent, const state::RunKey& aRun);
  void AddChecks(const state::ProcessId& aAgent,
                 const std::vector<state::RunKey>& aRuns);
  /** Queues an empty message to each agent that is due for a heartbeat. */
  void AddKeepAlives(const std::vector<state::ProcessId>& aAgents);
  void AddKeepAlive(const state::ProcessId& aAgent)
  {
    outgoing_.try_emplace(aAgent);
  }
  /** Drops the orders to a lost agent. */
  void RemoveAgent(const state::ProcessId& aAgent);
  /** Sets the report period that is sent to agents with every message. */
  void SetReportPeriod(std::chrono::milliseconds aPeriod)
  {
    reportPeriod_ = aPeriod;
  }
  std::chrono::milliseconds ReportPeriod() const { return reportPeriod_; }
  /** Sends all queued messages. */
  void Send();

private:
  const state::Clock& clock_;
  SendFunction send_;
  std::chrono::milliseconds reportPeriod_{ 0 };
  std::map<state::ProcessId, DispatchOrders> outgoing_;
  std::map<state::ProcessId, state::MonotonicTime> sentAt_;
};

}
