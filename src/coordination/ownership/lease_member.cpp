#include "coordination/ownership/lease_member.h"

#include <algorithm>

#include "state/job_id.h"

namespace greengage::coordination {

LeaseMember::LeaseMember(std::uint32_t aShard,
                         const state::ProcessId& aSelf,
                         const state::Clock& aClock)
  : shard_(aShard)
  , self_(aSelf)
  , clock_(aClock)
{
}

LeaseReply
LeaseMember::OnRequest(const state::ProcessId& aFrom,
                       const LeaseRequest& aRequest)
{
  LeaseReply reply;
  reply.member = self_;
  reply.shard = shard_;
  reply.token = aRequest.token;
  reply.sequence = aRequest.sequence;
  if (aRequest.release) {
    Release(aFrom, aRequest);
  } else if (MayGrant(aRequest)) {
    RecordGrant(aFrom, aRequest);
    reply.granted = true;
  }
  reply.promised = promised_;
  reply.olderGrantRemaining = RemainingGrantsOfOthers(aFrom);
  if (reply.granted && aRequest.wantAgents) {
    for (const auto& [id, stored] : agents_) {
      reply.agents.push_back(stored.agent);
    }
  }
  return reply;
}

void
LeaseMember::Expire()
{
  // Uses the monotonic clock, because a step of the wall clock must not drop an
  // agent that may still hold start records.
  auto oldest =
    clock_.MonotonicNow() - state::kJobRetention - state::kClockMargin;
  std::erase_if(agents_, [&](const auto& aEntry) {
    const StoredAgent& stored = aEntry.second;
    return stored.lostAt && *stored.lostAt < oldest;
  });
}

bool
LeaseMember::MayGrant(const LeaseRequest& aRequest) const
{
  return aRequest.token.epoch > 0 && aRequest.token >= promised_ &&
         aRequest.token != released_;
}

void
LeaseMember::Release(const state::ProcessId& aFrom,
                     const LeaseRequest& aRequest)
{
  auto grant = grants_.find(aFrom);
  if (grant != grants_.end() && grant->second.token <= aRequest.token) {
    grants_.erase(grant);
  }
  if (aRequest.token >= promised_) {
    promised_ = aRequest.token;
    released_ = aRequest.token;
  }
}

void
LeaseMember::RecordGrant(const state::ProcessId& aFrom,
                         const LeaseRequest& aRequest)
{
  auto now = clock_.MonotonicNow();
  StoreAgents(aRequest);
  if (aRequest.token > promised_) {
    sequence_ = 0;
  }
  promised_ = aRequest.token;
  sequence_ = std::max(sequence_, aRequest.sequence);
  std::erase_if(grants_,
                [&](const auto& aEntry) { return aEntry.second.end <= now; });
  grants_[aFrom] = { aRequest.token, now + kLeaseDuration + kLeaseDriftMargin };
}

void
LeaseMember::StoreAgents(const LeaseRequest& aRequest)
{
  bool newest = aRequest.token > promised_ || aRequest.sequence > sequence_;
  std::map<state::ProcessId, StoredAgent> earlier;
  if (aRequest.allAgents && newest) {
    earlier.swap(agents_);
  }
  auto now = clock_.MonotonicNow();
  for (const AgentInUse& agent : aRequest.newAgents) {
    StoredAgent stored{ agent, std::nullopt };
    if (agent.lostSince) {
      auto known = earlier.find(agent.process.id);
      bool wasLost = known != earlier.end() && known->second.lostAt;
      stored.lostAt = wasLost ? known->second.lostAt : now;
    }
    // A late request must not overwrite the agents of a newer one.
    if (newest) {
      agents_.insert_or_assign(agent.process.id, std::move(stored));
    } else {
      agents_.emplace(agent.process.id, std::move(stored));
    }
  }
}

std::chrono::milliseconds
LeaseMember::RemainingGrantsOfOthers(const state::ProcessId& aFrom) const
{
  auto now = clock_.MonotonicNow();
  std::chrono::milliseconds remaining{ 0 };
  for (const auto& [holder, grant] : grants_) {
    if (holder != aFrom && grant.end > now) {
      // Rounded up, because a grant must not be reported shorter than it is.
      remaining =
        std::max(remaining,
                 std::chrono::ceil<std::chrono::milliseconds>(grant.end - now));
    }
  }
  return remaining;
}

}
