#pragma once

#include <string>

namespace greengage::daemon {

/** Reason why a process could not start. */
struct DaemonError
{
  std::string message;

  bool operator==(const DaemonError&) const = default;
};

}
