#include "dispatch/dispatch_fault_scenario.h"

#include <algorithm>

#include <fmt/format.h>

namespace greengage::testing {

using state::DispatchReason;
using state::DispatchResult;

namespace {

constexpr Milliseconds kFaultDuration = 8000;
constexpr Milliseconds kJobPeriod = 40;
constexpr Milliseconds kFaultPeriod = 200;
/** Time for the last attempts, the longest late calls, and 5 s more. */
constexpr Milliseconds kTailDuration = 18'000;
/** Time after which a caller without an answer closes its connection. */
constexpr Milliseconds kCallerTimeout = 1800;
constexpr unsigned kMaxAttempts = 3;
constexpr Milliseconds kPollPeriod = 5;

/** Returns true if the caller receives 502 or 504. */
bool
IsBroken(const state::DispatchOutcome& aOutcome)
{
  return aOutcome.result == DispatchResult::eFailed &&
         (aOutcome.reason == DispatchReason::eServerLost ||
          aOutcome.reason == DispatchReason::eOutcomeUnknown ||
          aOutcome.reason == DispatchReason::eTooLate);
}

}

std::vector<FaultKind>
AllFaults()
{
  std::vector<FaultKind> kinds;
  for (int i = 0; i <= static_cast<int>(FaultKind::eSlowServer); ++i) {
    kinds.push_back(static_cast<FaultKind>(i));
  }
  return kinds;
}

DispatchSimulationSettings
FaultSimulationSettings(std::uint64_t aSeed)
{
  DispatchSimulationSettings settings;
  settings.seed = aSeed;
  settings.entries = 3;
  settings.servers = 4;
  settings.speeds = { 1.8, 0.8, 0.8, 1 };
  settings.hasProcessQueues = true;
  settings.serverClockRate = 1 - 0.01 * static_cast<double>(aSeed % 3);
  settings.maxLease = std::chrono::milliseconds(1000);
  settings.maxStopTime = 50;
  settings.maxRenewDelay = aSeed % 2 == 0 ? 2 : 150;
  settings.callsEndWithServer = true;
  settings.lateCallsReachNextIncarnation = false;
  settings.lostAnswerShare = aSeed % 3 == 0 ? 0.05 : 0;
  settings.lateCallShare = aSeed % 4 == 1 ? 0.05 : 0;
  return settings;
}

FaultScenario::FaultScenario(const DispatchSimulationSettings& aSettings,
                             std::vector<FaultKind> aKinds)
  : random_(aSettings.seed)
  , simulation_(aSettings)
  , kinds_(std::move(aKinds))
{
}

DispatchSimulation&
FaultScenario::Run()
{
  for (Milliseconds time = 0; time < kFaultDuration; time += kJobPeriod) {
    ScheduleAt(time, [this] { SubmitNewJob(); });
  }
  for (Milliseconds time = 300; time < kFaultDuration; time += kFaultPeriod) {
    ScheduleAt(time, [this] { InjectFault(); });
  }
  simulation_.RunFor(kFaultDuration + kTailDuration);
  simulation_.CheckNothingRuns();
  return simulation_;
}

double
FaultScenario::RandomShare(double aFrom)
{
  return aFrom + (1 - aFrom) * Random(101) / 100.0;
}

void
FaultScenario::SubmitNewJob()
{
  Job job;
  job.id = ++jobs_;
  job.tasks = 1 + Random(6);
  job.workMs = Random(4) == 0 ? 600 : 60;
  job.priority = Random(3);
  SubmitJob(job, Random(simulation_.EntryCount()));
  if (Random(4) == 0) {
    // Runs that take much longer than estimated outlive their submission.
    simulation_.SetWork(job.id, job.workMs * 5);
  }
}

void
FaultScenario::SubmitJob(Job aJob, unsigned aEntry)
{
  ++aJob.attempts;
  std::size_t number =
    simulation_.Submit(aEntry, aJob.id, aJob.tasks, aJob.workMs, aJob.priority);
  AwaitAnswer(aJob, number);
}

void
FaultScenario::AwaitAnswer(const Job& aJob, std::size_t aNumber)
{
  const SubmissionRecord& record = simulation_.Submissions()[aNumber];
  if (record.isDisconnected) {
    ResubmitAt(record.brokenAt + DelayAfterBreak(record), aJob, record.entry);
    return;
  }
  if (record.outcome) {
    if (IsBroken(*record.outcome)) {
      ResubmitAt(record.answeredAt + kResubmitDelay, aJob, record.entry);
    }
    return;
  }
  if (simulation_.Now() - record.sentAt >= kCallerTimeout) {
    simulation_.BreakCaller(aNumber);
  }
  ScheduleAt(kPollPeriod,
             [this, aJob, aNumber] { AwaitAnswer(aJob, aNumber); });
}

Milliseconds
FaultScenario::DelayAfterBreak(const SubmissionRecord& aRecord)
{
  if (aRecord.readAt && *aRecord.readAt <= aRecord.brokenAt) {
    return kResubmitDelay;
  }
  return kMinUnreadResubmitDelay +
         Random(kMaxUnreadResubmitDelay - kMinUnreadResubmitDelay + 1);
}

void
FaultScenario::ResubmitAt(Milliseconds aTime, const Job& aJob, unsigned aEntry)
{
  if (aJob.attempts >= kMaxAttempts) {
    return;
  }
  unsigned count = simulation_.EntryCount();
  unsigned other = (aEntry + 1 + Random(count - 1)) % count;
  simulation_.ScheduleAt(aTime,
                         [this, aJob, other] { SubmitJob(aJob, other); });
}

void
FaultScenario::InjectFault()
{
  FaultKind kind = kinds_[Random(static_cast<unsigned>(kinds_.size()))];
  Milliseconds time = 50 + Random(2500);
  faults_ += fmt::format("  {} ms: fault {} for {} ms at",
                         simulation_.Now(),
                         static_cast<int>(kind),
                         time);
  if (kind <= FaultKind::ePartition) {
    InjectLinkFault(kind, time);
  } else if (kind <= FaultKind::eKillEntry) {
    InjectEntryFault(kind, time);
  } else if (kind <= FaultKind::eStepAgentClock) {
    InjectAgentFault(kind, time);
  } else if (kind <= FaultKind::eLateLeaveNotice) {
    InjectServerFault(kind, time);
  } else {
    InjectCallFault(kind, time);
  }
}

LinkDirection
FaultScenario::RandomDirection()
{
  return Random(2) == 0 ? LinkDirection::eToAgent : LinkDirection::eToEntry;
}

void
FaultScenario::InjectLinkFault(FaultKind aKind, Milliseconds aTime)
{
  unsigned entry = Random(simulation_.EntryCount());
  unsigned server = Random(simulation_.ServerCount());
  LinkDirection direction = RandomDirection();
  faults_ += fmt::format(" entry {}, server {}, direction {}\n",
                         entry,
                         server,
                         static_cast<int>(direction));
  switch (aKind) {
    case FaultKind::eBreakCaller:
      simulation_.BreakCaller(
        simulation_.Submissions().size() - 1 -
        Random(std::min<unsigned>(
          20, static_cast<unsigned>(simulation_.Submissions().size()))));
      return;
    case FaultKind::eResetAllHosts:
      simulation_.BreakAllCallers();
      simulation_.ResetAllConnections();
      return;
    case FaultKind::eSlowReopening:
      simulation_.ResetDirection(entry, server, direction);
      simulation_.HoldMessages(entry, server, direction, aTime);
      return;
    case FaultKind::eHoldMessages:
      simulation_.HoldMessages(entry, server, direction, aTime);
      return;
    case FaultKind::eDelayMessages:
      simulation_.SetDelay(entry, server, direction, Random(1500));
      ScheduleAt(aTime, [this, entry, server, direction] {
        simulation_.SetDelay(entry, server, direction, 0);
      });
      return;
    case FaultKind::eSilence:
      simulation_.SilenceDirection(entry, server, direction, 1500);
      return;
    case FaultKind::ePartition:
      simulation_.Partition(entry, server, aTime);
      return;
    default:
      simulation_.ResetDirection(entry, server, direction);
  }
}

void
FaultScenario::InjectEntryFault(FaultKind aKind, Milliseconds aTime)
{
  unsigned entry = Random(simulation_.EntryCount());
  faults_ += fmt::format(" entry {}\n", entry);
  switch (aKind) {
    case FaultKind::eFreezeEntry:
      simulation_.FreezeEntry(entry, aTime);
      return;
    case FaultKind::eStallEntry:
      simulation_.StallEntry(entry, aTime);
      return;
    case FaultKind::eBusyEntry:
      simulation_.SetEntryCost(entry, 1 + Random(12));
      simulation_.SetCallerLag(entry, Random(1000));
      ScheduleAt(aTime, [this, entry] {
        simulation_.SetEntryCost(entry, 0);
        simulation_.SetCallerLag(entry, 0);
      });
      return;
    default:
      simulation_.KillEntry(entry, 200 + Random(800));
  }
}

void
FaultScenario::InjectAgentFault(FaultKind aKind, Milliseconds aTime)
{
  unsigned server = Random(simulation_.ServerCount());
  faults_ += fmt::format(" agent {}\n", server);
  switch (aKind) {
    case FaultKind::eFreezeAgent:
      simulation_.FreezeAgent(server, aTime);
      return;
    case FaultKind::eStallAgent:
      simulation_.StallAgent(server, aTime);
      return;
    case FaultKind::eBusyAgent:
      simulation_.SetAgentCost(server, 1 + Random(12));
      ScheduleAt(aTime,
                 [this, server] { simulation_.SetAgentCost(server, 0); });
      return;
    case FaultKind::eStepAgentClock:
      simulation_.StepAgentClock(server, Random(2) == 0 ? aTime : -aTime);
      return;
    default:
      simulation_.KillAgent(server, 200 + Random(1500));
  }
}

void
FaultScenario::InjectServerFault(FaultKind aKind, Milliseconds aTime)
{
  unsigned server = Random(simulation_.ServerCount());
  bool keepsId = Random(2) == 0;
  Milliseconds downTime = 500 + Random(1000);
  faults_ += fmt::format(
    " server {}, down for {} ms, same id: {}\n", server, downTime, keepsId);
  switch (aKind) {
    case FaultKind::eRestartServer:
      simulation_.RestartServer(server, downTime, keepsId);
      return;
    case FaultKind::eLeave:
      simulation_.LeaveServer(server, 1, Random(301), downTime, keepsId);
      return;
    default:
      simulation_.LeaveServer(
        server, downTime + aTime, 10 + Random(100), downTime, keepsId);
  }
}

void
FaultScenario::InjectCallFault(FaultKind aKind, Milliseconds aTime)
{
  unsigned server = Random(simulation_.ServerCount());
  faults_ += fmt::format(" server {}\n", server);
  switch (aKind) {
    case FaultKind::eFailToConnect:
      simulation_.SetCallFailures(server, RandomShare(0.2), 0);
      break;
    case FaultKind::eResetCalls:
      simulation_.SetCallFailures(server, 0, RandomShare(0.2));
      break;
    case FaultKind::eUnhealthyServer:
      simulation_.Server(server).SetHealthy(false);
      break;
    case FaultKind::eHangingServer:
      simulation_.Server(server).SetHanging(true);
      break;
    default:
      simulation_.Server(server).SetSpeed(0.2);
  }
  ScheduleAt(aTime, [this, server] {
    simulation_.SetCallFailures(server, 0, 0);
    simulation_.Server(server).SetHealthy(true);
    simulation_.Server(server).SetHanging(false);
    simulation_.Server(server).SetSpeed(0.8);
  });
}

}
