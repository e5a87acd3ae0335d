#pragma once

#include <map>
#include <set>
#include <vector>

#include "coordination/messages.h"
#include "coordination/scheduling/task_scheduler.h"
#include "protocol/operator_json.h"

namespace greengage::daemon {

/**
 * Agents that announced themselves to this entry, for `GET /v1/workers`. Logs
 * when they leave and return. Used by the control thread.
 */
class WorkerTable
{
public:
  void OnPeerMessage(const coordination::PeerMessage& aMessage);
  /** Membership knows the process; it may not have announced itself here. */
  void OnProcessSeen(const coordination::ProcessInfo& aProcess);
  /** What the owner in this entry knows of a backend server. */
  void OnServerView(const coordination::ServerView& aView);
  void OnProcessLost(const state::ProcessId& aProcess);

  /** All known agents in the order of their identities. */
  std::vector<protocol::WorkerStatus> List() const;

private:
  void Set(protocol::WorkerStatus aWorker);

  std::map<state::ProcessId, protocol::WorkerStatus> workers_;
  /** Agents that were lost, to tell a return from a first contact. */
  std::set<state::ProcessId> lost_;
};

}
