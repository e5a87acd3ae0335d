#include "state/names.h"

#include <algorithm>

namespace greengage::state {

namespace {

bool
IsNameCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-' ||
         aCharacter == '_' || aCharacter == '.';
}

}

bool
IsValidName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kMaxNameLength &&
         std::all_of(aName.begin(), aName.end(), IsNameCharacter);
}

}
