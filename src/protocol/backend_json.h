#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "coordination/messages.h"
#include "protocol/protocol_error.h"

namespace greengage::protocol {

/** Response body of a backend server to `GET /capacity`. */
struct BackendCapacityBody
{
  std::uint32_t slots = 0;
  std::uint32_t memoryMb = 0;
  std::uint32_t accelerators = 0;

  auto operator<=>(const BackendCapacityBody&) const = default;
};

/** Encodes the body of `POST /run` to a backend server. */
std::string
EncodeBackendTask(const coordination::TaskStart& aTask);

/** Decodes the response to `POST /run`: the JSON text of its `result`. */
tl::expected<std::string, ProtocolError>
DecodeBackendResult(std::string_view aBody);

tl::expected<BackendCapacityBody, ProtocolError>
DecodeBackendCapacity(std::string_view aBody);

}
