#pragma once

#include <cstdint>
#include <string_view>

namespace greengage::coordination {

/**
 * Returns a hash of two texts for rendezvous hashing. It is equal on all hosts,
 * unlike std::hash.
 */
std::uint64_t
RendezvousHash(std::string_view aFirst, std::string_view aSecond);

}
