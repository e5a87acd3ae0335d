#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "coordination/configuration/configuration_record.h"
#include "protocol/protocol_error.h"

namespace greengage::protocol {

/** The `data` of one record of the platform's log. */
std::string
EncodeLogContent(const coordination::LogContent& aContent);

/** Errors name the field's path, for example `document.memory_mb`. */
tl::expected<coordination::LogContent, ProtocolError>
DecodeLogContent(std::string_view aData);

}
