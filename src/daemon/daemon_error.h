#pragma once

#include <string>

namespace greengage::daemon {

/** Why a process could not start. */
struct DaemonError
{
  std::string message;

  bool operator==(const DaemonError&) const = default;
};

}
