#pragma once

#include "coordination/messages.h"
#include "protocol/peer.capnp.h"

namespace greengage::protocol {

/** Encodes one message into its element of a frame. */
void
EncodeMessage(const coordination::PeerMessage& aMessage,
              wire::Message::Builder aBuilder);

}
