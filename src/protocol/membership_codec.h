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
 * An update takes the bytes that coordination::EncodedBytes() states.
 */
std::string
EncodeMembershipPacket(const coordination::MembershipPacket& aPacket);

/**
 * Decodes a packet. Malformed bytes, unknown kinds and values out of range
 * are errors; nothing is partly decoded.
 */
tl::expected<coordination::MembershipPacket, ProtocolError>
DecodeMembershipPacket(std::span<const std::byte> aBytes);

}
