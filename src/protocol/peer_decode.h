#pragma once

#include <optional>

#include <tl/expected.hpp>

#include "coordination/messages.h"
#include "protocol/peer.capnp.h"
#include "protocol/protocol_error.h"

namespace greengage::protocol {

/**
 * Decodes one message; throws kj::Exception if its bytes are malformed. Returns
 * empty for a kind of message that only a later version knows.
 */
tl::expected<std::optional<coordination::PeerMessage>, ProtocolError>
DecodeMessage(wire::Message::Reader aReader);

}
