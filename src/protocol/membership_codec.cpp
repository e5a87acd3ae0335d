#include "protocol/membership_codec.h"

#include <algorithm>
#include <array>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include "protocol/membership.capnp.h"
#include "protocol/wire_text.h"

namespace greengage::protocol {

namespace {

using namespace coordination;
using std::chrono::milliseconds;

constexpr std::size_t kWordBytes = sizeof(::capnp::word);
/** A packet is read once; the limit stops crafted pointer loops. */
constexpr std::uint64_t kTraversalLimitWords = kMaxPacketBytes / kWordBytes * 4;
constexpr int kNestingLimit = 8;
/**
 * Year 2248: incarnations begin with the milliseconds since 1970. A process
 * refutes a suspicion with the next higher incarnation, which other members
 * must accept too, so the limit must not be a value that a faulty writer is
 * likely to send, such as the highest one of an integer type.
 */
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{ 1 } << 43;
/** `[ipv6]:port` with the longest address. */
constexpr std::size_t kMaxAddressBytes = 53;

/** Thrown for values out of range; caught in DecodeMembershipPacket(). */
struct InvalidPacket
{
  ProtocolError error;
};

std::string
ToBoundedString(::capnp::Text::Reader aText,
                std::size_t aMaxBytes,
                const char* aField)
{
  if (aText.size() > aMaxBytes) {
    throw InvalidPacket{ { aField,
                           "text of " + std::to_string(aText.size()) +
                             " bytes is too long" } };
  }
  return ToString(aText);
}

/** Converts milliseconds since 1970; throws if WallTime cannot hold them. */
state::WallTime
ToWallTime(std::int64_t aMilliseconds)
{
  constexpr auto kLast = std::chrono::duration_cast<milliseconds>(
    state::WallTime::max().time_since_epoch());
  if (aMilliseconds < 0 || aMilliseconds > kLast.count()) {
    throw InvalidPacket{ { "sentAtMs", "is out of range" } };
  }
  return state::WallTime(milliseconds(aMilliseconds));
}

template<class Enum>
Enum
ToEnum(unsigned aValue, Enum aLast, const char* aField)
{
  if (aValue > static_cast<unsigned>(aLast)) {
    throw InvalidPacket{
      { aField, "value " + std::to_string(aValue) + " is not known" }
    };
  }
  return static_cast<Enum>(aValue);
}

void
Encode(const MemberUpdate& aUpdate, wire::MemberUpdate::Builder aBuilder)
{
  const ProcessInfo& process = aUpdate.process;
  aBuilder.setIdHigh(process.id.high);
  aBuilder.setIdLow(process.id.low);
  aBuilder.setIncarnation(aUpdate.incarnation);
  aBuilder.setConfigurationVersion(aUpdate.configurationVersion);
  aBuilder.setSlots(process.slots);
  aBuilder.setMemoryMb(process.memoryMb);
  aBuilder.setAccelerators(process.accelerators);
  aBuilder.setSuspectForMs(static_cast<std::uint16_t>(
    std::clamp<milliseconds::rep>(aUpdate.suspectFor.count(), 0, UINT16_MAX)));
  aBuilder.setRole(static_cast<std::uint8_t>(process.role));
  aBuilder.setMemberState(static_cast<std::uint8_t>(aUpdate.memberState));
  aBuilder.setDraining(process.draining);
  aBuilder.setPeerAddress(ToText(process.peerAddress));
  aBuilder.setDataCentre(ToText(process.dataCentre));
  aBuilder.setRack(ToText(process.rack));
}

MemberUpdate
Decode(wire::MemberUpdate::Reader aReader)
{
  MemberUpdate update;
  ProcessInfo& process = update.process;
  process.id = { aReader.getIdHigh(), aReader.getIdLow() };
  update.incarnation = aReader.getIncarnation();
  if (update.incarnation > kMaxIncarnation) {
    throw InvalidPacket{ { "incarnation", "is out of range" } };
  }
  update.configurationVersion = aReader.getConfigurationVersion();
  process.slots = aReader.getSlots();
  process.memoryMb = aReader.getMemoryMb();
  process.accelerators = aReader.getAccelerators();
  update.suspectFor = milliseconds(aReader.getSuspectForMs());
  process.role = ToEnum(aReader.getRole(), ProcessRole::eAgent, "role");
  update.memberState =
    ToEnum(aReader.getMemberState(), MemberState::eLeft, "memberState");
  process.draining = aReader.getDraining();
  process.peerAddress =
    ToBoundedString(aReader.getPeerAddress(), kMaxAddressBytes, "peerAddress");
  process.dataCentre =
    ToBoundedString(aReader.getDataCentre(), kMaxPlaceNameBytes, "dataCentre");
  process.rack = ToBoundedString(aReader.getRack(), kMaxPlaceNameBytes, "rack");
  if (process.peerAddress.empty()) {
    throw InvalidPacket{ { "peerAddress", "is empty" } };
  }
  return update;
}

struct BodyEncoder
{
  wire::MembershipPacket::Body::Builder builder;

