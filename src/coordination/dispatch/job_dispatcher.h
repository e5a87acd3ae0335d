#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "coordination/dispatch/dispatch_records.h"
#include "coordination/dispatch/dispatched_job.h"
#include "coordination/dispatch/order_outbox.h"
#include "coordination/dispatch/pause_detector.h"
#include "coordination/dispatch/report_pace.h"
#include "coordination/dispatch/run_monitor.h"
#include "coordination/dispatch/server_pool.h"
#include "coordination/dispatch/task_placer.h"
#include "state/clock.h"
#include "state/dispatch/dispatch_configuration.h"
#include "state/dispatch/dispatch_job.h"

namespace greengage::coordination {

struct JobDispatcherHooks
{
  std::function<void(SubmissionId, const state::DispatchOutcome&)> answer;
  std::function<void(const state::ProcessId& aAgent, DispatchOrders)> send;
  std::function<void(const PlacementRecord&)> placed;
  std::function<void(const JobRecord&)> ended;
  /** A run ended otherwise than done. */
  std::function<void(const state::ProcessId& aAgent, const RunEnd&)> runEnded;
  /** This process did not run for this long. */
  std::function<void(std::chrono::milliseconds)> paused;
};

/** What an entry is told about itself. */
struct JobDispatcherSettings
{
  std::string dataCentre;
  /** Factor on run times away from the rack of the data. */
  double farFactor = 1;
  /** Cores that this process may use; 0: not known. */
  double processorShare = 0;

  auto operator<=>(const JobDispatcherSettings&) const = default;
};

/**
 * Owns the jobs that one entry accepted, from the submission to the answer, in
 * memory only. Tasks wait here, where they can still be placed anywhere, until
 * a server has room. Used by the control thread only.
 */
class JobDispatcher
{
public:
  JobDispatcher(const JobDispatcherSettings& aSettings,
                const state::Clock& aClock,
                JobDispatcherHooks aHooks);

  /** Jobs keep the queue under which they were submitted. */
  void SetConfiguration(state::DispatchConfiguration aConfiguration);
  /** The data centre stays as it was. */
  void SetSettings(const JobDispatcherSettings& aSettings);
  const state::DispatchConfiguration& Configuration() const
  {
    return configuration_;
  }

  /**
   * Takes a job, or rejects it at once if it cannot be served in time.
   * @param aPatience how long the caller waits for the answer
   */
  void Submit(SubmissionId aSubmission,
              const state::WorkQueue& aQueue,
              state::DispatchJob aJob,
              std::chrono::milliseconds aPatience);
  /** The caller has gone; the job ends if nobody else waits for it. */
  void Abandon(SubmissionId aSubmission);
  /** False if the job is not known here. */
  bool Cancel(std::uint64_t aJob);
  bool IsKnown(std::uint64_t aJob) const { return jobs_.contains(aJob); }
  /** Jobs of a queue of which no task has started. */
  std::size_t PendingJobs(const std::string& aQueue) const;

  void OnAgent(const ProcessInfo& aAgent);
  void OnAgentGone(const state::ProcessId& aAgent);
  /** The connection was lost and messages with it. */
  void OnAgentDisconnected(const state::ProcessId& aAgent);
  void OnReport(const state::ProcessId& aAgent, const ServerReport& aReport);

  /** Call every 25 ms. */
  void Tick();

  std::size_t JobCount() const { return jobs_.size(); }
  /** Jobs with tasks that wait for room. */
  std::size_t WaitingCount() const { return waiting_.size(); }
  const ServerPool& Servers() const { return servers_; }

private:
  /** Reason to reject the new job at once; eNone if it is taken. */
  state::DispatchReason ReasonToReject(const DispatchedJob& aJob) const;
  std::chrono::milliseconds RetryAfter() const;

  /** Bounds what reports of agents cost this entry. */
  void SetReportPeriod();
  void Place();
  /** Puts the job among those that wait for room. */
  void Enqueue(DispatchedJob& aJob);
  void RecordPlacements(const state::ProcessId& aAgent,
                        const DispatchOrders& aOrders) const;

  void OnRunEnd(const state::ProcessId& aAgent, const RunEnd& aEnd);
  void OnForecast(const state::ProcessId& aAgent, const RunForecast& aForecast);
  void OnTaskDone(DispatchedJob& aJob,
                  DispatchedStep& aStep,
                  DispatchedTask& aTask,
                  const RunEnd& aEnd);
  void OnTaskFailed(DispatchedJob& aJob,
                    DispatchedTask& aTask,
                    const state::ProcessId& aAgent);
  void WaitAgain(DispatchedJob& aJob,
                 DispatchedStep& aStep,
                 DispatchedTask& aTask);
  /** False if a run of the job cannot end in time anywhere. */
  bool CheckRunning(DispatchedJob& aJob);
  void MoveRun(DispatchedJob& aJob, std::size_t aStep, std::uint32_t aIndex);
  void StopTask(const DispatchedJob& aJob,
                std::size_t aStep,
                std::uint32_t aIndex);
  void StopRuns(DispatchedJob& aJob);
  /** Answers all callers and forgets the job. */
  void End(std::uint64_t aJob, const state::DispatchOutcome& aOutcome);

  JobDispatcherSettings settings_;
  const state::Clock& clock_;
  JobDispatcherHooks hooks_;
  PauseDetector pauses_;
  state::DispatchConfiguration configuration_;
  ServerPool servers_;
  OrderOutbox orders_;
  TaskPlacer placer_;
  RunMonitor monitor_;
  std::map<std::uint64_t, std::unique_ptr<DispatchedJob>> jobs_;
  std::map<SubmissionId, std::uint64_t> submissions_;
  std::set<WaitingKey> waiting_;
  state::MonotonicTime createdAt_;
};

}
