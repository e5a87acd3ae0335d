#include "daemon/entry_process.h"

#include "daemon/process_identity.h"
#include "transport/event_log.h"

// Handling of shards and of the other processes in EntryProcess.
namespace greengage::daemon {

using namespace coordination;

namespace {

/**
 * Time during which an unreachable process is not added again. Membership needs
 * up to 3 s to detect that a process is dead.
 */
constexpr std::chrono::milliseconds kUnreachableRetention{ 3000 };
/** The owner of this shard renews live records before the log drops them. */
constexpr std::uint32_t kCarrierShard = 0;

}

ShardHooks
EntryProcess::MakeShardHooks()
{
  ShardHooks hooks;
  hooks.registerPeer = [this](const ProcessInfo& aProcess) {
    network_.SetPeer(aProcess);
  };
  hooks.send = [this](const state::ProcessId& aPeer, PeerMessage aMessage) {
    network_.Send(aPeer, std::move(aMessage));
  };
  hooks.announce = [this](const OwnerAnnouncement& aAnnouncement) {
    router_.OnOwner(aAnnouncement);
    for (const auto& [id, process] : processes_) {
      if (process.role == ProcessRole::eEntry) {
        network_.Send(id, aAnnouncement);
      }
    }
  };
  hooks.propose = [this](const OwnershipRecord& aRecord) {
    configuration_.Follower().ProposeOwnership(aRecord);
  };
  hooks.proposeActivated = [this](const OwnershipActivated& aRecord) {
    configuration_.Follower().ProposeActivated(aRecord);
  };
  hooks.ownershipAcquired = [this](std::uint32_t aShard,
                                   const state::OwnershipToken& aToken) {
    if (aShard == kCarrierShard) {
      configuration_.Follower().SetCarrier(true);
    }
    transport::LogEvent(transport::events::kOwnershipGained,
                        "shard={} epoch={} term={}",
                        aShard,
                        aToken.epoch,
                        aToken.term);
  };
  hooks.ownershipLost = [this](std::uint32_t aShard,
                               const state::OwnershipToken& aToken) {
    if (aShard == kCarrierShard) {
      configuration_.Follower().SetCarrier(false);
    }
    router_.OnProcessLost(self_.id);
    transport::LogEvent(transport::events::kOwnershipLost,
                        "shard={} epoch={} term={} reason={}",
                        aShard,
                        aToken.epoch,
                        aToken.term,
                        stopping_ ? "handed_over" : "lease_lapsed");
  };
  hooks.random = [] { return CreateProcessId().low; };
  return hooks;
}

ShardController*
EntryProcess::FindShard(const PeerMessage& aMessage)
{
  auto shard = std::visit(
    [this](const auto& aValue) -> std::optional<std::uint32_t> {
      if constexpr (requires { aValue.shard; }) {
        return aValue.shard;
      } else if constexpr (requires { aValue.spec; }) {
        return aValue.spec.Key().Shard(settings_.shardCount);
      } else if constexpr (requires { aValue.key; }) {
        return aValue.key.Shard(settings_.shardCount);
      } else {
        return std::nullopt;
      }
    },
    aMessage);
  return shard && *shard < shards_.size() ? shards_[*shard].get() : nullptr;
}

void
EntryProcess::OnProcessSeen(const ProcessInfo& aProcess)
{
  network_.SetPeer(aProcess);
  workers_.OnProcessSeen(aProcess);
  auto known = processes_.find(aProcess.id);
  if (known != processes_.end() && known->second == aProcess) {
    return;
  }
  for (const auto& [id, process] : processes_) {
    if (id != aProcess.id && process.peerAddress == aProcess.peerAddress) {
      OnProcessReplaced(state::ProcessId(id));
      break;
    }
  }
  processes_.insert_or_assign(aProcess.id, aProcess);
  UpdateProcesses();
  if (aProcess.role == ProcessRole::eAgent) {
    for (const auto& shard : shards_) {
      shard->OnAgent(aProcess);
    }
  }
}

void
EntryProcess::OnProcessReplaced(const state::ProcessId& aDead)
{
  for (const auto& shard : shards_) {
    shard->Lease().OnProcessReplaced(aDead);
  }
  OnProcessLost(aDead);
}

void
EntryProcess::ReconcileProcesses()
{
  auto now = clock_.MonotonicNow();
  std::erase_if(unreachableSince_, [&](const auto& aEntry) {
    return now - aEntry.second > kUnreachableRetention;
  });
  for (const ProcessInfo& process : membership_.Members()->Alive()) {
    if (process.id != self_.id && !processes_.contains(process.id) &&
        !unreachableSince_.contains(process.id)) {
      OnProcessSeen(process);
      network_.Connect(process.id);
    }
  }
}

std::vector<protocol::ProcessVersion>
EntryProcess::ProcessVersions()
{
  std::vector<protocol::ProcessVersion> versions{
    { self_, configuration_.Follower().Version() }
  };
  for (const MemberUpdate& member : membership_.Members()->Members()) {
    if (member.memberState == MemberState::eAlive ||
        member.memberState == MemberState::eSuspect) {
      versions.push_back({ member.process, member.configurationVersion });
    }
  }
  return versions;
}

void
EntryProcess::OnProcessLost(const state::ProcessId& aProcess)
{
  workers_.OnProcessLost(aProcess);
  router_.OnProcessLost(aProcess);
  for (const auto& shard : shards_) {
    shard->OnAgentLost(aProcess);
  }
  network_.RemovePeer(aProcess);
  processes_.erase(aProcess);
  UpdateProcesses();
}

void
EntryProcess::UpdateProcesses()
{
  std::vector<ProcessInfo> alive{ self_ };
  std::vector<state::ProcessId> entries;
  for (const auto& [id, process] : processes_) {
    alive.push_back(process);
    if (process.role == ProcessRole::eEntry) {
      entries.push_back(id);
    }
  }
  for (const auto& shard : shards_) {
    shard->Lease().SetProcesses(alive);
  }
  configuration_.Follower().SetPeers(std::move(entries));
}

void
EntryProcess::OnPeerLost(const state::ProcessId& aPeer, bool aReachable)
{
  router_.OnProcessLost(aPeer);
  if (!aReachable) {
    unreachableSince_[aPeer] = clock_.MonotonicNow();
    OnProcessLost(aPeer);
    return;
  }
  // Messages may have been lost. If the new connection fails, the peer is lost.
  network_.Connect(aPeer);
  for (const auto& shard : shards_) {
    shard->ResyncAgent(aPeer);
  }
}

void
EntryProcess::ConnectSeeds()
{
  for (const std::string& seed : settings_.common.seeds) {
    network_.ConnectSeed(seed);
  }
  ReconcileProcesses();
}

}
