#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "coordination/dispatch/pause_detector.h"
#include "coordination/dispatch/server_pool.h"
#include "state/clock.h"
#include "state/dispatch/dispatch_configuration.h"
#include "state/dispatch/dispatch_job.h"

namespace greengage::coordination {

/** One caller's wait for the end of a job; chosen by the front. */
using SubmissionId = std::uint64_t;

/** A job that has ended, with what decided it, for the log and metrics. */
struct JobRecord
{
  std::uint64_t job = 0;
  std::string queue;
  std::uint64_t configurationVersion = 0;
  std::uint32_t tasks = 0;
  std::uint32_t tasksDone = 0;
  std::uint32_t runs = 0;
  /** From the submission to the first run, or to the end if none started. */
  std::chrono::milliseconds waited{ 0 };
  std::chrono::milliseconds total{ 0 };
  /** Response time that was aimed at, and the work it was taken from. */
  std::chrono::milliseconds objective{ 0 };
  double expectedWorkMs = 0;
  std::size_t waitingJobs = 0;
  std::size_t readyServers = 0;
  state::DispatchOutcome outcome;
};

/** Tasks of a job that were sent to one agent, with what decided it. */
struct PlacementRecord
{
  state::ProcessId agent;
  std::uint64_t job = 0;
  std::uint32_t step = 0;
  std::uint32_t tasks = 0;
  double workMs = 0;
  /** Learned speed of the server. */
  double speed = 1;
  /** Longest run time that still meets the objective. */
  double objectiveMs = 0;
};

struct JobDispatcherHooks
{
  std::function<void(SubmissionId, const state::DispatchOutcome&)> answer;
  std::function<void(const state::ProcessId& aAgent, DispatchOrders)> send;
  std::function<void(const PlacementRecord&)> placed;
  std::function<void(const JobRecord&)> ended;
  /** A run ended otherwise than done. */
  std::function<void(const state::ProcessId& aAgent, const RunEnd&)> runEnded;
};

/** Counts over the life of a JobDispatcher. */
struct DispatchCounters
{
  std::uint64_t submitted = 0;
  std::uint64_t runsStarted = 0;
  std::uint64_t runsStopped = 0;

  auto operator<=>(const DispatchCounters&) const = default;
};

/**
 * Owns the jobs that one entry accepted, from the submission to the answer, in
 * memory only. Tasks wait here, where they can still be placed anywhere, until
 * a server has room. Used by the control thread only.
 */
class JobDispatcher
{
public:
  JobDispatcher(std::string aDataCentre,
                double aFarFactor,
                const state::Clock& aClock,
                JobDispatcherHooks aHooks);

  /** Jobs keep the queue under which they were submitted. */
  void SetConfiguration(state::DispatchConfiguration aConfiguration);
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
  const ServerPool& Servers() const { return servers_; }
  const DispatchCounters& Counters() const { return counters_; }

private:
  enum class TaskState
  {
    eWaiting,
    eRunning,
    /** Ordered to stop; it waits again once the agent says that it has. */
    eStopping,
    eDone,
  };

  struct Task
  {
    TaskState taskState = TaskState::eWaiting;
    std::uint32_t run = 0;
    std::uint32_t failures = 0;
    state::ProcessId server;
    state::MonotonicTime sentAt;
    double expectedMs = 0;
    /** Known from the progress of a run; zero before. */
    double workMs = 0;
    /** Times that a forecast made it change its server. */
    std::uint32_t moves = 0;
    bool overdue = false;
  };

  struct Step
  {
    std::vector<Task> tasks;
    std::uint32_t done = 0;
    std::uint32_t waiting = 0;
    double workMs = 0;
    std::map<state::ProcessId, std::uint32_t> runsByServer;
  };

  /** Priority, not started, latest start, job: the order of getting room. */
  using WaitingKey =
    std::tuple<std::uint32_t, bool, state::MonotonicTime, std::uint64_t>;

