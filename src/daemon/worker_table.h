#pragma once

#include <map>
#include <vector>

#include "coordination/messages.h"
#include "protocol/operator_json.h"

namespace greengage::daemon {

/**
 * Agents that announced themselves to this entry, for `GET /v1/workers`. Used
 * by the control thread.
 */
class WorkerTable
{
public:
  void OnPeerMessage(const coordination::PeerMessage& aMessage);
  void OnProcessLost(const state::ProcessId& aProcess);

  /** All known agents in the order of their identities. */
  std::vector<protocol::WorkerStatus> List() const;

private:
  std::map<state::ProcessId, protocol::WorkerStatus> workers_;
};

}
