#pragma once

#include <string>

namespace greengage::state {

/** Describes why a value could not be built or parsed. */
struct StateError
{
  /** Path of the field, for example `tasks[3].payload`. */
  std::string field;
  /** What is wrong with the field and which values are allowed. */
  std::string message;

  bool operator==(const StateError&) const = default;
};

}
