#pragma once

#include <string_view>

namespace greengage::state {

inline constexpr std::size_t kMaxNameLength = 64;
/** Error message for an invalid name. */
inline constexpr const char* kNameRule =
  "must be 1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.'";

/** Returns true for a valid name of an organisation, template or data centre.
 */
bool
IsValidName(std::string_view aName);

}
