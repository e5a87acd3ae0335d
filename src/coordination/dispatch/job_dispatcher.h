#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "coordination/admission/admission_control.h"
#include "coordination/cancellation/cancelled_jobs.h"
#include "coordination/dispatch/crash_history.h"
#include "coordination/dispatch/dispatch_records.h"
#include "coordination/dispatch/dispatched_job.h"
#include "coordination/dispatch/job_memory.h"
#include "coordination/dispatch/lag_monitor.h"
#include "coordination/dispatch/late_starts.h"
#include "coordination/dispatch/order_queue.h"
#include "coordination/dispatch/pause_detector.h"
#include "coordination/dispatch/pending_stops.h"
#include "coordination/dispatch/queue_isolation.h"
#include "coordination/dispatch/report_period.h"
#include "coordination/dispatch/report_times.h"
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
  /** Called with each decision of a forecast; may be empty. */
  std::function<void(const AdmissionRecord&)> admissionDecided;
  /** Called when a run ended without success. */
  std::function<void(const state::ProcessId& aAgent, const RunEnd&)> runEnded;
  std::function<void(const SubmissionRecord&)> submitted;
  std::function<void(const TaskCrashRecord&)> crashCounted;
  std::function<void(const QueueLimitRecord&)> queueLimitChanged;
  /** Called with each crash that an agent reports; may be empty. */
  std::function<void(const state::ProcessId& aAgent, const ServerCrash&)>
    crashReported;
  /** Called with the holds that a process reports; may be empty. */
  std::function<void(const ReportedHolds&)> holdsReported;
  /**
   * Called when this entry holds tasks itself, which the other entries must
   * know; may be empty.
   */
  std::function<void(const TaskHolds&)> holdsChanged;
  /**
   * Called once for each job that its caller cancelled, here or at another
   * entry; may be empty.
   */
  std::function<void(const CancelledJob&, bool aIsKnown)> jobCancelled;
  /**
   * Returns false while this entry may not know all cancelled jobs; if empty,
   * it always does.
   */
  std::function<bool()> mayPlace;
  /** Called when an agent does not offer its server any more; may be empty. */
  std::function<void(const state::ProcessId& aAgent)> agentReleased;
  /** Called with the length of a pause of this process. */
  std::function<void(std::chrono::milliseconds)> paused;
  /** See LagMonitor; if empty, the process is never behind. */
  LagMonitor::ProbeFunction probe;
  LagMonitor::ChangeFunction lagChanged;
  /** Called when the memory of the jobs has changed; may be empty. */
  JobMemory::ChangedHook jobMemoryChanged;
};

/** Settings of the entry that runs the dispatcher. */
struct JobDispatcherSettings
{
  std::string dataCentre;
  /** Factor on the run time outside the rack of the data. */
  double remoteRackFactor = 1;
  /** Number of cores that this process may use; 0: unknown. */
  double processorCores = 0;
  AdmissionSettings admission;
  /** Bytes that all jobs may occupy together; 0: not limited. */
  std::size_t maxJobBytes = 0;

  auto operator<=>(const JobDispatcherSettings&) const = default;
};

/**
 * Manages the jobs that one entry accepted, from submission to answer, in
 * memory only. Tasks are queued in the entry, where they can still be placed on
 * any server, until a server has free capacity. Used by the control thread
 * only.
 */
class JobDispatcher
{
public:
  JobDispatcher(const JobDispatcherSettings& aSettings,
                const state::Clock& aClock,
                JobDispatcherHooks aHooks);

  /** Jobs already submitted keep the old definition of their queue. */
  void SetConfiguration(state::DispatchConfiguration aConfiguration);
  /** Applies new settings, except for the data centre and the memory. */
  void SetSettings(const JobDispatcherSettings& aSettings);
  const state::DispatchConfiguration& Configuration() const
  {
    return configuration_;
  }

  /**
   * Accepts a job, or rejects it immediately if it cannot be served in time.
   * @param aCallerTimeout the time that the caller waits for the answer; empty
   * if it states none
   * @param aAge time since the request was read from its connection; the
   * timeout counts from then
   */
  void Submit(SubmissionId aSubmission,
              const state::WorkQueue& aQueue,
              state::DispatchJob aJob,
              std::optional<std::chrono::milliseconds> aCallerTimeout,
              std::chrono::milliseconds aAge = std::chrono::milliseconds(0));
  /** Removes a lost caller; the job ends if no other caller waits for it. */
  void Abandon(SubmissionId aSubmission);
  /**
   * Ends the job, and refuses later submissions of it. Returns false if this
   * entry does not have the job.
   */
  bool Cancel(state::DispatchJobId aJob);
  bool IsKnown(state::DispatchJobId aJob) const { return jobs_.contains(aJob); }
  /** Returns the number of jobs of a queue without a started task. */
  std::size_t PendingJobs(const std::string& aQueue) const;

