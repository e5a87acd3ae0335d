#include "transport/http_path.h"

#include <charconv>

#include <fmt/format.h>

namespace greengage::transport {

namespace {

constexpr std::size_t kHexDigitsPerEscape = 2;
constexpr unsigned char kFirstPrintableCharacter = 0x20;
constexpr unsigned char kDeleteCharacter = 0x7f;

}

tl::expected<std::string, TransportError>
DecodePath(std::string_view aTarget)
{
  std::string_view path = aTarget.substr(0, aTarget.find('?'));
  std::string decoded;
  for (std::size_t i = 0; i < path.size(); ++i) {
    if (path[i] != '%') {
      decoded += path[i];
      continue;
    }
    std::string_view digits = path.substr(i + 1, kHexDigitsPerEscape);
    unsigned char byte = 0;
    auto end = digits.data() + digits.size();
    auto [parsed, error] = std::from_chars(digits.data(), end, byte, 16);
    bool valid = digits.size() == kHexDigitsPerEscape && error == std::errc() &&
                 parsed == end && byte >= kFirstPrintableCharacter &&
                 byte != kDeleteCharacter && byte != '/';
    if (!valid) {
      return tl::unexpected(TransportError{
        TransportErrorKind::eInvalidArgument,
        fmt::format("the path has an invalid percent-encoding at byte {}",
                    i) });
    }
    decoded += static_cast<char>(byte);
    i += kHexDigitsPerEscape;
  }
  return decoded;
}

}
