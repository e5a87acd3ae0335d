#pragma once

#include <string>

namespace greengage::state {

/** Why a value could not be built. */
struct StateError
{
  /** Path of the field, for example `tasks[3].payload`. */
  std::string field;
  /** What is wrong with it and what is allowed. */
  std::string message;

  bool operator==(const StateError&) const = default;
};

}
