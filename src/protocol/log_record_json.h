#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "coordination/configuration/configuration_record.h"
#include "protocol/protocol_error.h"

namespace greengage::protocol {

/** Encodes the field `data` of a record of the platform's log. */
std::string
EncodeLogContent(const coordination::LogContent& aContent);

/**
 * Decodes the field `data` of a record of the platform's log. Errors contain
 * the path of the invalid field, for example `document.memory_mb`.
 */
tl::expected<coordination::LogContent, ProtocolError>
DecodeLogContent(std::string_view aData);

}
