#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "coordination/configuration/configuration_record.h"
#include "protocol/protocol_error.h"

namespace greengage::protocol {

/** Decoded body of `POST /append`. */
struct AppendRequest
{
  std::uint64_t expectedOffset = 0;
  std::string data;

  auto operator<=>(const AppendRequest&) const = default;
};

std::string
EncodeAppend(std::uint64_t aExpectedOffset, std::string_view aData);

tl::expected<AppendRequest, ProtocolError>
DecodeAppend(std::string_view aBody);

/** Encodes the body of the response to `GET /records`. */
std::string
EncodeLogPage(const coordination::LogPage& aPage);

tl::expected<coordination::LogPage, ProtocolError>
DecodeLogPage(std::string_view aBody);

}
