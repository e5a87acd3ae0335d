#pragma once

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

#include "coordination/messages.h"

namespace greengage::coordination {

/** Largest UDP packet, in bytes. */
inline constexpr std::size_t kMaxPacketBytes = 1200;

/** Longest name of a data centre or rack that fits into the packets. */
inline constexpr std::size_t kMaxPlaceNameBytes = 64;

/** The order is that of precedence at equal incarnations. */
enum class MemberState : std::uint8_t
{
  eAlive,
  /** Did not answer; dead unless it refutes in time. */
  eSuspect,
  eDead,
  /** Announced its end; this identity never returns. */
  eLeft,
};

/** What is said about one member. */
struct MemberUpdate
{
  ProcessInfo process;
  /** Version of the configuration that the member has in force. */
  std::uint64_t configurationVersion = 0;
  /** Raised by the member itself only; a higher one is newer. */
  std::uint64_t incarnation = 0;
  MemberState memberState = MemberState::eAlive;
  /** How long the member has been suspect. */
  std::chrono::milliseconds suspectFor{ 0 };

  auto operator<=>(const MemberUpdate&) const = default;
};

/** Asks the receiver for an Ack. */
struct Ping
{
  std::uint64_t sequence = 0;
  /** Asks for MemberList packets with all members as well. */
  bool wantMembers = false;
  auto operator<=>(const Ping&) const = default;
};

/** Answer to a Ping, or to a PingRequest on behalf of its target. */
struct Ack
{
  std::uint64_t sequence = 0;
  /** The process that answered the Ping. */
  state::ProcessId responder;
  auto operator<=>(const Ack&) const = default;
};

/** Asks the receiver to ping a process that the sender cannot reach. */
struct PingRequest
{
  std::uint64_t sequence = 0;
  state::ProcessId target;
  std::string targetAddress;
  auto operator<=>(const PingRequest&) const = default;
};

/** Carries urgent updates between two periods; it is not answered. */
struct Gossip
{
  auto operator<=>(const Gossip&) const = default;
};

/** A part of all members that the sender knows; not news to be spread. */
struct MemberList
{
  auto operator<=>(const MemberList&) const = default;
};

using MembershipBody = std::variant<Ping, Ack, PingRequest, Gossip, MemberList>;

/** One UDP packet of at most kMaxPacketBytes when encoded. */
struct MembershipPacket
{
  /** The sender's newest word about itself. */
  MemberUpdate sender;
  MembershipBody body;
  std::vector<MemberUpdate> updates;
  /** Sender's wall clock, in whole milliseconds. */
  state::WallTime sentAt;

  auto operator<=>(const MembershipPacket&) const = default;
};

/** An update's share of an encoded packet, in bytes. */
inline std::size_t
EncodedBytes(const MemberUpdate& aUpdate)
{
  // Numbers and text pointers of the wire format; texts end with a zero and
  // are padded to words.
  constexpr std::size_t kFixed = 80;
  constexpr std::size_t kWord = 8;
  auto text = [](const std::string& aText) {
    return (aText.size() / kWord + 1) * kWord;
  };
  const ProcessInfo& process = aUpdate.process;
  return kFixed + text(process.peerAddress) + text(process.dataCentre) +
         text(process.rack);
}

/** Room for updates in a packet, in bytes. */
inline std::size_t
PacketRoom(const MembershipPacket& aPacket)
{
  // Frame, pointers and the largest body, a PingRequest over IPv6.
  constexpr std::size_t kOverhead = 168;
  return kMaxPacketBytes - kOverhead - EncodedBytes(aPacket.sender);
}

}
