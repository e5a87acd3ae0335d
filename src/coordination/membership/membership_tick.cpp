#include "coordination/membership/membership.h"

#include <algorithm>

// The periodic part of Membership; membership.cpp handles received packets.
namespace greengage::coordination {

using state::MonotonicTime;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kProbePeriod{ 500 };
constexpr std::size_t kIndirectProbes = 3;
/** Largest number of ring successors that are pinged while some are suspect. */
constexpr std::size_t kMaxRingProbes = 3;
/** A longer gap between two ticks means that this process was paused. */
constexpr milliseconds kPauseThreshold{ 300 };

constexpr std::size_t kGossipFanOut = 3;
/** Rate of packets between the periods; 8 per second use at most 9.6 KB/s. */
constexpr double kGossipPacketsPerSecond = 8;
/** One change at 1,000 members requires 30 packets. */
constexpr double kGossipBurst = 40;

/** Short, as a process can do no work before it has found other members. */
constexpr milliseconds kJoinPeriod{ 100 };
constexpr milliseconds kReconnectPeriod{ 2000 };
constexpr std::size_t kJoinSeeds = 3;
constexpr std::size_t kContestedPerPeriod = 2;
constexpr milliseconds kListRequestPeriod{ 2000 };
/** Lists use at most 12 KB/s of the 29 KB/s allowed for control traffic. */
constexpr milliseconds kListPacketPeriod{ 100 };

}

void
Membership::Tick()
{
  DetectPause();
  auto now = clock_.MonotonicNow();
  CheckProbes();
  CheckSuspicions();
  if (now >= nextPeriod_) {
    // The first period has a random length, so that the processes do not send
    // at the same time.
    bool first = probeOrder_.empty() && nextPeriod_ == lastTick_;
    nextPeriod_ = now + (first ? milliseconds(RandomBelow(kProbePeriod.count()))
                               : kProbePeriod);
    StartPeriod();
    table_.Expire(now);
  }
  if (now >= nextReconnect_) {
    Reconnect();
  }
  SendUrgentUpdates();
  SendLists();
  lastTick_ = now;
}

void
Membership::DetectPause()
{
  auto gap = clock_.MonotonicNow() - lastTick_;
  if (gap > kPauseThreshold) {
    // Acks may still be waiting in the socket, so no member may become suspect
    // or dead because of the pause.
    probes_.Clear();
    table_.ExtendSuspicions(gap);
  }
}

void
Membership::StartPeriod()
{
  auto targets = table_.RingSuccessors(kMaxRingProbes);
  std::string next = NextProbeTarget();
  if (!next.empty() &&
      std::find(targets.begin(), targets.end(), next) == targets.end()) {
    targets.push_back(std::move(next));
  }
  for (const std::string& address : targets) {
    SendProbe(address);
  }
  for (std::size_t i = 0; i < kContestedPerPeriod && !contested_.empty(); ++i) {
    Send(contested_.front(), Ping{ probes_.NextSequence(), false });
    contested_.pop_front();
  }
}

void
Membership::SendProbe(const std::string& aAddress)
{
  const MemberUpdate* target = table_.Find(aAddress);
  std::uint64_t sequence = probes_.Add(*target, clock_.MonotonicNow());
  Send(aAddress, Ping{ sequence, false });
}

std::string
Membership::NextProbeTarget()
{
  if (probeOrder_.empty()) {
    probeOrder_ = table_.Live();
    for (std::size_t i = probeOrder_.size(); i > 1; --i) {
      std::swap(probeOrder_[i - 1], probeOrder_[RandomBelow(i)]);
    }
  }
  while (!probeOrder_.empty()) {
    std::string address = std::move(probeOrder_.back());
    probeOrder_.pop_back();
    const MemberUpdate* member = table_.Find(address);
    if (member && member->memberState <= MemberState::eSuspect) {
      return address;
    }
  }
  return {};
}

