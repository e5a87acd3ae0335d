#pragma once

#include <array>

#include "coordination/messages.h"
#include "transport/metrics.h"

namespace greengage::daemon {

/**
 * Figures of an agent: tasks started, ended and refused by reason. Used by the
 * control thread.
 */
class AgentMetrics
{
public:
  explicit AgentMetrics(transport::MetricsRegistry& aMetrics);

  /** The backend server is called with a task. */
  void OnStarted() { started_.Add(); }

  /** Counts the records that go to the owner. */
  void OnSent(const coordination::PeerMessage& aMessage);

private:
  static constexpr std::size_t kCodes =
    static_cast<std::size_t>(state::RefusalCode::eLast) + 1;

  transport::Counter& started_;
  std::array<transport::Counter*, kCodes> ended_{};
  std::array<transport::Counter*, kCodes> refused_{};
};

}
