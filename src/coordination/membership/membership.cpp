#include "coordination/membership/membership.h"

#include <algorithm>

namespace greengage::coordination {

using state::MonotonicTime;
using std::chrono::milliseconds;

namespace {

/** Further requests are dropped; the sender retries with other members. */
constexpr std::size_t kMaxListTransfers = 4;
constexpr std::size_t kMaxContested = 1000;
constexpr milliseconds kListRequestPeriod{ 2000 };
/** Half of the largest clock difference between two hosts that is allowed. */
constexpr milliseconds kReportedClockDifference{ 500 };

}

Membership::Membership(const ProcessInfo& aSelf,
                       std::vector<std::string> aSeeds,
                       const state::Clock& aClock,
                       MembershipHooks aHooks)
  : clock_(aClock)
  , hooks_(std::move(aHooks))
  , table_(aSelf.id)
  , lastTick_(aClock.MonotonicNow())
  , nextPeriod_(lastTick_)
  , nextReconnect_(lastTick_)
  , nextListRequest_(lastTick_)
  , nextListPacket_(lastTick_)
{
  self_.process = aSelf;
  // The wall clock gives a restarted process a higher incarnation than that of
  // the previous process on this address.
  self_.incarnation =
    static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                 clock_.WallNow().time_since_epoch())
                                 .count());
  SetSeeds(std::move(aSeeds));
}

void
Membership::SetSeeds(std::vector<std::string> aSeeds)
{
  seeds_ = std::move(aSeeds);
  std::erase(seeds_, self_.process.peerAddress);
}

void
Membership::OnPacket(const MembershipPacket& aPacket)
{
  if (aPacket.sender.process.id == self_.process.id) {
    return;
  }
  ApplyUpdate(aPacket.sender, true);
  bool list = std::holds_alternative<MemberList>(aPacket.body);
  for (const MemberUpdate& update : aPacket.updates) {
    if (list) {
      ApplyListEntry(update);
    } else {
      ApplyUpdate(update, true);
    }
  }
  std::visit([&](const auto& aBody) { Handle(aPacket, aBody); }, aPacket.body);
}

void
Membership::SetSelf(const ProcessInfo& aSelf)
{
  self_.process = aSelf;
  ++self_.incarnation;
  Announce(true);
}

void
Membership::SetConfigurationVersion(std::uint64_t aVersion)
{
  if (aVersion == self_.configurationVersion) {
    return;
  }
  self_.configurationVersion = aVersion;
  ++self_.incarnation;
  Announce(false);
}

void
Membership::Leave()
{
  self_.memberState = MemberState::eLeft;
  ++self_.incarnation;
  Announce(true);
}

std::vector<ProcessInfo>
Membership::Alive() const
{
  std::vector<ProcessInfo> alive{ self_.process };
  for (const std::string& address : table_.Live()) {
    alive.push_back(table_.Find(address)->process);
  }
  return alive;
}

void
Membership::ApplyUpdate(const MemberUpdate& aUpdate, bool aSpread)
{
  const ProcessInfo& process = aUpdate.process;
  if (process.id == self_.process.id ||
      process.peerAddress == self_.process.peerAddress) {
    ApplyUpdateAboutSelf(aUpdate);
    return;
  }
  bool isFirstMember = table_.Live().empty();
  MemberChange change = table_.Merge(aUpdate, clock_.MonotonicNow());
  if (!change.changed) {
    return;
  }
  if (aSpread) {
    queue_.Add(process.peerAddress, change.urgent);
  }
  if (isFirstMember) {
    listRequestsLeft_ = 1;
    nextListRequest_ = clock_.MonotonicNow() + kListRequestPeriod;
  }
  if (change.returned && aSpread) {
    // Probably a partition ended, so the member can list other members.
    listRequestsLeft_ = std::max(listRequestsLeft_, 1u);
  }
  if (change.replaced) {
    hooks_.replaced(*change.replaced, aUpdate);
  } else {
    hooks_.changed(aUpdate);
  }
}

void
Membership::ApplyUpdateAboutSelf(const MemberUpdate& aUpdate)
{
  bool isSameProcess = aUpdate.process.id == self_.process.id;
  if (isSameProcess && aUpdate.memberState == MemberState::eAlive) {
    return;
  }
  if (aUpdate.incarnation < self_.incarnation ||
      self_.memberState == MemberState::eLeft) {
    return;
  }
  // Refutes the suspicion, or exceeds the incarnation of an earlier process on
  // this address whose clock was ahead.
  self_.incarnation = aUpdate.incarnation + 1;
  Announce(true);
}

void
Membership::ApplyListEntry(const MemberUpdate& aUpdate)
{
  // Lists add only members that are alive, as after a partition each side would
  // report the members of the other side as dead. Probes detect dead members.
  if (aUpdate.memberState != MemberState::eAlive) {
    return;
  }
  const std::string& address = aUpdate.process.peerAddress;
  const MemberUpdate* known = table_.Find(address);
  bool contested = known && known->process.id == aUpdate.process.id &&
                   known->memberState == MemberState::eDead &&
                   known->incarnation >= aUpdate.incarnation;
  if (!contested) {
    ApplyUpdate(aUpdate, false);
  } else if (contested_.size() < kMaxContested) {
    contested_.push_back(address);
  }
}

