#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "transport/transport_error.h"

namespace greengage::transport {

/**
 * Path of a request target without the query, percent-decoded. Malformed
 * encodings, encoded slashes and control characters are errors of the kind
 * eInvalidArgument, because they would change which resource is named.
 */
tl::expected<std::string, TransportError>
DecodePath(std::string_view aTarget);

}
