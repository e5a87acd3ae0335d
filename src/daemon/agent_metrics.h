#pragma once

#include <array>

#include "coordination/messages.h"
#include "transport/metrics.h"

namespace greengage::daemon {

/**
 * Metrics of an agent: tasks that were started, that ended and that were
 * refused, by reason. Used only on the control thread.
 */
class AgentMetrics
{
public:
  explicit AgentMetrics(transport::MetricsRegistry& aMetrics);

  /** Counts a task that is sent to the backend server. */
  void OnStarted() { startedTasks_.Add(); }

  /** Counts the task records in a message to an owner. */
  void OnSent(const coordination::PeerMessage& aMessage);

private:
  static constexpr std::size_t kCodeCount =
    static_cast<std::size_t>(state::RefusalCode::eLast) + 1;

  transport::Counter& startedTasks_;
  std::array<transport::Counter*, kCodeCount> endedByCode_{};
  std::array<transport::Counter*, kCodeCount> refusedByCode_{};
};

}
