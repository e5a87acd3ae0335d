#pragma once

#include "coordination/dispatch/job_dispatcher.h"
#include "coordination/dispatch/run_controller.h"
#include "transport/connection_guard.h"
#include "transport/metrics.h"

namespace greengage::daemon {

/** Metrics of an entry's dispatcher and of an agent's run decisions. */
class DispatchMetrics
{
public:
  explicit DispatchMetrics(transport::MetricsRegistry& aMetrics);

  void OnJobEnded(const coordination::JobRecord& aRecord);
  void OnRunEnded(const coordination::RunEnd& aEnd);
  void OnQueueLimitChanged(const coordination::QueueLimitRecord& aRecord);
  void OnRefused(const state::DispatchOutcome& aOutcome);
  void OnAdmissionDecided(const coordination::AdmissionRecord& aRecord);
  /** Counts a run decision of an agent by its name and reason. */
  void OnRunDecision(const coordination::RunDecision& aDecision);
  /** Counts a connection that was refused or closed; any thread. */
  /** @param aBytes memory that the process holds for its clients */
  void OnClientMemory(std::size_t aBytes);
  void OnConnectionLimited(transport::ConnectionLimit aLimit);
  /** Counts a crash of an agent's server. */
  void OnServerCrashed();
  void OnEvacuationChanged(const coordination::EvacuationChange& aChange);

private:
  transport::MetricsRegistry& metrics_;
};

}
