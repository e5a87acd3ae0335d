#pragma once

#include <cstddef>
#include <span>
#include <string>

#include <tl/expected.hpp>

#include "coordination/membership/membership_messages.h"
#include "protocol/protocol_error.h"

namespace greengage::protocol {

/**
 * Encodes a packet as a Cap'n Proto message of the schema membership.capnp.
 * coordination::EncodedBytes() returns the encoded size of an update.
 */
std::string
EncodeMembershipPacket(const coordination::MembershipPacket& aPacket);

/**
 * Decodes a packet. Returns an error for malformed bytes, unknown kinds and
 * values out of range; a packet is never decoded partially.
 */
tl::expected<coordination::MembershipPacket, ProtocolError>
DecodeMembershipPacket(std::span<const std::byte> aBytes);

}
