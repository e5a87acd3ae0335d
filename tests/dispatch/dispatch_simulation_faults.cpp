#include "dispatch/dispatch_simulation.h"

#include <algorithm>

#include <fmt/format.h>

// Faults that tests inject.
namespace greengage::testing {

using namespace coordination;
using state::ProcessId;
using state::TaskKey;

void
DispatchSimulation::SetFailurePredicate(
  std::function<bool(const TaskKey&, unsigned)> aPredicate)
{
  failurePredicate_ = std::move(aPredicate);
}

void
DispatchSimulation::KillEntry(unsigned aEntry, Milliseconds aDownTime)
{
  EntryNode& entry = entries_[aEntry];
  if (!entry.isUp) {
    return;
  }
  entry.isUp = false;
  ClearQueue(entry.queue);
  ClearQueue(entry.traffic);
  ProcessId old = entry.id;
  for (SubmissionRecord& record : submissions_) {
    bool isWaiting = !record.outcome && !record.isDisconnected;
    if (record.entry == aEntry && isWaiting) {
      record.isDisconnected = true;
      record.brokenAt = now_;
    }
  }
  for (unsigned i = 0; i < servers_.size(); ++i) {
    ResetConnection(aEntry, i);
  }
  for (unsigned i = 0; i < entries_.size(); ++i) {
    if (i != aEntry) {
      entries_[i].evacuation->OnLost(old);
    }
  }
  ScheduleAt(now_ + aDownTime, [this, aEntry, old] {
    StartEntry(aEntry);
    for (unsigned i = 0; i < servers_.size(); ++i) {
      RunOnAgent(i,
                 [this, i, old] { servers_[i].controller->OnEntryLost(old); });
    }
  });
}

void
DispatchSimulation::KillAgent(unsigned aServer, Milliseconds aDownTime)
{
  ServerNode& node = servers_[aServer];
  if (!node.isAgentUp) {
    return;
  }
  node.isAgentUp = false;
  ClearQueue(node.queue);
  ProcessId old = node.agent;
  for (unsigned i = 0; i < entries_.size(); ++i) {
    ResetConnection(i, aServer);
    RunOnEntry(i, [this, i, old] {
      entries_[i].dispatcher->OnAgentLost(old);
      entries_[i].evacuation->OnLost(old);
    });
  }
  ScheduleAt(now_ + aDownTime, [this, aServer] { StartAgent(aServer); });
}

void
DispatchSimulation::CrashServer(unsigned aServer)
{
  servers_[aServer].server->Crash();
  StartServer(aServer);
}

void
DispatchSimulation::RediscoverAgent(unsigned aEntry, unsigned aServer)
{
  JobDispatcher& dispatcher = *entries_[aEntry].dispatcher;
  ProcessInfo agent;
  agent.id = servers_[aServer].agent;
  agent.role = ProcessRole::eAgent;
  agent.peerAddress = fmt::format("10.0.0.{}:1", aServer);
  dispatcher.OnAgentLost(agent.id);
  dispatcher.OnAgent(agent);
}

void
DispatchSimulation::DrainServer(unsigned aServer)
{
  servers_[aServer].draining = true;
}

}
