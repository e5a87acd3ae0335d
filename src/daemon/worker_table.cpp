#include "daemon/worker_table.h"

#include "transport/event_log.h"

namespace greengage::daemon {

using coordination::AgentStatus;
using coordination::Hello;
using coordination::ProcessRole;
using protocol::WorkerStatus;
namespace events = transport::events;

namespace {

// Limits the memory used for agents that never return.
constexpr std::size_t kMaxLostAgents = 10'000;

}

void
WorkerTable::OnPeerMessage(const coordination::PeerMessage& aMessage)
{
  if (const auto* hello = std::get_if<Hello>(&aMessage)) {
    if (hello->process.role == ProcessRole::eAgent) {
      Set({ hello->process });
    }
  } else if (const auto* status = std::get_if<AgentStatus>(&aMessage)) {
    Set({ status->process, status->runningTasks });
  }
}

void
WorkerTable::Set(WorkerStatus aWorker)
{
  const coordination::ProcessInfo& process = aWorker.process;
  auto known = workers_.find(process.id);
  bool wasDraining = known != workers_.end() && known->second.process.draining;
  if (lostAgents_.erase(process.id) != 0) {
    transport::LogEvent(events::kAgentReturned,
                        "agent={} address={}",
                        process.id.ToString(),
                        process.peerAddress);
  }
  if (process.draining && !wasDraining) {
    transport::LogEvent(events::kAgentDraining,
                        "agent={} address={} running_tasks={}",
                        process.id.ToString(),
                        process.peerAddress,
                        aWorker.runningTasks);
  }
  if (known != workers_.end()) {
    aWorker.ejected = known->second.ejected;
    aWorker.speed = known->second.speed;
  }
  workers_[process.id] = std::move(aWorker);
}

void
WorkerTable::OnProcessSeen(const coordination::ProcessInfo& aProcess)
{
  if (aProcess.role == ProcessRole::eAgent && !workers_.contains(aProcess.id)) {
    Set({ aProcess });
  }
}

void
WorkerTable::OnServerView(const coordination::ServerView& aView)
{
  auto known = workers_.find(aView.info.id);
  if (known == workers_.end()) {
    return;
  }
  WorkerStatus& worker = known->second;
  bool ejected = aView.health != coordination::HealthState::eHealthy;
  if (ejected != worker.ejected) {
    transport::LogEvent(ejected ? events::kServerEjected
                                : events::kServerReadmitted,
                        "agent={} address={}",
                        aView.info.id.ToString(),
                        aView.info.peerAddress);
  }
  worker = { aView.info, aView.running, ejected, aView.learnedSpeed };
}

void
WorkerTable::OnProcessLost(const state::ProcessId& aProcess)
{
  auto worker = workers_.extract(aProcess);
  if (worker.empty()) {
    return;
  }
  transport::LogEvent(events::kAgentLost,
                      "agent={} address={} running_tasks={}",
                      aProcess.ToString(),
                      worker.mapped().process.peerAddress,
                      worker.mapped().runningTasks);
  if (lostAgents_.size() >= kMaxLostAgents) {
    lostAgents_.clear();
  }
  lostAgents_.insert(aProcess);
}

std::vector<protocol::WorkerStatus>
WorkerTable::List() const
{
  std::vector<protocol::WorkerStatus> workers;
  for (const auto& [id, worker] : workers_) {
    workers.push_back(worker);
  }
  return workers;
}

}