void
Membership::CheckProbes()
{
  auto now = clock_.MonotonicNow();
  for (const Probe& probe : probes_.CollectDirectTimeouts(now)) {
    for (const auto& relay : RandomLive(kIndirectProbes, probe.address)) {
      Send(relay, PingRequest{ probe.sequence, probe.target, probe.address });
    }
  }
  for (const Probe& probe : probes_.RemoveFailed(now)) {
    const MemberUpdate* member = table_.Find(probe.address);
    if (member && member->process.id == probe.target &&
        member->memberState == MemberState::eAlive) {
      MemberUpdate suspect = *member;
      suspect.memberState = MemberState::eSuspect;
      ApplyUpdate(suspect, true);
    }
  }
}

void
Membership::CheckSuspicions()
{
  for (MemberUpdate dead : table_.SuspicionsDue(clock_.MonotonicNow())) {
    dead.memberState = MemberState::eDead;
    ApplyUpdate(dead, true);
  }
}

void
Membership::SendUrgentUpdates()
{
  auto elapsed =
    std::chrono::duration<double>(clock_.MonotonicNow() - lastTick_);
  gossipTokens_ = std::min(
    kGossipBurst, gossipTokens_ + elapsed.count() * kGossipPacketsPerSecond);
  if (!queue_.HasUrgent()) {
    return;
  }
  for (const std::string& address : RandomLive(kGossipFanOut, {})) {
    if (gossipTokens_ < 1 || !queue_.HasUrgent()) {
      return;
    }
    gossipTokens_ -= 1;
    Send(address, Gossip{});
  }
}

void
Membership::SendLists()
{
  auto now = clock_.MonotonicNow();
  if (listTransfers_.empty() || now < nextListPacket_) {
    return;
  }
  nextListPacket_ = now + kListPacketPeriod;
  // Sends one packet to each receiver in turn.
  ListTransfer transfer = std::move(listTransfers_.front());
  listTransfers_.pop_front();
  MembershipPacket packet = EmptyPacket(MemberList{});
  std::size_t freeBytes = PacketFreeCapacity(packet);
  while (!transfer.addresses.empty()) {
    const MemberUpdate* member = table_.Find(transfer.addresses.back());
    std::size_t size = member ? EncodedBytes(*member) : 0;
    if (size > freeBytes) {
      break;
    }
    if (member && member->memberState == MemberState::eAlive) {
      packet.updates.push_back(*member);
      freeBytes -= size;
    }
    transfer.addresses.pop_back();
  }
  hooks_.send(transfer.receiver, packet);
  if (!transfer.addresses.empty()) {
    listTransfers_.push_back(std::move(transfer));
  }
}

void
Membership::Reconnect()
{
  auto now = clock_.MonotonicNow();
  bool isIsolated = table_.Live().empty();
  nextReconnect_ = now + (isIsolated ? kJoinPeriod : kReconnectPeriod);
  if (listRequestsLeft_ > 0 && !isIsolated && now >= nextListRequest_) {
    --listRequestsLeft_;
    nextListRequest_ = now + kListRequestPeriod;
    Send(RandomLive(1, {}).front(), Ping{ probes_.NextSequence(), true });
  }
  std::vector<std::string> missing = table_.Dead();
  for (const std::string& seed : seeds_) {
    if (!table_.Find(seed)) {
      missing.push_back(seed);
    }
  }
  std::size_t count = isIsolated ? kJoinSeeds : 1;
  for (std::size_t i = 0; i < count && !missing.empty(); ++i) {
    std::swap(missing[RandomBelow(missing.size())], missing.back());
    // An unknown member may be able to list other members. A dead member that
    // returns is sent a request for its list later.
    bool known = table_.Find(missing.back());
    Send(missing.back(), Ping{ probes_.NextSequence(), !known });
    missing.pop_back();
  }
}

std::vector<std::string>
Membership::RandomLive(std::size_t aCount, const std::string& aExcept)
{
  const std::vector<std::string>& live = table_.Live();
  std::vector<std::string> chosen;
  // The number of draws is bounded; fewer members are chosen if some are drawn
  // repeatedly.
  for (std::size_t i = 0; i < 2 * aCount && chosen.size() < aCount; ++i) {
    if (live.empty()) {
      break;
    }
    const std::string& address = live[RandomBelow(live.size())];
    if (address != aExcept &&
        std::find(chosen.begin(), chosen.end(), address) == chosen.end()) {
      chosen.push_back(address);
    }
  }
  return chosen;
}

}
