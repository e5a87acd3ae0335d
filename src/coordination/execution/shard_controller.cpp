#include "coordination/execution/shard_controller.h"

#include <utility>

namespace greengage::coordination {

ShardController::ShardController(std::uint32_t aShard,
                                 const ProcessInfo& aSelf,
                                 const state::Clock& aClock,
                                 ShardHooks aHooks)
  : shard_(aShard)
  , self_(aSelf)
  , clock_(aClock)
  , hooks_(std::move(aHooks))
  , scheduler_(aClock)
  , owner_(aShard, scheduler_, aClock, MakeOwnerHooks())
  , lease_(aShard, aSelf, aClock, MakeLeaseHooks())
{
}

void
ShardController::OnPeerMessage(const ProcessInfo& aFrom,
                               const PeerMessage& aMessage)
{
  CheckLease();
  if (const auto* submit = std::get_if<SubmitJob>(&aMessage)) {
    OnSubmit(aFrom.id, *submit);
  } else if (const auto* query = std::get_if<QueryJob>(&aMessage)) {
    owner_.OnQuery(aFrom.id, *query);
  } else if (const auto* cancel = std::get_if<CancelJob>(&aMessage)) {
    owner_.OnCancel(aFrom.id, *cancel);
  } else if (const auto* results = std::get_if<TaskResults>(&aMessage)) {
    owner_.OnTaskResults(*results);
  } else if (const auto* fence = std::get_if<FenceReply>(&aMessage)) {
    owner_.OnFenceReply(*fence);
  } else if (const auto* history = std::get_if<HistoryReply>(&aMessage)) {
    owner_.OnHistoryReply(*history);
  } else if (const auto* request = std::get_if<LeaseRequest>(&aMessage)) {
    hooks_.send(aFrom.id, lease_.OnLeaseRequest(aFrom.id, *request));
  } else if (const auto* reply = std::get_if<LeaseReply>(&aMessage)) {
    lease_.OnLeaseReply(*reply);
  }
}

void
ShardController::OnAgent(const ProcessInfo& aAgent)
{
  aliveAgents_.insert(aAgent.id);
  lease_.OfferAgent(aAgent);
  owner_.UpdateAgent(aAgent);
}

void
ShardController::OnAgentLost(const state::ProcessId& aAgent)
{
  CheckLease();
  aliveAgents_.erase(aAgent);
  lease_.OnAgentLost(aAgent);
  owner_.OnAgentLost(aAgent);
}

void
ShardController::ResyncAgent(const state::ProcessId& aAgent)
{
  CheckLease();
  owner_.ResyncAgent(aAgent);
}

void
ShardController::Tick()
{
  CheckLease();
  lease_.Tick();
  CheckInheritedAgents();
  if (clock_.MonotonicNow() >= deferUntil_) {
    SubmitDeferred();
  }
  owner_.Tick();
  Announce();
  Dispatch();
}

void
ShardController::Dispatch()
{
  CheckLease();
  owner_.Dispatch();
}

LeaseHooks
ShardController::MakeLeaseHooks()
{
  LeaseHooks hooks;
  hooks.sendRequest = [this](const ProcessInfo& aMember,
                             LeaseRequest aRequest) {
    hooks_.registerPeer(aMember);
    hooks_.send(aMember.id, std::move(aRequest));
  };
  hooks.becameOwner = [this](const state::OwnershipToken& aToken,
                             std::vector<AgentInUse> aAgents,
                             bool aAgentsComplete) {
    for (const AgentInUse& agent : aAgents) {
      hooks_.registerPeer(agent.process);
      inheritedAgents_.push_back(agent.process.id);
    }
    owner_.Activate(
      aToken, clock_.WallNow(), std::move(aAgents), aAgentsComplete);
    token_ = aToken;
    deferUntil_ = clock_.MonotonicNow() + kAgentGrace;
    nextAnnouncement_ = {};
    hooks_.ownershipAcquired(shard_, aToken);
  };
  hooks.tokenChanged = [this](const state::OwnershipToken& aToken) {
    owner_.UpdateToken(aToken);
    token_ = aToken;
    nextAnnouncement_ = {};
  };
  hooks.lostOwnership = [this] {
    owner_.Deactivate();
    // The entries send the deferred jobs to the next owner.
    deferredSubmits_.clear();
    hooks_.ownershipLost(shard_, token_);
  };
  hooks.agentAcknowledged = [this](const ProcessInfo& aAgent) {
    owner_.AddAgent(aAgent);
    SubmitDeferred();
  };
  hooks.propose = [this](const OwnershipRecord& aRecord) {
    hooks_.propose(aRecord);
  };
  hooks.proposeActivated = [this](const OwnershipActivated& aRecord) {
    hooks_.proposeActivated(aRecord);
  };
  hooks.random = [this] { return hooks_.random(); };
  return hooks;
}

JobOwnerHooks
ShardController::MakeOwnerHooks()
{
  JobOwnerHooks hooks;
  hooks.startTasks = [this](const state::ProcessId& aAgent, StartTasks aStart) {
    hooks_.send(aAgent, std::move(aStart));
  };
  hooks.cancelTasks = [this](const state::ProcessId& aAgent,
                             CancelTasks aCancel) {
    hooks_.send(aAgent, std::move(aCancel));
  };
  hooks.fence = [this](const state::ProcessId& aAgent, const Fence& aFence) {
    hooks_.send(aAgent, aFence);
  };
  hooks.queryHistory = [this](const state::ProcessId& aAgent,
                              HistoryQuery aQuery) {
    hooks_.send(aAgent, std::move(aQuery));
  };
  hooks.answer = [this](const state::ProcessId& aRequester, JobAnswer aAnswer) {
    hooks_.send(aRequester, std::move(aAnswer));
  };
  return hooks;
}

void
ShardController::CheckLease()
{
  if (owner_.Active() && !lease_.Valid()) {
    lease_.Tick();
  }
}

void
ShardController::OnSubmit(const state::ProcessId& aRequester,
                          const SubmitJob& aSubmit)
{
  if (owner_.Active() && scheduler_.ServerCount() == 0 &&
      clock_.MonotonicNow() < deferUntil_) {
    deferredSubmits_.emplace_back(aRequester, aSubmit);
    return;
  }
  owner_.OnSubmit(aRequester, aSubmit);
}

void
ShardController::SubmitDeferred()
{
  for (const auto& [requester, submit] : std::exchange(deferredSubmits_, {})) {
    owner_.OnSubmit(requester, submit);
  }
}

void
ShardController::CheckInheritedAgents()
{
  for (const state::ProcessId& agent : std::exchange(inheritedAgents_, {})) {
    if (!aliveAgents_.contains(agent)) {
      lease_.OnAgentLost(agent);
      owner_.OnAgentLost(agent);
    }
  }
}

void
ShardController::Announce()
{
  auto now = clock_.MonotonicNow();
  if (!owner_.Active() || now < nextAnnouncement_) {
    return;
  }
  nextAnnouncement_ = now + kAnnouncePeriod;
  if (auto token = lease_.Token()) {
    hooks_.announce({ shard_, *token, self_ });
  }
}

}