  struct Job
  {
    state::DispatchJob spec;
    state::WorkQueue queue;
    std::vector<SubmissionId> submissions;
    std::vector<Step> steps;
    state::MonotonicTime submittedAt;
    state::MonotonicTime objectiveAt;
    /** An answer after this is worth nothing to the caller. */
    state::MonotonicTime uselessAt;
    state::MonotonicTime deadline;
    state::MonotonicTime firstRunAt;
    /** Latest start that meets the objective on the fastest server. */
    state::MonotonicTime latestStart;
    double workMs = 0;
    std::uint32_t runs = 0;
    bool started = false;
    /** Its place among those that wait for room. */
    std::optional<WaitingKey> waitingKey;
    /** Servers on which a run of this job failed. */
    std::set<state::ProcessId> failedOn;
  };

  using JobPointer = std::unique_ptr<Job>;

  void Prepare(Job& aJob, std::chrono::milliseconds aPatience);
  /** @param aTask null for a task of which no progress is known */
  PlacementRequest RequestFor(const Job& aJob,
                              std::size_t aStep,
                              const Task* aTask = nullptr) const;
  /** Reason to reject the new job at once; eNone if it is taken. */
  state::DispatchReason ReasonToReject(const Job& aJob) const;
  std::chrono::milliseconds RetryAfter() const;
  bool IsReady(const Job& aJob, const state::DispatchStep& aStep) const;

  void Place();
  /** False if a task still waits. */
  bool PlaceJob(Job& aJob);
  bool PlaceStep(Job& aJob, std::size_t aStep);
  /** Places of all waiting tasks of a step, as far as there is room. */
  std::vector<std::pair<std::uint32_t, Placement>> FindPlaces(
    Job& aJob,
    std::size_t aStep);
  /** Place of one task; none if it should wait for a better one. */
  std::optional<Placement> FindPlace(const Step& aStep,
                                     const PlacementRequest& aRequest,
                                     std::uint32_t aMaxPerServer) const;
  /** Takes room for one run of a task before its order is sent. */
  void Reserve(Job& aJob,
               std::size_t aStep,
               std::uint32_t aIndex,
               const Placement& aPlacement);
  void Withdraw(Job& aJob, std::size_t aStep, std::uint32_t aIndex);
  static state::RunKey KeyOf(const Job& aJob,
                             std::size_t aStep,
                             std::uint32_t aIndex);
  /** Puts the job among those that wait for room. */
  void Enqueue(Job& aJob);
  void Start(Job& aJob,
             std::size_t aStep,
             std::uint32_t aIndex,
             const Placement& aPlacement);
  void SendOrders();
  void RecordPlacements(const state::ProcessId& aAgent,
                        const DispatchOrders& aOrders) const;

  void OnRunEnd(const state::ProcessId& aAgent, const RunEnd& aEnd);
  void OnForecast(const state::ProcessId& aAgent, const RunForecast& aForecast);
  void OnTaskDone(Job& aJob, Step& aStep, Task& aTask, const RunEnd& aEnd);
  void OnTaskFailed(Job& aJob, Task& aTask, const state::ProcessId& aAgent);
  void WaitAgain(Job& aJob, Step& aStep, Task& aTask);
  void CheckRunning(Job& aJob);
  /** Work of a task that will last this long on the agent's server. */
  double WorkFromForecast(const Job& aJob,
                          std::size_t aStep,
                          const Task& aTask,
                          double aRunTimeMs);
  void StopTask(const Job& aJob, std::size_t aStep, std::uint32_t aIndex);
  void StopRuns(Job& aJob);
  /** Answers all callers and forgets the job. */
  void End(std::uint64_t aJob, const state::DispatchOutcome& aOutcome);
  static WaitingKey KeyOf(const Job& aJob);

  double farFactor_;
  const state::Clock& clock_;
  JobDispatcherHooks hooks_;
  PauseDetector pauses_;
  state::DispatchConfiguration configuration_;
  ServerPool servers_;
  std::map<std::uint64_t, JobPointer> jobs_;
  std::map<SubmissionId, std::uint64_t> submissions_;
  std::set<WaitingKey> waiting_;
  /** Orders of the current step of work, sent at its end. */
  std::map<state::ProcessId, DispatchOrders> outgoing_;
  std::map<state::ProcessId, state::MonotonicTime> sentAt_;
  DispatchCounters counters_;
  state::MonotonicTime createdAt_;
};

}
