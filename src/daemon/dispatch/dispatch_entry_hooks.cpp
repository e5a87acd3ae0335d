#include "daemon/dispatch/dispatch_entry_process.h"

#include "daemon/dispatch/log_admission.h"
#include "daemon/dispatch/log_crashes.h"
#include "daemon/dispatch/log_pause.h"
#include "transport/event_log.h"

// Hooks that connect the dispatcher and the peers to the process, with the log
// lines and metrics of their decisions.
namespace greengage::daemon {

using namespace coordination;
using state::DispatchOutcome;
using state::ProcessId;
using std::chrono::milliseconds;
using transport::LogEvent;
namespace events = transport::events;

namespace {

/**
 * Submissions that are handled sooner, and do not join a job, are not logged:
 * job_ended covers them, and the number of lines per second is limited.
 */
constexpr milliseconds kMinLoggedAge{ 25 };

}

JobDispatcherHooks
DispatchEntryProcess::MakeDispatcherHooks()
{
  JobDispatcherHooks hooks;
  hooks.answer = [this](SubmissionId aSubmission,
                        const DispatchOutcome& aOutcome) {
    auto pending = pendingSubmissions_.extract(aSubmission);
    if (!pending.empty()) {
      submissionByRequestNumber_.erase(pending.mapped().requestNumber);
      pending.mapped().respond(callerHooks_.encodeOutcome(aOutcome));
    }
  };
  hooks.send = [this](const ProcessId& aAgent, DispatchOrders aOrders) {
    peers_.Send(aAgent, std::move(aOrders));
  };
  hooks.placed = [](const PlacementRecord& aRecord) {
    LogEvent(events::kTasksPlaced,
             "job={} step={} tasks={} agent={} work_ms={:.0f} "
             "speed={:.2f} objective_ms={:.0f}",
             aRecord.job.ToString(),
             aRecord.step,
             aRecord.tasks,
             aRecord.agent.ToString(),
             aRecord.workMs,
             aRecord.speed,
             aRecord.objectiveMs);
  };
  hooks.ended = [this](const JobRecord& aRecord) {
    dispatchMetrics_.OnJobEnded(aRecord);
    LogEvent(events::kJobEnded,
             "job={} queue={} result={} reason={} tasks={} done={} "
             "runs={} waited_ms={} total_ms={} objective_ms={} work_ms={:.0f} "
             "waiting_jobs={} servers={} configuration={}",
             aRecord.job.ToString(),
             aRecord.queue,
             ToString(aRecord.outcome.result),
             ToString(aRecord.outcome.reason),
             aRecord.tasks,
             aRecord.tasksDone,
             aRecord.runs,
             aRecord.waited.count(),
             aRecord.total.count(),
             aRecord.objective.count(),
             aRecord.expectedWorkMs,
             aRecord.waitingJobs,
             aRecord.readyServers,
             aRecord.configurationVersion);
  };
  hooks.admissionDecided = [this](const AdmissionRecord& aRecord) {
    dispatchMetrics_.OnAdmissionDecided(aRecord);
    LogAdmission(aRecord);
  };
  hooks.runEnded = [this](const ProcessId& aAgent, const RunEnd& aEnd) {
    dispatchMetrics_.OnRunEnded(aEnd);
    LogEvent(events::kRunEnded,
             "job={} step={} task={} run={} agent={} kind={} ran_ms={}",
             aEnd.run.task.job.ToString(),
             aEnd.run.task.step,
             aEnd.run.task.index,
             aEnd.run.run,
             aAgent.ToString(),
             ToString(aEnd.kind),
             aEnd.runTimeMs);
  };
  hooks.submitted = [](const SubmissionRecord& aRecord) {
    if (aRecord.submissions == 1 && aRecord.age < kMinLoggedAge) {
      return;
    }
    LogEvent(events::kJobSubmitted,
             "job={} age_ms={} submissions={}",
             aRecord.job.ToString(),
             aRecord.age.count(),
             aRecord.submissions);
  };
  hooks.crashCounted = LogCrash;
  hooks.queueLimitChanged = [this](const QueueLimitRecord& aRecord) {
    dispatchMetrics_.OnQueueLimitChanged(aRecord);
    LogQueueLimit(aRecord);
  };
  hooks.crashReported = [this](const ProcessId& aAgent,
                               const ServerCrash& aCrash) {
    newsRelay_.OnCrash(aAgent, aCrash);
  };
  hooks.holdsReported = [this](const ReportedHolds& aHolds) {
    LogEvent(events::kTasksHeld,
             "reporter={} number={} tasks={}",
             aHolds.reporter.ToString(),
             aHolds.holds.number,
             aHolds.holds.tasks.size());
    newsRelay_.OnHolds(aHolds);
  };
  hooks.holdsChanged = [this](const TaskHolds& aHolds) {
    LogEvent(events::kTasksHeld,
             "reporter={} number={} tasks={}",
             peers_.Self().id.ToString(),
             aHolds.number,
             aHolds.tasks.size());
    newsRelay_.OnOwnHolds(aHolds);
  };
  hooks.jobCancelled = [](const CancelledJob& aJob, bool aIsKnown) {
    LogEvent(events::kJobCancelled,
             "job={} known={} age_ms={}",
             aJob.job.ToString(),
             aIsKnown,
             aJob.ageMs);
  };
  hooks.agentReleased = [this](const ProcessId& aAgent) {
    evacuation_.OnLost(aAgent);
    peers_.Disconnect(aAgent);
  };
  hooks.mayPlace = [this] { return cancellations_.Exchange().MayPlace(); };
  hooks.paused = LogPause;
  hooks.probe = [this](std::function<void()> aReturned) {
    probe_.Send([this, returned = std::move(aReturned)]() mutable {
      control_.Post(std::move(returned));
    });
  };
  hooks.jobMemoryChanged = [this](std::size_t aBytes) {
    jobMemory_->Set(aBytes, transport::ByteBudget::Eviction::eNever);
  };
  hooks.lagChanged = [](bool aIsBehind, milliseconds aLag) {
    LogEvent(aIsBehind ? events::kProcessBehind : events::kProcessCaughtUp,
             "lag_ms={}",
             aLag.count());
  };
  return hooks;
}

PeerNodeHooks
DispatchEntryProcess::MakePeerHooks()
{
  PeerNodeHooks hooks;
  hooks.alive = [this](const ProcessInfo& aPeer) { OnPeerAlive(aPeer); };
  hooks.versionReceived = [this](const ProcessId& aPeer,
                                 std::uint64_t aVersion) {
    documents_.Exchange().OnPeerVersion(aPeer, aVersion);
    if (const ProcessInfo* peer = peers_.Find(aPeer)) {
      OnPeerAlive(*peer);
    }
  };
  hooks.lost = [this](const ProcessId& aPeer) {
    documents_.Exchange().OnPeerLost(aPeer);
    newsRelay_.OnEntryLost(aPeer);
    evacuation_.OnLost(aPeer);
    cancellations_.Exchange().OnEntryLost(aPeer);
    dispatcher_.OnAgentLost(aPeer);
    UpdateReady();
  };
  hooks.disconnected = [this](const ProcessId& aPeer) {
    cancellations_.Exchange().OnEntryDisconnected(aPeer);
    dispatcher_.OnAgentDisconnected(aPeer);
    evacuation_.OnDisconnected(aPeer);
  };
  hooks.received = [this](const ProcessInfo& aFrom,
                          const PeerMessage& aMessage) {
    OnPeerMessage(aFrom, aMessage);
  };
  hooks.heard = [this] { cancellations_.Exchange().OnHeard(); };
  return hooks;
}

}
