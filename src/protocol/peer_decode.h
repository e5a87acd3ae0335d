#pragma once

#include <tl/expected.hpp>

#include "coordination/messages.h"
#include "protocol/peer.capnp.h"
#include "protocol/protocol_error.h"

namespace greengage::protocol {

/** Reads one message of a frame; throws kj::Exception on malformed bytes. */
tl::expected<coordination::PeerMessage, ProtocolError>
DecodeMessage(wire::Message::Reader aReader);

}
