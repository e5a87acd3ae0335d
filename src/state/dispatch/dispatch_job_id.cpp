#include "state/dispatch/dispatch_job_id.h"

#include <cctype>
#include <charconv>

#include <fmt/format.h>

namespace greengage::state {

namespace {

constexpr std::size_t kDigits = 16;

}

std::optional<DispatchJobId>
DispatchJobId::Parse(std::string_view aText)
{
  if (aText.size() != kDigits) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* last = aText.data() + aText.size();
  auto [end, error] = std::from_chars(aText.data(), last, number, 16);
  if (error != std::errc() || end != last) {
    return std::nullopt;
  }
  unsigned upperCase = 0;
  for (char digit : aText) {
    bool isUpper = std::isupper(static_cast<unsigned char>(digit)) != 0;
    upperCase = upperCase << 1 | (isUpper ? 1 : 0);
  }
  return DispatchJobId(number, static_cast<std::uint16_t>(upperCase));
}

std::string
DispatchJobId::ToString() const
{
  std::string text = fmt::format("{:016x}", number_);
  for (std::size_t i = 0; upperCase_ != 0 && i < kDigits; ++i) {
    if ((upperCase_ >> (kDigits - 1 - i) & 1) != 0) {
      text[i] =
        static_cast<char>(std::toupper(static_cast<unsigned char>(text[i])));
    }
  }
  return text;
}

}
