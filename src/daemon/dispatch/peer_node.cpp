#include "daemon/dispatch/peer_node.h"

#include "daemon/process_identity.h"
#include "transport/endpoint.h"
#include "transport/event_log.h"

namespace greengage::daemon {

using coordination::Hello;
using coordination::PeerMessage;
using coordination::ProcessInfo;
using coordination::ProcessRole;
using state::ProcessId;

PeerNode::PeerNode(transport::TrafficPool& aTraffic,
                   transport::ControlThread& aControl,
                   const state::Clock& aClock,
                   PeerNodeHooks aHooks)
  : clock_(aClock)
  , hooks_(std::move(aHooks))
  , network_(aTraffic,
             aControl,
             { [this](const ProcessInfo& aFrom, const PeerMessage& aMessage) {
                OnReceived(aFrom, aMessage);
              },
               [this](const ProcessId& aPeer, bool aReachable) {
                 if (aReachable) {
                   hooks_.disconnected(aPeer);
                 } else {
                   OnLost(aPeer);
                 }
               },
               nullptr,
               nullptr })
  , membership_(aTraffic,
                aControl,
                aClock,
                { [this](const ProcessInfo& aPeer) { OnAlive(aPeer); },
                  [this](const ProcessId& aPeer) { OnLost(aPeer); },
                  [this](const ProcessId& aPeer) { OnLost(aPeer); },
                  [this](const ProcessId& aPeer, std::uint64_t aVersion) {
                    hooks_.versionReceived(aPeer, aVersion);
                  },
                  [this] { OnHeard(); } })
{
}

tl::expected<void, DaemonError>
PeerNode::Start(const PeerNodeSettings& aSettings)
{
  settings_ = aSettings;
  auto endpoint = transport::ParseEndpoint(aSettings.address);
  if (!endpoint) {
    return tl::unexpected(DaemonError{ endpoint.error().message });
  }
  auto bound = network_.Listen(*endpoint);
  if (!bound) {
    return tl::unexpected(DaemonError{ bound.error().message });
  }
  self_.id = CreateProcessId();
  self_.role = aSettings.role;
  self_.peerAddress = transport::ToString(*bound);
  self_.dataCentre = aSettings.dataCentre;
  transport::SetLogProcess(aSettings.role == ProcessRole::eEntry ? "entry"
                                                                 : "agent",
                           self_.id.ToString());
  network_.Start(self_);
  return membership_.Start(self_, aSettings.seeds);
}

void
PeerNode::SetSeeds(const std::vector<std::string>& aSeeds)
{
  settings_.seeds = aSeeds;
  if (membership_.Members()) {
    membership_.Members()->SetSeeds(aSeeds);
  }
}

void
PeerNode::Send(const ProcessId& aPeer, PeerMessage aMessage)
{
  network_.Send(aPeer, std::move(aMessage));
}

void
PeerNode::Disconnect(const ProcessId& aPeer)
{
  network_.Disconnect(aPeer);
}

void
PeerNode::Tick(std::uint64_t aConfigurationVersion)
{
  membership_.Tick(aConfigurationVersion);
}

void
PeerNode::Leave()
{
  if (membership_.Members()) {
    membership_.Members()->Leave();
  }
}

void
PeerNode::Stop()
{
  network_.Stop();
  membership_.Stop();
}

const ProcessInfo*
PeerNode::Find(const ProcessId& aPeer) const
{
  auto peer = alivePeers_.find(aPeer);
  return peer == alivePeers_.end() ? nullptr : &peer->second;
}

void
PeerNode::OnAlive(const ProcessInfo& aPeer)
{
  if (aPeer.id == self_.id) {
    return;
  }
  network_.SetPeer(aPeer);
  alivePeers_.insert_or_assign(aPeer.id, aPeer);
  hooks_.alive(aPeer);
}

void
PeerNode::OnLost(const ProcessId& aPeer)
{
  if (alivePeers_.erase(aPeer) > 0) {
    network_.RemovePeer(aPeer);
    hooks_.lost(aPeer);
  }
}

void
PeerNode::OnHeard() const
{
  if (hooks_.heard) {
    hooks_.heard();
  }
}

void
PeerNode::OnReceived(const ProcessInfo& aFrom, const PeerMessage& aMessage)
{
  OnHeard();
  if (!alivePeers_.contains(aFrom.id)) {
    // A known peer with this address ended before the sender started.
    for (const auto& [id, peer] : std::map(alivePeers_)) {
      if (peer.peerAddress == aFrom.peerAddress) {
        OnLost(id);
      }
    }
    OnAlive(aFrom);
  }
  if (!std::holds_alternative<Hello>(aMessage)) {
    hooks_.received(aFrom, aMessage);
  }
}

}
