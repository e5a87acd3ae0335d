#pragma once

#include <chrono>
#include <string>

#include "state/refusal_code.h"

namespace greengage::coordination {

/** Reason why a request was refused. Nothing was started for it. */
struct CoordinationError
{
  state::RefusalCode code = state::RefusalCode::eInternalError;
  std::string message;
  /** Delay before the caller may retry; zero if a retry cannot succeed. */
  std::chrono::milliseconds retryAfter{ 0 };

  bool operator==(const CoordinationError&) const = default;
};

}
