#include "daemon/dispatch/dispatch_metrics.h"

#include <fmt/format.h>

namespace greengage::daemon {

using transport::MetricLabel;

DispatchMetrics::DispatchMetrics(transport::MetricsRegistry& aMetrics)
  : metrics_(aMetrics)
{
}

void
DispatchMetrics::OnJobEnded(const coordination::JobRecord& aRecord)
{
  OnRefused(aRecord.outcome);
  if (aRecord.outcome.result != state::DispatchResult::eCompleted) {
    return;
  }
  std::string queue = MetricLabel("queue", aRecord.queue);
  metrics_
    .FindLatency({ "greengage_job_seconds", queue },
                 "Time from submission to answer of completed jobs")
    .Record(aRecord.total);
  metrics_
    .FindLatency({ "greengage_job_wait_seconds", queue },
                 "Time from submission to first run of completed jobs")
    .Record(aRecord.waited);
}

void
DispatchMetrics::OnRefused(const state::DispatchOutcome& aOutcome)
{
  metrics_
    .FindCounter(
      { "greengage_jobs_ended_total",
        fmt::format("{},{}",
                    MetricLabel("result", ToString(aOutcome.result)),
                    MetricLabel("reason", ToString(aOutcome.reason))) },
      "Jobs by result and reason")
    .Add();
}

void
DispatchMetrics::OnRunEnded(const coordination::RunEnd& aEnd)
{
  metrics_
    .FindCounter(
      { "greengage_runs_not_done_total",
        MetricLabel("kind", coordination::ToString(aEnd.kind)) },
      "Runs that ended without being done, by kind; each is retried or fails")
    .Add();
}

void
DispatchMetrics::OnQueueLimitChanged(
  const coordination::QueueLimitRecord& aRecord)
{
  metrics_
    .FindGauge({ "greengage_queue_limits_active", "" },
               "Queues limited to a share of the servers, which their jobs "
               "crash")
    .Set(static_cast<double>(aRecord.limitedQueues));
}

void
DispatchMetrics::OnAdmissionDecided(
  const coordination::AdmissionRecord& aRecord)
{
  metrics_
    .FindCounter({ "greengage_admission_decisions_total",
                   MetricLabel("decision", ToString(aRecord.decision)) },
                 "Forecasts for jobs that had to wait, by decision")
    .Add();
}

void
DispatchMetrics::OnRunDecision(const coordination::RunDecision& aDecision)
{
  metrics_
    .FindCounter(
      { "greengage_run_decisions_total",
        fmt::format("{},{}",
                    MetricLabel("decision", aDecision.decision),
                    MetricLabel("reason", aDecision.reason)) },
      "Runs started, refused, stopped or lost, by decision and reason")
    .Add();
}

void
DispatchMetrics::OnClientMemory(std::size_t aBytes)
{
  metrics_
    .FindGauge({ "greengage_client_memory_bytes", "" },
               "Memory held for clients: buffers of connections, requests that "
               "wait, and jobs")
    .Set(static_cast<double>(aBytes));
}

void
DispatchMetrics::OnConnectionLimited(transport::ConnectionLimit aLimit)
{
  metrics_
    .FindCounter(
      { "greengage_connections_limited_total",
        MetricLabel("reason", transport::ToString(aLimit)) },
      "Connections that were refused or closed at a limit, by reason")
    .Add();
}

void
DispatchMetrics::OnServerCrashed()
{
  metrics_
    .FindCounter({ "greengage_server_crashes_total", "" },
                 "Crashes of the backend server while it had runs")
    .Add();
}

void
DispatchMetrics::OnEvacuationChanged(
  const coordination::EvacuationChange& aChange)
{
  metrics_
    .FindGauge({ "greengage_evacuated_data_centres", "" },
               "Data centres in which no task is started, at the request of "
               "the operator")
    .Set(static_cast<double>(aChange.after.dataCentres.size()));
}

}
