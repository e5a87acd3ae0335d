#include "coordination/membership/membership.h"

#include <algorithm>

// The part of Membership that acts on time; membership.cpp acts on packets.
namespace greengage::coordination {

using state::MonotonicTime;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kPeriod{ 500 };
constexpr std::size_t kIndirectProbes = 3;
/** Suspect ring successors that are pinged beside the first other one. */
constexpr std::size_t kMaxRingProbes = 3;
/** A gap between two ticks that shows that this process was paused. */
constexpr milliseconds kPauseThreshold{ 300 };

constexpr std::size_t kGossipFanOut = 3;
/** Packets between the periods: 8 a second take at most 9.6 KB/s. */
constexpr double kGossipPacketsPerSecond = 8;
/** One change at 1,000 members takes 30 packets. */
constexpr double kGossipBurst = 40;

/** A process that knows nobody serves nobody, so it asks often. */
constexpr milliseconds kJoinPeriod{ 100 };
constexpr milliseconds kReconnectPeriod{ 2000 };
constexpr std::size_t kJoinSeeds = 3;
constexpr std::size_t kContestedPerPeriod = 2;
constexpr milliseconds kListRequestPeriod{ 2000 };
/** Lists take at most 12 KB/s of the 29 KB/s that control may use. */
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
    // A random part of a period, so that processes do not run in step.
    bool first = order_.empty() && nextPeriod_ == lastTick_;
    nextPeriod_ =
      now + (first ? milliseconds(RandomBelow(kPeriod.count())) : kPeriod);
    StartPeriod();
    table_.Expire(now);
  }
  if (now >= nextReconnect_) {
    Reconnect();
  }
  SpreadUrgent();
  SendLists();
  lastTick_ = now;
}

void
Membership::DetectPause()
{
  auto gap = clock_.MonotonicNow() - lastTick_;
  if (gap > kPauseThreshold) {
    // Answers wait in the socket; nobody may be blamed for this pause.
    probes_.Clear();
    table_.ExtendSuspicions(gap);
  }
}

void
Membership::StartPeriod()
{
  auto targets = table_.RingSuccessors(kMaxRingProbes);
  std::string next = NextInOrder();
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
Membership::NextInOrder()
{
  if (order_.empty()) {
    order_ = table_.Live();
    for (std::size_t i = order_.size(); i > 1; --i) {
      std::swap(order_[i - 1], order_[RandomBelow(i)]);
    }
  }
  while (!order_.empty()) {
    std::string address = std::move(order_.back());
    order_.pop_back();
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
  for (const Probe& probe : probes_.TakeDirectTimeouts(now)) {
    for (const auto& helper : RandomLive(kIndirectProbes, probe.address)) {
      Send(helper, PingRequest{ probe.sequence, probe.target, probe.address });
    }
  }
  for (const Probe& probe : probes_.TakeFailed(now)) {
    const MemberUpdate* member = table_.Find(probe.address);
    if (member && member->process.id == probe.target &&
        member->memberState == MemberState::eAlive) {
      MemberUpdate suspect = *member;
      suspect.memberState = MemberState::eSuspect;
      Learn(suspect, true);
    }
  }
}

void
Membership::CheckSuspicions()
{
  for (MemberUpdate dead : table_.SuspicionsDue(clock_.MonotonicNow())) {
    dead.memberState = MemberState::eDead;
    Learn(dead, true);
  }
}

void
Membership::SpreadUrgent()
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
  if (transfers_.empty() || now < nextListPacket_) {
    return;
  }
  nextListPacket_ = now + kListPacketPeriod;
  // Receivers take turns.
  ListTransfer transfer = std::move(transfers_.front());
  transfers_.pop_front();
  MembershipPacket packet = EmptyPacket(MemberList{});
  std::size_t room = PacketRoom(packet);
  while (!transfer.addresses.empty()) {
    const MemberUpdate* member = table_.Find(transfer.addresses.back());
    std::size_t size = member ? EncodedBytes(*member) : 0;
    if (size > room) {
      break;
    }
    if (member && member->memberState == MemberState::eAlive) {
      packet.updates.push_back(*member);
      room -= size;
    }
    transfer.addresses.pop_back();
  }
  hooks_.send(transfer.receiver, packet);
  if (!transfer.addresses.empty()) {
    transfers_.push_back(std::move(transfer));
  }
}

void
Membership::Reconnect()
{
  auto now = clock_.MonotonicNow();
  bool alone = table_.Live().empty();
  nextReconnect_ = now + (alone ? kJoinPeriod : kReconnectPeriod);
  if (listRequestsLeft_ > 0 && !alone && now >= nextListRequest_) {
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
  std::size_t count = alone ? kJoinSeeds : 1;
  for (std::size_t i = 0; i < count && !missing.empty(); ++i) {
    std::swap(missing[RandomBelow(missing.size())], missing.back());
    // A member that was never met may know others; a dead one that returns
    // is asked later.
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
  // A few members may be drawn twice; then fewer are chosen.
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