void
Membership::Handle(const MembershipPacket& aPacket, const Ping& aPing)
{
  const std::string& sender = aPacket.sender.process.peerAddress;
  Send(sender,
       Ack{ aPing.sequence, self_.process.id },
       DiffersFromTable(aPacket.sender));
  bool known = std::any_of(
    listTransfers_.begin(), listTransfers_.end(), [&](const auto& aTransfer) {
      return aTransfer.receiver == sender;
    });
  if (aPing.wantMembers && !known &&
      listTransfers_.size() < kMaxListTransfers) {
    // The list starts at a random member, so that partial lists from several
    // members complement each other.
    auto addresses = table_.Live();
    if (!addresses.empty()) {
      std::rotate(addresses.begin(),
                  addresses.begin() + RandomBelow(addresses.size()),
                  addresses.end());
    }
    listTransfers_.push_back({ sender, std::move(addresses) });
  }
}

void
Membership::Handle(const MembershipPacket& aPacket, const Ack& aAck)
{
  CheckClock(aPacket, aAck);
  if (auto relay = probes_.OnAck(aAck)) {
    Send(relay->requester, Ack{ relay->sequence, relay->target });
  }
  Handle(aPacket, Gossip{});
}

void
Membership::CheckClock(const MembershipPacket& aPacket, const Ack& aAck)
{
  auto roundTrip = probes_.RoundTrip(aAck, clock_.MonotonicNow());
  if (!roundTrip || aAck.responder != aPacket.sender.process.id) {
    return;
  }
  // The Ack was sent at an unknown time within the round trip.
  auto difference = aPacket.sentAt - (clock_.WallNow() - *roundTrip / 2);
  auto minDifference = std::chrono::abs(difference) - *roundTrip / 2;
  if (minDifference > kReportedClockDifference) {
    hooks_.clockDiffers(aPacket.sender.process,
                        std::chrono::duration_cast<milliseconds>(difference));
  }
}

void
Membership::Handle(const MembershipPacket& aPacket, const PingRequest& aRequest)
{
  std::uint64_t sequence =
    probes_.AddRelay({ aPacket.sender.process.peerAddress,
                       aRequest.sequence,
                       aRequest.target,
                       clock_.MonotonicNow() });
  Send(aRequest.targetAddress, Ping{ sequence, false });
  Handle(aPacket, Gossip{});
}

void
Membership::Handle(const MembershipPacket& aPacket, const Gossip&)
{
  if (DiffersFromTable(aPacket.sender)) {
    Send(aPacket.sender.process.peerAddress, Gossip{}, true);
  }
}

void
Membership::Handle(const MembershipPacket& aPacket, const MemberList&)
{
  Handle(aPacket, Gossip{});
}

bool
Membership::DiffersFromTable(const MemberUpdate& aSender) const
{
  const MemberUpdate* known = table_.Find(aSender.process.peerAddress);
  return known && aSender.memberState == MemberState::eAlive &&
         (known->process.id != aSender.process.id ||
          known->memberState != MemberState::eAlive);
}

void
Membership::Send(const std::string& aAddress,
                 MembershipBody aBody,
                 bool aIncludeKnownState)
{
  MembershipPacket packet = EmptyPacket(std::move(aBody));
  std::size_t freeBytes = PacketFreeCapacity(packet);
  const MemberUpdate* known = table_.Find(aAddress);
  // A member must receive its suspect or dead state in order to refute it.
  if (known &&
      (aIncludeKnownState || known->memberState != MemberState::eAlive)) {
    packet.updates.push_back(
      table_.UpdateToSend(aAddress, clock_.MonotonicNow()));
    freeBytes -= EncodedBytes(packet.updates.back());
  }
  auto selected = queue_.SelectForPacket(
    freeBytes, table_.Live().size() + 1, [&](const std::string& aSubject) {
      return LookUp(aSubject);
    });
  std::move(
    selected.begin(), selected.end(), std::back_inserter(packet.updates));
  hooks_.send(aAddress, packet);
}

MembershipPacket
Membership::EmptyPacket(MembershipBody aBody) const
{
  return { self_, std::move(aBody), {}, clock_.WallNow() };
}

std::optional<MemberUpdate>
Membership::LookUp(const std::string& aAddress) const
{
  if (aAddress == self_.process.peerAddress) {
    return self_;
  }
  if (!table_.Find(aAddress)) {
    return std::nullopt;
  }
  return table_.UpdateToSend(aAddress, clock_.MonotonicNow());
}

void
Membership::Announce(bool aUrgent)
{
  queue_.Add(self_.process.peerAddress, aUrgent);
}

std::size_t
Membership::RandomBelow(std::size_t aLimit)
{
  return static_cast<std::size_t>(hooks_.random() % aLimit);
}

}
