#include "coordination/subset/rendezvous_hash.h"

namespace greengage::coordination {

std::uint64_t
RendezvousHash(std::string_view aFirst, std::string_view aSecond)
{
  // FNV-1a with a final mix.
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  auto add = [&hash](std::string_view aText) {
    for (char character : aText) {
      hash ^= static_cast<unsigned char>(character);
      hash *= 0x100000001b3ULL;
    }
  };
  add(aFirst);
  add(std::string_view("\0", 1));
  add(aSecond);
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  return hash;
}

}
