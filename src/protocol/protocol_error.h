#pragma once

#include <string>

namespace greengage::protocol {

/** Describes why an input could not be decoded. */
struct ProtocolError
{
  /** Path of the field, for example `tasks[3]`; empty for the whole input. */
  std::string field;
  std::string message;

  bool operator==(const ProtocolError&) const = default;
};

}
