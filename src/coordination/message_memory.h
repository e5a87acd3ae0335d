#pragma once

#include <cstddef>

#include "coordination/messages.h"

namespace greengage::coordination {

/**
 * Returns the approximate memory of a message that waits to be sent: the
 * message and the texts and lists that grow with its content.
 */
std::size_t
MemoryOf(const PeerMessage& aMessage);

}
