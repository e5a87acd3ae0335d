#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "transport/transport_error.h"

namespace greengage::transport {

/**
 * Returns the percent-decoded path of a request target, without the query.
 * Malformed encodings, encoded slashes and encoded control characters are
 * errors of the kind eInvalidArgument, because decoding them could change the
 * resource that the path identifies.
 */
tl::expected<std::string, TransportError>
DecodePath(std::string_view aTarget);

}
