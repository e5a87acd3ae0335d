#pragma once

#include <chrono>
#include <map>
#include <string>

#include "coordination/admission/admission_forecast.h"
#include "coordination/admission/recent_work.h"
#include "coordination/admission/waiting_history.h"
#include "coordination/dispatch/dispatched_job.h"
#include "coordination/dispatch/server_pool.h"
#include "coordination/dispatch/task_placer.h"
#include "state/clock.h"

namespace greengage::coordination {

enum class AdmissionDecision : std::uint8_t
{
  /** A new job waits; it is expected to start in time. */
  eAccepted,
  /** A new job is expected to start too late. */
  eRejected,
  /** A job that was accepted is expected to start too late by now. */
  eWithdrawn,
};

/** Returns the name for log lines and metrics. */
const char*
ToString(AdmissionDecision aDecision);

/** A decision about a job that waits for capacity, and its inputs. */
struct AdmissionRecord
{
  state::DispatchJobId job;
  std::string queue;
  AdmissionDecision decision = AdmissionDecision::eAccepted;
  AdmissionInputs inputs;
  double forecastMs = 0;
  /** Of rejected jobs. */
  std::chrono::milliseconds retryAfter{ 0 };

  auto operator<=>(const AdmissionRecord&) const = default;
};

/**
 * The work ahead of each job while the waiting jobs of an entry are passed in
 * their order. Jobs compete if they use the same servers.
 */
class WorkAhead
{
public:
  explicit WorkAhead(const ServerPool& aServers);

  /** Returns the waiting work of the jobs added so far that compete with it. */
  double Of(const DispatchedJob& aJob) const;
  void Add(const DispatchedJob& aJob);

private:
  std::string GroupOf(const DispatchedJob& aJob) const;

  const ServerPool& servers_;
  std::map<std::string, double> work_;
};

/**
 * Decides whether a job of this entry that waits for capacity can be expected
 * to start in time. A job that could start now is never rejected. Used by the
 * control thread only.
 */
class AdmissionControl
{
public:
  AdmissionControl(const ServerPool& aServers,
                   const TaskPlacer& aPlacer,
                   const AdmissionSettings& aSettings,
                   const state::Clock& aClock);

  void SetSettings(const AdmissionSettings& aSettings)
  {
    settings_ = aSettings;
  }
  bool IsOn() const { return settings_.rule != AdmissionRule::eOff; }

  /** Decides about a job that has just arrived and has not started. */
  AdmissionRecord DecideNew(DispatchedJob& aJob, double aWorkAhead);
  /** Decides about a job that was accepted and has not started. */
  AdmissionRecord DecideWaiting(const DispatchedJob& aJob, double aWorkAhead);
  /** Adds a job that was accepted to the arrivals of the last second. */
  void OnAccepted(const DispatchedJob& aJob);
  /** Adds a job that was rejected, whose caller will submit it again. */
  void OnRejected(const DispatchedJob& aJob);
  /** Learns from the waiting time of a job that starts or is rejected. */
  void OnWaitEnded(const DispatchedJob& aJob, double aMoreMs = 0);
  std::chrono::milliseconds RetryAfter(const DispatchedJob& aJob,
                                       double aExcessMs = 0) const;

private:
  AdmissionInputs InputsFor(const DispatchedJob& aJob, double aWorkAhead) const;
  AdmissionRecord Decide(const DispatchedJob& aJob,
                         const AdmissionInputs& aInputs,
                         AdmissionDecision aRejection) const;
  double CapacityFor(const DispatchedJob& aJob) const;
  /** Returns true if a task of the job could start now. */
  bool HasPlace(const DispatchedJob& aJob) const;
  double WaitedMs(const DispatchedJob& aJob) const;

  const ServerPool& servers_;
  const TaskPlacer& placer_;
  AdmissionSettings settings_;
  const state::Clock& clock_;
  RecentWork accepted_;
  RecentWork rejected_;
  WaitingHistory history_;
};

/** Returns the work of the tasks of a job that wait. */
double
WaitingWork(const DispatchedJob& aJob);

}
