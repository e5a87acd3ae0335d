#pragma once

#include <map>
#include <set>
#include <vector>

#include "coordination/messages.h"
#include "coordination/scheduling/task_scheduler.h"
#include "protocol/operator_json.h"

namespace greengage::daemon {

/**
 * Agents known to this entry, for `GET /v1/workers`. Logs lost and returned
 * agents, and changes of draining and ejection. Used only on the control
 * thread.
 */
class WorkerTable
{
public:
  void OnPeerMessage(const coordination::PeerMessage& aMessage);
  /** Adds the process if it is an agent that is not in the table yet. */
  void OnProcessSeen(const coordination::ProcessInfo& aProcess);
  /** Updates a backend server from the data of this entry's scheduler. */
  void OnServerView(const coordination::ServerView& aView);
  void OnProcessLost(const state::ProcessId& aProcess);

  /** Returns all known agents in the order of their identities. */
  std::vector<protocol::WorkerStatus> List() const;

private:
  void Set(protocol::WorkerStatus aWorker);

  std::map<state::ProcessId, protocol::WorkerStatus> workers_;
  /** Lost agents, to distinguish a return from a first contact. */
  std::set<state::ProcessId> lostAgents_;
};

}
