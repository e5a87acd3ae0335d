#include "daemon/worker_table.h"

namespace greengage::daemon {

using coordination::AgentStatus;
using coordination::Hello;
using coordination::ProcessRole;

void
WorkerTable::OnPeerMessage(const coordination::PeerMessage& aMessage)
{
  if (const auto* hello = std::get_if<Hello>(&aMessage)) {
    if (hello->process.role == ProcessRole::eAgent) {
      workers_[hello->process.id] = { hello->process };
    }
  } else if (const auto* status = std::get_if<AgentStatus>(&aMessage)) {
    workers_[status->process.id] = { status->process, status->runningTasks };
  }
}

void
WorkerTable::OnProcessLost(const state::ProcessId& aProcess)
{
  workers_.erase(aProcess);
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
