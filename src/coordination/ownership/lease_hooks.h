#pragma once

#include <functional>
#include <vector>

#include "coordination/ownership/ownership_record.h"

namespace greengage::coordination {

/** Output operations and callbacks of an OwnershipLease. */
struct LeaseHooks
{
  /** Sends a request; must not deliver the reply before it returns. */
  std::function<void(const ProcessInfo& aMember, LeaseRequest)> sendRequest;
  /**
   * The lease became valid. aAgents may hold start records of the shard. After
   * a forced record the list is incomplete (aAgentsComplete is false), because
   * other agents may hold start records as well.
   */
  std::function<void(const state::OwnershipToken& aToken,
                     std::vector<AgentInUse> aAgents,
                     bool aAgentsComplete)>
    becameOwner;
  /** This process remains the owner, with a newer token. */
  std::function<void(const state::OwnershipToken& aToken)> tokenChanged;
  /**
   * The lease expired or was released. From now on this process must not start
   * tasks or answer requests for the shard.
   */
  std::function<void()> lostOwnership;
  /** A majority acknowledged the agent; tasks may be started on it. */
  std::function<void(const ProcessInfo& aAgent)> agentAcknowledged;
  /**
   * Appends a record to the log at the offset up to which records were passed
   * to OnRecord() and OnActivatedRecord(), so that the append fails if another
   * record was appended in between. A failed append is proposed again later.
   */
  std::function<void(const OwnershipRecord&)> propose;
  std::function<void(const OwnershipActivated&)> proposeActivated;
  /** Returns a uniform random number, for delays. */
  std::function<std::uint64_t()> random;
};

}
