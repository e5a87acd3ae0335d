#pragma once

#include <array>

#include "coordination/messages.h"
#include "transport/metrics.h"

namespace greengage::daemon {

/**
 * Figures of an owner about the tasks it sent to agents: how they ended, and
 * why some have to be placed again. Used by the control thread.
 */
class OwnerMetrics
{
public:
  explicit OwnerMetrics(transport::MetricsRegistry& aMetrics);

  void OnTaskResults(const coordination::TaskResults& aResults);

private:
  static constexpr std::size_t kCodes =
    static_cast<std::size_t>(state::RefusalCode::eLast) + 1;

  std::array<transport::Counter*, kCodes> results_{};
  std::array<transport::Counter*, kCodes> retries_{};
};

}
