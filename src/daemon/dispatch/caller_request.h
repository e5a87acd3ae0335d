#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "state/clock.h"
#include "state/dispatch/dispatch_job.h"

namespace greengage::daemon {

/** Decoded request of a caller. */
struct CallerRequest
{
  enum class Kind
  {
    eSubmit,
    eRead,
    eCancel,
  };

  Kind kind = Kind::eRead;
  std::string host;
  std::string path;
  /** Set only for eSubmit. */
  state::DispatchJob job;
  /** True if this version does not support the kind of job. */
  bool unsupported = false;
  /** Time that the caller waits for the answer; empty if it states none. */
  std::optional<std::chrono::milliseconds> callerTimeout;
  /** Time at which the request was read; set by DispatchEntryProcess. */
  state::MonotonicTime readAt{};
  std::size_t bodyBytes = 0;

  auto operator<=>(const CallerRequest&) const = default;
};

/** Returns the approximate memory of a decoded request. */
std::size_t
MemoryOf(const CallerRequest& aRequest);

}
