#include "coordination/dispatch/job_dispatcher.h"

// Agents that come, go and lose their connections.
namespace greengage::coordination {

using state::DispatchReason;
using state::ProcessId;
using state::RunKey;

void
JobDispatcher::SetReportPeriod()
{
  std::size_t local = servers_.CountIn(settings_.dataCentre);
  orders_.SetReportPeriod(
    ReportPeriod(settings_.processorCores, local, servers_.Count() - local));
}

void
JobDispatcher::OnAgent(const ProcessInfo& aAgent)
{
  auto older = servers_.OlderOnAddress(aAgent);
  if (older) {
    OnAgentLost(*older);
  }
  bool isNew = !servers_.Contains(aAgent.id);
  servers_.OnAgent(aAgent);
  SetReportPeriod();
  if (isNew && orders_.ReportPeriod() > kShortestReportPeriod) {
    // Until it knows the period, the agent reports as often as it can.
    orders_.AddKeepAlive(aAgent.id);
  }
}

void
JobDispatcher::OnAgentLost(const ProcessId& aAgent)
{
  if (!servers_.Contains(aAgent)) {
    return;
  }
  HoldLateStartsOf(aAgent);
  auto runs = servers_.OnAgentLost(aAgent);
  std::set<state::DispatchJobId> lost;
  for (const RunKey& run : runs) {
    lost.insert(run.task.job);
  }
  // An agent that was lost by mistake returns with these runs.
  for (const RunKey& run : runs) {
    pendingStops_.OnSent(aAgent, run);
  }
  for (state::DispatchJobId id : lost) {
    // The server may continue the runs until their leases expire, which is too
    // late to start the tasks elsewhere.
    End(id, FailedOutcome(DispatchReason::eServerLost));
  }
  RemoveAgent(aAgent);
  PlaceWaitingJobs();
  orders_.Send();
}

void
JobDispatcher::RemoveAgent(const ProcessId& aAgent)
{
  servers_.OnAgentLost(aAgent);
  orders_.RemoveAgent(aAgent);
  unsentEvacuations_.erase(aAgent);
  reportTimes_.RemoveAgent(aAgent);
  SetReportPeriod();
}

void
JobDispatcher::RemoveReleasedAgents()
{
  for (const ProcessId& agent : servers_.ReleasedAgents()) {
    // A stop is repeated only to a known agent.
    if (!pendingStops_.HasAgent(agent)) {
      RemoveAgent(agent);
      if (hooks_.agentReleased) {
        hooks_.agentReleased(agent);
      }
    }
  }
}

void
JobDispatcher::SetEvacuated(const std::set<std::string>& aDataCentres)
{
  servers_.SetEvacuated(aDataCentres);
  Tick();
}

void
JobDispatcher::SendEvacuation(const ProcessId& aAgent,
                              const state::EvacuationState& aState)
{
  if (servers_.Contains(aAgent)) {
    unsentEvacuations_.insert_or_assign(aAgent, aState);
    orders_.AddKeepAlive(aAgent);
    orders_.Send();
  }
}

bool
JobDispatcher::NeedsEvacuated(const DispatchedJob& aJob) const
{
  // Each tick asks for each waiting job, and evacuations are rare.
  if (!servers_.HasEvacuatedServer()) {
    return false;
  }
  for (std::size_t i = 0; i < aJob.steps.size(); ++i) {
    if (servers_.FitsOnlyEvacuated(placer_.RequestFor(aJob, i))) {
      return true;
    }
  }
  return false;
}

void
JobDispatcher::OnAgentDisconnected(const ProcessId& aAgent)
{
  auto runs = servers_.RunsOn(aAgent);
  if (runs.empty()) {
    return;
  }
  // A check keeps a run that the agent has, so a run whose stop may be lost is
  // ordered to stop again instead.
  std::vector<RunKey> checks;
  for (const RunKey& run : runs) {
    if (pendingStops_.Contains(aAgent, run)) {
      StopRun(aAgent, run);
    } else {
      checks.push_back(run);
    }
  }
  orders_.AddChecks(aAgent, checks);
  orders_.Send();
}

}
