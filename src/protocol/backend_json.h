#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "coordination/messages.h"
#include "protocol/protocol_error.h"

namespace greengage::protocol {

/** Body of `GET /capacity` of a backend server. */
struct BackendCapacityBody
{
  std::uint32_t slots = 0;
  std::uint32_t memoryMb = 0;
  std::uint32_t accelerators = 0;

  auto operator<=>(const BackendCapacityBody&) const = default;
};

/** Body of `POST /run` towards a backend server. */
std::string
EncodeBackendTask(const coordination::TaskStart& aTask);

/** Returns the JSON text of the field `result`. */
tl::expected<std::string, ProtocolError>
DecodeBackendResult(std::string_view aBody);

tl::expected<BackendCapacityBody, ProtocolError>
DecodeBackendCapacity(std::string_view aBody);

}