  void operator()(const Ping& aPing)
  {
    auto ping = builder.initPing();
    ping.setSequence(aPing.sequence);
    ping.setWantMembers(aPing.wantMembers);
  }
  void operator()(const Ack& aAck)
  {
    auto ack = builder.initAck();
    ack.setSequence(aAck.sequence);
    ack.setResponderHigh(aAck.responder.high);
    ack.setResponderLow(aAck.responder.low);
  }
  void operator()(const PingRequest& aRequest)
  {
    auto request = builder.initPingRequest();
    request.setSequence(aRequest.sequence);
    request.setTargetHigh(aRequest.target.high);
    request.setTargetLow(aRequest.target.low);
    request.setTargetAddress(ToText(aRequest.targetAddress));
  }
  void operator()(const Gossip&) { builder.setGossip(); }
  void operator()(const MemberList&) { builder.setMemberList(); }
};

MembershipBody
DecodeBody(wire::MembershipPacket::Body::Reader aReader)
{
  switch (aReader.which()) {
    case wire::MembershipPacket::Body::PING:
      return Ping{ aReader.getPing().getSequence(),
                   aReader.getPing().getWantMembers() };
    case wire::MembershipPacket::Body::ACK: {
      auto ack = aReader.getAck();
      return Ack{ ack.getSequence(),
                  { ack.getResponderHigh(), ack.getResponderLow() } };
    }
    case wire::MembershipPacket::Body::PING_REQUEST: {
      auto request = aReader.getPingRequest();
      return PingRequest{ request.getSequence(),
                          { request.getTargetHigh(), request.getTargetLow() },
                          ToBoundedString(request.getTargetAddress(),
                                          kMaxAddressBytes,
                                          "targetAddress") };
    }
    case wire::MembershipPacket::Body::GOSSIP:
      return Gossip{};
    case wire::MembershipPacket::Body::MEMBER_LIST:
      return MemberList{};
  }
  throw InvalidPacket{ { "body", "packet kind is not known" } };
}

MembershipPacket
DecodePacket(wire::MembershipPacket::Reader aReader)
{
  MembershipPacket packet;
  packet.sender = Decode(aReader.getSender());
  packet.body = DecodeBody(aReader.getBody());
  packet.sentAt = ToWallTime(aReader.getSentAtMs());
  for (auto update : aReader.getUpdates()) {
    packet.updates.push_back(Decode(update));
  }
  return packet;
}

}

std::string
EncodeMembershipPacket(const MembershipPacket& aPacket)
{
  // A stack buffer for the largest packet avoids an allocation.
  std::array<::capnp::word, kMaxPacketBytes / kWordBytes> scratch{};
  ::capnp::MallocMessageBuilder builder(
    kj::arrayPtr(scratch.data(), scratch.size()));
  auto packet = builder.initRoot<wire::MembershipPacket>();
  Encode(aPacket.sender, packet.initSender());
  packet.setSentAtMs(
    std::chrono::duration_cast<milliseconds>(aPacket.sentAt.time_since_epoch())
      .count());
  std::visit(BodyEncoder{ packet.getBody() }, aPacket.body);
  auto updates =
    packet.initUpdates(static_cast<unsigned>(aPacket.updates.size()));
  for (unsigned i = 0; i < aPacket.updates.size(); ++i) {
    Encode(aPacket.updates[i], updates[i]);
  }
  kj::Array<::capnp::word> words = ::capnp::messageToFlatArray(builder);
  auto bytes = words.asChars();
  return std::string(bytes.begin(), bytes.size());
}

tl::expected<MembershipPacket, ProtocolError>
DecodeMembershipPacket(std::span<const std::byte> aBytes)
{
  if (aBytes.size() > kMaxPacketBytes) {
    return tl::unexpected(ProtocolError{ "", "packet is too large" });
  }
  if (aBytes.empty() || aBytes.size() % kWordBytes != 0) {
    return tl::unexpected(
      ProtocolError{ "", "packet size is not a multiple of 8 bytes" });
  }
  // The reader needs aligned words; network buffers are not aligned.
  std::array<::capnp::word, kMaxPacketBytes / kWordBytes> words;
  std::copy_n(
    aBytes.data(), aBytes.size(), reinterpret_cast<std::byte*>(words.data()));
  ::capnp::ReaderOptions options;
  options.traversalLimitInWords = kTraversalLimitWords;
  options.nestingLimit = kNestingLimit;
  // Cap'n Proto throws exceptions for malformed input; they are caught here.
  try {
    ::capnp::FlatArrayMessageReader reader(
      kj::arrayPtr(words.data(), aBytes.size() / kWordBytes), options);
    return DecodePacket(reader.getRoot<wire::MembershipPacket>());
  } catch (const InvalidPacket& invalid) {
    return tl::unexpected(invalid.error);
  } catch (const kj::Exception& exception) {
    return tl::unexpected(
      ProtocolError{ "", exception.getDescription().cStr() });
  }
}

}
