#include "daemon/owner_metrics.h"

namespace greengage::daemon {

using transport::MetricLabel;

OwnerMetrics::OwnerMetrics(transport::MetricsRegistry& aMetrics)
{
  for (std::size_t i = 0; i < kCodes; ++i) {
    auto code = ToString(static_cast<state::RefusalCode>(i));
    results_[i] = &aMetrics.FindCounter(
      { "greengage_owner_results_total", MetricLabel("code", code) },
      "Ends of tasks reported to this owner; none is a success");
    retries_[i] = &aMetrics.FindCounter(
      { "greengage_owner_retries_total", MetricLabel("code", code) },
      "Tasks that an agent certainly did not start, by reason; they are "
      "placed again if their job allows it");
  }
}

void
OwnerMetrics::OnTaskResults(const coordination::TaskResults& aResults)
{
  for (const state::TaskRecord& record : aResults.records) {
    bool started = record.taskState != state::TaskState::eNotStarted;
    auto& counters = started ? results_ : retries_;
    counters[static_cast<std::size_t>(record.code)]->Add();
  }
}

}
