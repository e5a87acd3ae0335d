#pragma once

#include <cstdint>
#include <map>

#include "state/process_id.h"

namespace greengage::coordination {

/**
 * The newest report time of each agent, which an entry returns to the agent
 * with its orders to show how recent they are. An entry that is behind returns
 * only times that a probe of its LagMonitor proves: it has handled everything
 * that had arrived before. Used by the control thread only.
 */
class ReportTimes
{
public:
  /** @param aSentAtMs ServerReport::sentAtMs; 0: unknown */
  void OnReport(const state::ProcessId& aAgent, std::uint64_t aSentAtMs);
  void RemoveAgent(const state::ProcessId& aAgent);
  void OnProbeSent();
  void OnProbeReturned();
  /** Returns the value for DispatchOrders::confirmedAtMs; 0: unknown. */
  std::uint64_t Confirmed(const state::ProcessId& aAgent, bool aIsBehind) const;

private:
  struct Times
  {
    std::uint64_t newestMs = 0;
    /** The value of newestMs when the last probe was sent. */
    std::uint64_t newestAtProbeMs = 0;
    /** The value of newestMs when the last returned probe was sent. */
    std::uint64_t provenMs = 0;
  };

  std::map<state::ProcessId, Times> agents_;
};

}
