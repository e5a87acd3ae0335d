#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "coordination/messages.h"
#include "protocol/protocol_error.h"

namespace greengage::protocol {

/** Largest body of a frame between two processes, in bytes. */
inline constexpr std::size_t kMaxFrameBytes = 16 * 1024 * 1024;

/**
 * Encodes a batch of messages as the body of one frame (a Cap'n Proto message
 * of the schema peer.capnp).
 */
std::string
EncodeFrame(const std::vector<coordination::PeerMessage>& aMessages);

/**
 * Decodes the body of a frame. Returns an error for malformed bytes, unknown
 * message kinds and values out of range; a frame is never decoded partially.
 */
tl::expected<std::vector<coordination::PeerMessage>, ProtocolError>
DecodeFrame(std::span<const std::byte> aBody);

}
