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

/** At equal incarnations the later state takes precedence. */
enum class MemberState : std::uint8_t
{
  eAlive,
  /** Did not answer probes; becomes dead unless it refutes in time. */
  eSuspect,
  eDead,
  /** Announced its end; the identity is never used again. */
  eLeft,
};

/** State of one member as sent in packets. */
struct MemberUpdate
{
  ProcessInfo process;
  /** Version of the configuration that the member has in force. */
  std::uint64_t configurationVersion = 0;
  /** Increased only by the member itself; a higher value is newer. */
  std::uint64_t incarnation = 0;
  MemberState memberState = MemberState::eAlive;
  /** Time for which the member has been suspect. */
  std::chrono::milliseconds suspectFor{ 0 };

  auto operator<=>(const MemberUpdate&) const = default;
};

/** Requests an Ack from the receiver. */
struct Ping
{
  std::uint64_t sequence = 0;
  /** Also requests MemberList packets with all members. */
  bool wantMembers = false;
  auto operator<=>(const Ping&) const = default;
};

/** Response to a Ping, or to a PingRequest on behalf of its target. */
struct Ack
{
  std::uint64_t sequence = 0;
  /** The process that answered the Ping. */
  state::ProcessId responder;
  auto operator<=>(const Ack&) const = default;
};

/** Requests a ping of a process from which the sender received no Ack. */
struct PingRequest
{
  std::uint64_t sequence = 0;
  state::ProcessId target;
  std::string targetAddress;
  auto operator<=>(const PingRequest&) const = default;
};

/** Carries urgent updates between two periods; requires no response. */
struct Gossip
{
  auto operator<=>(const Gossip&) const = default;
};

/** Carries a part of all known members, which the receiver does not spread. */
struct MemberList
{
  auto operator<=>(const MemberList&) const = default;
};

using MembershipBody = std::variant<Ping, Ack, PingRequest, Gossip, MemberList>;

/** One UDP packet of at most kMaxPacketBytes when encoded. */
struct MembershipPacket
{
  /** State of the sender itself. */
  MemberUpdate sender;
  MembershipBody body;
  std::vector<MemberUpdate> updates;
  /** Sender's wall clock, in whole milliseconds. */
  state::WallTime sentAt;

  auto operator<=>(const MembershipPacket&) const = default;
};

/** Number of bytes that an update adds to an encoded packet. */
inline std::size_t
EncodedBytes(const MemberUpdate& aUpdate)
{
  // Size of the numbers and text pointers in the wire format. Texts end with a
  // zero byte and are padded to whole words.
  constexpr std::size_t kFixed = 80;
  constexpr std::size_t kWord = 8;
  auto text = [](const std::string& aText) {
    return (aText.size() / kWord + 1) * kWord;
  };
  const ProcessInfo& process = aUpdate.process;
  return kFixed + text(process.peerAddress) + text(process.dataCentre) +
         text(process.rack);
}

/** Free capacity for updates in a packet, in bytes. */
inline std::size_t
PacketFreeCapacity(const MembershipPacket& aPacket)
{
  // Size of the frame, the pointers and the largest body, a PingRequest with an
  // IPv6 address.
  constexpr std::size_t kOverhead = 168;
  return kMaxPacketBytes - kOverhead - EncodedBytes(aPacket.sender);
}

}
