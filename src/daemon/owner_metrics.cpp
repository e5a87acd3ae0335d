#include "daemon/owner_metrics.h"

namespace greengage::daemon {

using transport::MetricLabel;

OwnerMetrics::OwnerMetrics(transport::MetricsRegistry& aMetrics)
  : metrics_(aMetrics)
{
  for (std::size_t i = 0; i < kCodeCount; ++i) {
    auto code = ToString(static_cast<state::RefusalCode>(i));
    resultsByCode_[i] = &aMetrics.FindCounter(
      { "greengage_owner_results_total", MetricLabel("code", code) },
      "Ended tasks that were reported to this owner, by code; none means "
      "success");
    notStartedByCode_[i] = &aMetrics.FindCounter(
      { "greengage_owner_retries_total", MetricLabel("code", code) },
      "Tasks that an agent reported as not started, by reason; they are "
      "placed again if their job allows it");
  }
}

void
OwnerMetrics::SetTotals(const coordination::OwnerCounters& aOwner,
                        const coordination::HealthCounters& aHealth)
{
  SetTotal("start", aOwner.starts);
  SetTotal("duplicate_start", aOwner.duplicateStarts);
  SetTotal("late_result", aOwner.lateResults);
  SetTotal("late_history_reply", aOwner.lateHistoryReplies);
  SetTotal("retry_after_failure", aOwner.retriesAfterFailure);
  SetTotal("retry_after_agent_loss", aOwner.retriesAfterAgentLoss);
  SetTotal("retry_over_budget", aOwner.retriesOverBudget);
  SetTotal("hedge", aOwner.hedges);
  SetTotal("move", aOwner.moves);
  SetTotal("history_query", aOwner.recoveries);
  SetTotal("dropped_job", aOwner.droppedJobs);
  SetTotal("ejection", aHealth.ejections);
  SetTotal("ejection_over_cap", aHealth.ejectionsOverCap);
  SetTotal("reinstatement", aHealth.reinstatements);
}

void
OwnerMetrics::SetTotal(std::string_view aEvent, std::uint64_t aTotal)
{
  transport::Counter& counter = metrics_.FindCounter(
    { "greengage_owner_events_total", MetricLabel("event", aEvent) },
    "Decisions of this owner, by kind");
  if (aTotal > counter.Value()) {
    counter.Add(aTotal - counter.Value());
  }
}

void
OwnerMetrics::OnTaskResults(const coordination::TaskResults& aResults)
{
  for (const state::TaskRecord& record : aResults.records) {
    bool wasStarted = record.taskState != state::TaskState::eNotStarted;
    auto& counters = wasStarted ? resultsByCode_ : notStartedByCode_;
    counters[static_cast<std::size_t>(record.code)]->Add();
  }
}

}
