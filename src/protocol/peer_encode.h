#pragma once

#include "coordination/messages.h"
#include "protocol/peer.capnp.h"

namespace greengage::protocol {

/** Writes one message into its place in a frame. */
void
EncodeMessage(const coordination::PeerMessage& aMessage,
              wire::Message::Builder aBuilder);

}
