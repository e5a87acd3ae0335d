#include "coordination/membership/membership.h"

#include <algorithm>

namespace greengage::coordination {

using state::MonotonicTime;
using std::chrono::milliseconds;

namespace {

/** Requests beyond this many are dropped; the sender asks others later. */
constexpr std::size_t kMaxTransfers = 4;
constexpr std::size_t kMaxContested = 1000;
constexpr milliseconds kListRequestPeriod{ 2000 };
/** Half of the difference between two hosts that the design allows. */
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
  // The time makes a restarted process newer than its predecessor.
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
  Learn(aPacket.sender, true);
  bool list = std::holds_alternative<MemberList>(aPacket.body);
  for (const MemberUpdate& update : aPacket.updates) {
    if (list) {
      LearnFromList(update);
    } else {
      Learn(update, true);
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
Membership::Learn(const MemberUpdate& aUpdate, bool aNews)
{
  const ProcessInfo& process = aUpdate.process;
  if (process.id == self_.process.id ||
      process.peerAddress == self_.process.peerAddress) {
    LearnAboutSelf(aUpdate);
    return;
  }
  bool first = table_.Live().empty();
  MemberChange change = table_.Merge(aUpdate, clock_.MonotonicNow());
  if (!change.changed) {
    return;
  }
  if (aNews) {
    queue_.Add(process.peerAddress, change.urgent);
  }
  if (first) {
    listRequestsLeft_ = 1;
    nextListRequest_ = clock_.MonotonicNow() + kListRequestPeriod;
  }
  if (change.returned && aNews) {
    // Probably the end of a partition: the member knows others.
    listRequestsLeft_ = std::max(listRequestsLeft_, 1u);
  }
  if (change.replaced) {
    hooks_.replaced(*change.replaced, aUpdate);
  } else {
    hooks_.changed(aUpdate);
  }
}

void
Membership::LearnAboutSelf(const MemberUpdate& aUpdate)
{
  bool same = aUpdate.process.id == self_.process.id;
  if (same && aUpdate.memberState == MemberState::eAlive) {
    return;
  }
  if (aUpdate.incarnation < self_.incarnation ||
      self_.memberState == MemberState::eLeft) {
    return;
  }
  // Refutes the suspicion, or outdoes an earlier process on this address
  // whose clock was ahead.
  self_.incarnation = aUpdate.incarnation + 1;
  Announce(true);
}

void
Membership::LearnFromList(const MemberUpdate& aUpdate)
{
  // Deaths are not taken from lists: after a partition each side would
  // report the other's members dead. They are found by direct contact.
  if (aUpdate.memberState != MemberState::eAlive) {
    return;
  }
  const std::string& address = aUpdate.process.peerAddress;
  const MemberUpdate* known = table_.Find(address);
  bool contested = known && known->process.id == aUpdate.process.id &&
                   known->memberState == MemberState::eDead &&
                   known->incarnation >= aUpdate.incarnation;
  if (!contested) {
    Learn(aUpdate, false);
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
       Disbelieves(aPacket.sender));
  bool known =
    std::any_of(transfers_.begin(), transfers_.end(), [&](const auto& aT) {
      return aT.receiver == sender;
    });
  if (aPing.wantMembers && !known && transfers_.size() < kMaxTransfers) {
    // A random start makes lists of several members complete each other.
    auto addresses = table_.Live();
    if (!addresses.empty()) {
      std::rotate(addresses.begin(),
                  addresses.begin() + RandomBelow(addresses.size()),
                  addresses.end());
    }
    transfers_.push_back({ sender, std::move(addresses) });
  }
}

void
Membership::Handle(const MembershipPacket& aPacket, const Ack& aAck)
{
  MeasureClock(aPacket, aAck);
  if (auto relay = probes_.OnAck(aAck)) {
    Send(relay->requester, Ack{ relay->sequence, relay->target });
  }
  Handle(aPacket, Gossip{});
}

void
Membership::MeasureClock(const MembershipPacket& aPacket, const Ack& aAck)
{
  auto roundTrip = probes_.RoundTrip(aAck, clock_.MonotonicNow());
  if (!roundTrip || aAck.responder != aPacket.sender.process.id) {
    return;
  }
  // The answer was sent at some moment of the round trip.
  auto difference = aPacket.sentAt - (clock_.WallNow() - *roundTrip / 2);
  auto certain = std::chrono::abs(difference) - *roundTrip / 2;
  if (certain > kReportedClockDifference) {
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
  if (Disbelieves(aPacket.sender)) {
    Send(aPacket.sender.process.peerAddress, Gossip{}, true);
  }
}

void
Membership::Handle(const MembershipPacket& aPacket, const MemberList&)
{
  Handle(aPacket, Gossip{});
}

bool
Membership::Disbelieves(const MemberUpdate& aSender) const
{
  const MemberUpdate* known = table_.Find(aSender.process.peerAddress);
  return known && aSender.memberState == MemberState::eAlive &&
         (known->process.id != aSender.process.id ||
          known->memberState != MemberState::eAlive);
}

void
Membership::Send(const std::string& aAddress,
                 MembershipBody aBody,
                 bool aTellBelief)
{
  MembershipPacket packet = EmptyPacket(std::move(aBody));
  std::size_t room = PacketRoom(packet);
  const MemberUpdate* known = table_.Find(aAddress);
  // A member that is believed dead can only refute what it is told.
  if (known && (aTellBelief || known->memberState != MemberState::eAlive)) {
    packet.updates.push_back(table_.Told(aAddress, clock_.MonotonicNow()));
    room -= EncodedBytes(packet.updates.back());
  }
  auto taken =
    queue_.Take(room,
                table_.Live().size() + 1,
                [&](const std::string& aSubject) { return LookUp(aSubject); });
  std::move(taken.begin(), taken.end(), std::back_inserter(packet.updates));
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
  return table_.Told(aAddress, clock_.MonotonicNow());
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
