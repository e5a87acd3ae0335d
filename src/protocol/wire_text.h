#pragma once

#include <string>

#include <capnp/blob.h>

namespace greengage::protocol {

/** Returns a reader of all bytes of the text, which must outlive it. */
inline ::capnp::Text::Reader
ToText(const std::string& aText)
{
  return { aText.c_str(), aText.size() };
}

/**
 * Returns all bytes of the text. The implicit conversion of a Cap'n Proto text
 * ends at its first U+0000, which texts of callers and servers may contain.
 */
inline std::string
ToString(::capnp::Text::Reader aText)
{
  return { aText.begin(), aText.size() };
}

}
