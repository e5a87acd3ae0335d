#pragma once

#include <chrono>
#include <string>

#include "state/refusal_code.h"

namespace greengage::coordination {

/** A decision not to do what was asked; nothing was started. */
struct CoordinationError
{
  state::RefusalCode code = state::RefusalCode::eInternalError;
  std::string message;
  /** When another attempt makes sense; zero if it does not. */
  std::chrono::milliseconds retryAfter{ 0 };

  bool operator==(const CoordinationError&) const = default;
};

}