  void OnAgent(const ProcessInfo& aAgent);
  void OnAgentLost(const state::ProcessId& aAgent);
  /** Handles a lost connection, on which messages may have been lost. */
  void OnAgentDisconnected(const state::ProcessId& aAgent);
  void OnReport(const state::ProcessId& aAgent, const ServerReport& aReport);
  /**
   * Counts crashes that another entry passed on, of servers that this entry
   * may not know, and ends jobs that were cancelled there.
   */
  void OnEntryNews(const EntryNews& aNews);

  /**
   * Places nothing in the evacuated data centres. Runs that exist there
   * continue; jobs that could run only there and have not started are rejected.
   */
  void SetEvacuated(const std::set<std::string>& aDataCentres);
  /** Sends the evacuations to an agent at once, with a heartbeat. */
  void SendEvacuation(const state::ProcessId& aAgent,
                      const state::EvacuationState& aState);

  /** Places what waits, after JobDispatcherHooks::mayPlace has changed. */
  void Resume();

  /** Must be called every 25 ms. */
  void Tick();

  /** The only table of cancelled jobs in this process. */
  CancelledJobs& Cancelled() { return cancelled_; }
  std::size_t JobCount() const { return jobs_.size(); }
  /** Returns the number of jobs with tasks that wait for free capacity. */
  std::size_t WaitingCount() const { return waiting_.size(); }
  const ServerPool& Servers() const { return servers_; }
  /** Processor time that placing has taken; see TaskPlacer::Searches(). */
  std::uint64_t PlacementSearches() const { return placer_.Searches(); }

private:
  /** Returns the reason to reject a new job; eNone if it is accepted. */
  state::DispatchReason ReasonToReject(const DispatchedJob& aJob,
                                       std::chrono::milliseconds aAge) const;
  /** Returns true if a task could run in evacuated data centres only. */
  bool NeedsEvacuated(const DispatchedJob& aJob) const;
  void RecordSubmission(const DispatchedJob& aJob,
                        std::chrono::milliseconds aAge) const;
  /**
   * Returns true if this process may not know yet which callers have
   * disconnected: it is behind, or no probe has returned since its last pause.
   */
  bool IsBehind() const;
  /** Measures the lag of this process while it has work. */
  void MeasureLag();
  std::chrono::milliseconds RetryAfter(const DispatchedJob& aJob) const;
  /**
   * Makes room in the memory for a new job, by rejecting others of which no
   * task has started. Returns false if that is not possible.
   */
  bool MakeRoomFor(const DispatchedJob& aNewJob);
  /** Rejects a new job that waits if it is expected to start too late. */
  void AdmitNewJob(state::DispatchJobId aJob);
  /** Rejects the waiting jobs that are expected to start too late by now. */
  void ExamineWaitingJobs();
  void RejectByForecast(const AdmissionRecord& aRecord);

  /** Limits the processor time that reports of agents take. */
  void SetReportPeriod();
  /** Removes an agent without runs of this entry. */
  void RemoveAgent(const state::ProcessId& aAgent);
  /** Removes the agents that do not offer their servers any more. */
  void RemoveReleasedAgents();
  /** Returns true if tasks may be started now. */
  bool MayPlace();
  /**
   * Places waiting jobs in their order, up to a limit of processor time. If it
   * is reached, the pass continues with the next tick and not before.
   */
  void PlaceWaitingJobs();
  /** Continues a pass that has reached the limit, or begins a new one. */
  void ContinuePlacing();
  void PlaceNewJob(DispatchedJob& aJob);
  /** Places the tasks of one waiting job that have a place. */
  void PlaceJob(DispatchedJob& aJob);
  /**
   * Numbers the runs of a new job above those of an earlier submission that are
   * not reported as ended yet.
   */
  void ContinueRunNumbers(DispatchedJob& aJob);
  /** Returns true if a run of an earlier submission may still exist. */
  bool HasEarlierRuns(DispatchedJob& aJob) const;
  /** Adds the job to those that wait for free capacity. */
  void Enqueue(DispatchedJob& aJob);
  void RecordPlacements(const state::ProcessId& aAgent,
                        const DispatchOrders& aOrders) const;

