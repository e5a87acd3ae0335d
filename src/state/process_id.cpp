#include "state/process_id.h"

#include <charconv>

#include <fmt/format.h>

namespace greengage::state {

namespace {

constexpr std::size_t kHexDigitsPerWord = 16;

bool
ParseHexWord(std::string_view aText, std::uint64_t& aWord)
{
  const char* end = aText.data() + aText.size();
  auto [next, error] = std::from_chars(aText.data(), end, aWord, 16);
  return error == std::errc() && next == end;
}

}

std::string
ProcessId::ToString() const
{
  return fmt::format("{:016x}{:016x}", high, low);
}

std::optional<ProcessId>
ProcessId::Parse(std::string_view aText)
{
  if (aText.size() != 2 * kHexDigitsPerWord) {
    return std::nullopt;
  }
  ProcessId id;
  if (!ParseHexWord(aText.substr(0, kHexDigitsPerWord), id.high) ||
      !ParseHexWord(aText.substr(kHexDigitsPerWord), id.low)) {
    return std::nullopt;
  }
  return id;
}

}
