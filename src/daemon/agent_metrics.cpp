#include "daemon/agent_metrics.h"

namespace greengage::daemon {

using coordination::TaskResults;
using state::TaskState;
using transport::MetricLabel;

AgentMetrics::AgentMetrics(transport::MetricsRegistry& aMetrics)
  : startedTasks_(aMetrics.FindCounter({ "greengage_tasks_started_total", "" },
                                       "Tasks sent to the backend server"))
{
  for (std::size_t i = 0; i < kCodeCount; ++i) {
    auto code = ToString(static_cast<state::RefusalCode>(i));
    endedByCode_[i] = &aMetrics.FindCounter(
      { "greengage_tasks_ended_total", MetricLabel("code", code) },
      "Tasks that ended, by code; none means success");
    refusedByCode_[i] = &aMetrics.FindCounter(
      { "greengage_starts_refused_total", MetricLabel("code", code) },
      "Tasks that were refused and never started, by reason");
  }
}

void
AgentMetrics::OnSent(const coordination::PeerMessage& aMessage)
{
  const auto* results = std::get_if<TaskResults>(&aMessage);
  if (!results) {
    return;
  }
  for (const state::TaskRecord& record : results->records) {
    auto& counters = record.taskState == TaskState::eNotStarted ? refusedByCode_
                                                                : endedByCode_;
    counters[static_cast<std::size_t>(record.code)]->Add();
  }
}

}