  /** Counts crashes, and ends jobs whose tasks must not be started again. */
  void OnCrashes(const state::ProcessId& aAgent,
                 const std::vector<ServerCrash>& aCrashes);
  /** Records the crash if this entry has the job of the task. */
  void RecordCrash(const state::ProcessId& aAgent,
                   const ServerCrash& aCrash,
                   const CrashedTask& aTask) const;
  /** Replaces the holds of a process and stops the runs of held tasks. */
  void OnHolds(const ReportedHolds& aHolds);
  /** Stops the run of a held task, unless it is on the server of the hold. */
  void StopHeldTask(const state::TaskKey& aTask,
                    const state::ProcessId& aReporter);
  /**
   * Holds the tasks that the server of a lost agent may start: its next agent
   * does not know them.
   */
  void HoldLateStartsOf(const state::ProcessId& aAgent);
  /** Removes late starts and holds that have expired. */
  void RemoveExpiredHolds();
  /** Returns false if this entry does not have the job. */
  bool EndCancelled(state::DispatchJobId aJob, std::chrono::milliseconds aAge);
  /** Begins and ends limits of queues whose jobs crash servers. */
  void UpdateIsolation();
  /** Returns true if a limited queue cannot serve the job in time. */
  bool ExceedsIsolation(const DispatchedJob& aJob) const;
  void OnRunEnd(const state::ProcessId& aAgent, const RunEnd& aEnd);
  void OnForecast(const state::ProcessId& aAgent, const RunForecast& aForecast);
  void OnUncertainStart(const state::ProcessId& aAgent,
                        const UncertainStart& aStart);
  void OnTaskDone(DispatchedJob& aJob,
                  DispatchedStep& aStep,
                  DispatchedTask& aTask,
                  const RunEnd& aEnd);
  void OnTaskFailed(DispatchedJob& aJob,
                    DispatchedTask& aTask,
                    const state::ProcessId& aAgent);
  void RequeueTask(DispatchedJob& aJob,
                   DispatchedStep& aStep,
                   DispatchedTask& aTask);
  /**
   * Checks the progress of all runs of a job. Returns false if one of them
   * cannot end before the deadline on any server.
   */
  bool CheckRunningTasks(DispatchedJob& aJob);
  void MoveRun(DispatchedJob& aJob, std::size_t aStep, std::uint32_t aIndex);
  void StopTask(const DispatchedJob& aJob,
                std::size_t aStep,
                std::uint32_t aIndex);
  /** Queues a stop, which is repeated until the agent reports the end. */
  void StopRun(const state::ProcessId& aAgent, const state::RunKey& aRun);
  /** Repeats the stops whose runs have not been reported as ended. */
  void SendPendingStops();
  void StopRuns(DispatchedJob& aJob);
  /**
   * Answers all callers, stops all runs and removes the job. While a start is
   * uncertain, the reason of a broken job states so.
   */
  void End(state::DispatchJobId aJob, const state::DispatchOutcome& aOutcome);

  JobDispatcherSettings settings_;
  const state::Clock& clock_;
  JobDispatcherHooks hooks_;
  PauseDetector pauses_;
  LagMonitor lag_;
  state::DispatchConfiguration configuration_;
  ServerPool servers_;
  CrashHistory crashHistory_;
  QueueIsolation isolation_;
  HoldTable holds_;
  /** Start orders of this entry that agents have reported as uncertain. */
  std::map<state::ProcessId, LateStarts> lateStarts_;
  /** Late starts at the servers of lost agents. */
  LateStarts orphanedStarts_;
  std::uint64_t holdsNumber_ = 0;
  OrderQueue orders_;
  PendingStops pendingStops_;
  ReportTimes reportTimes_;
  TaskPlacer placer_;
  RunMonitor monitor_;
  AdmissionControl admission_;
  CancelledJobs cancelled_;
  JobMemory memory_;
  std::map<state::DispatchJobId, std::unique_ptr<DispatchedJob>> jobs_;
  std::map<SubmissionId, state::DispatchJobId> submissions_;
  std::set<WaitingKey> waiting_;
  /** The next job of a pass that has reached the limit. */
  std::optional<WaitingKey> passContinuesAt_;
  /** Evacuations to be sent with the next message to an agent. */
  std::map<state::ProcessId, state::EvacuationState> unsentEvacuations_;
  state::MonotonicTime createdAt_;
};

}
