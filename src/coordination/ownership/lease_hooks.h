#pragma once

#include <functional>
#include <vector>

#include "coordination/ownership/ownership_record.h"

namespace greengage::coordination {

/** What an OwnershipLease may ask its surroundings to do. */
struct LeaseHooks
{
  /** Must not deliver the reply before it returns. */
  std::function<void(const ProcessInfo& aMember, LeaseRequest)> sendRequest;
  /**
   * The lease became valid. The agents may hold start records of the shard;
   * the list is incomplete after a forced record, when unknown agents may
   * hold some as well.
   */
  std::function<void(const state::OwnershipToken& aToken,
                     std::vector<AgentInUse> aAgents,
                     bool aAgentsComplete)>
    becameOwner;
  /** Still the owner, from now on with a newer token. */
  std::function<void(const state::OwnershipToken& aToken)> tokenChanged;
  /** The lease ended or was given up; nothing may be started or answered. */
  std::function<void()> lostOwnership;
  /** Tasks may be started on this agent from now on. */
  std::function<void(const ProcessInfo& aAgent)> agentAcknowledged;
  /**
   * Append to the log at the offset up to which records were handed in, so
   * that a racing record makes the append fail. May fail; is asked again.
   */
  std::function<void(const OwnershipRecord&)> propose;
  std::function<void(const OwnershipActivated&)> proposeActivated;
  /** Uniform random number, for delays. */
  std::function<std::uint64_t()> random;
};

}
