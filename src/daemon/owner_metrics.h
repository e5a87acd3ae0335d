#pragma once

#include <array>

#include "coordination/execution/owner_counters.h"
#include "coordination/messages.h"
#include "coordination/scheduling/worker_health.h"
#include "transport/metrics.h"

namespace greengage::daemon {

/**
 * Metrics of an owner about the tasks sent to agents: results, and reasons why
 * tasks have to be placed again. Used only on the control thread.
 */
class OwnerMetrics
{
public:
  explicit OwnerMetrics(transport::MetricsRegistry& aMetrics);

  void OnTaskResults(const coordination::TaskResults& aResults);

  /** Sets the counters to the totals of all shards of this process. */
  void SetTotals(const coordination::OwnerCounters& aOwner,
                 const coordination::HealthCounters& aHealth);

private:
  void SetTotal(std::string_view aEvent, std::uint64_t aTotal);

  transport::MetricsRegistry& metrics_;
  static constexpr std::size_t kCodeCount =
    static_cast<std::size_t>(state::RefusalCode::eLast) + 1;

  std::array<transport::Counter*, kCodeCount> resultsByCode_{};
  std::array<transport::Counter*, kCodeCount> notStartedByCode_{};
};

}
