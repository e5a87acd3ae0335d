#include "dispatch/dispatch_simulation.h"

#include <algorithm>

#include <fmt/format.h>

// Calls from agents to servers, and the runs that they cause.
namespace greengage::testing {

using namespace coordination;
using state::ProcessId;
using state::RunKey;

namespace {

/** Interval at which a pending renewal call checks for ended runs. */
constexpr Milliseconds kPollInterval = 5;
constexpr Milliseconds kOrderTimeout = 60;
constexpr Milliseconds kRenewTimeout = 300;
/** Time after which the agent detects that the connection was reset. */
constexpr Milliseconds kResetTime = 2;

}

RunControllerHooks
DispatchSimulation::ControllerHooks(unsigned aServer)
{
  RunControllerHooks hooks;
  hooks.start = [this, aServer](const StartRunCall& aCall) {
    CallStart(aServer, aCall);
  };
  hooks.stop = [this, aServer](const StopRunCall& aCall) {
    CallStop(aServer, aCall);
  };
  hooks.renew = [this, aServer](const RenewCall& aCall) {
    CallRenew(aServer, aCall);
  };
  hooks.report = [this, aServer](const ProcessId& aEntry,
                                 const ServerReport& aReport) {
    SendToEntry(aServer, aEntry, aReport);
  };
  hooks.runDecision = [this, aServer](const RunDecision& aDecision) {
    if (aDecision.decision == std::string("stop")) {
      ++stopReasons_[aDecision.reason];
    }
    Trace(aDecision.run.task.job.Number(),
          fmt::format("agent {}: {} {} run {}: {}",
                      aServer,
                      aDecision.decision,
                      aDecision.run.task.index,
                      aDecision.run.run,
                      aDecision.reason));
  };
  hooks.condition = [](ServerCondition, const std::string&) {};
  return hooks;
}

bool
DispatchSimulation::CannotConnect(unsigned aServer)
{
  const ServerNode& node = servers_[aServer];
  return !node.isServerUp ||
         (node.notConnectedShare > 0 && Chance(node.notConnectedShare));
}

bool
DispatchSimulation::IsCallReset(unsigned aServer)
{
  double share = servers_[aServer].resetShare;
  return share > 0 && Chance(share);
}

bool
DispatchSimulation::ReachesServer(unsigned aServer,
                                  std::uint64_t aBorn,
                                  bool aLate) const
{
  const ServerNode& node = servers_[aServer];
  if (!node.isServerUp) {
    return false;
  }
  bool outlivesServer = aLate && settings_.lateCallsReachNextIncarnation;
  return !settings_.callsEndWithServer || outlivesServer ||
         node.server->Born() == aBorn;
}

void
DispatchSimulation::SetCallFailures(unsigned aServer,
                                    double aNotConnected,
                                    double aReset)
{
  servers_[aServer].notConnectedShare = aNotConnected;
  servers_[aServer].resetShare = aReset;
}

void
DispatchSimulation::CallStart(unsigned aServer, const StartRunCall& aCall)
{
  ProcessId agent = servers_[aServer].agent;
  auto answer = [this, aServer, agent, run = aCall.run](StartAnswer aAnswer) {
    if (servers_[aServer].agent == agent) {
      RunOnAgent(aServer, [this, aServer, run, aAnswer] {
        servers_[aServer].controller->OnStartAnswer(run, aAnswer);
      });
    }
  };
  if (CannotConnect(aServer)) {
    ScheduleAt(now_ + 1, [answer] { answer(StartAnswer::eConnectionRefused); });
    return;
  }
  if (IgnoresNextCall(aServer)) {
    ScheduleAt(now_ + kOrderTimeout,
               [answer] { answer(StartAnswer::eNoAnswer); });
    return;
  }
  bool late = Chance(settings_.lateCallShare);
  bool reset = IsCallReset(aServer);
  bool lost = late || reset || Chance(settings_.lostAnswerShare);
  ScheduleAt(now_ + (late ? Random(2000, 12'000) : 1),
             [this,
              aServer,
              aCall,
              answer,
              lost,
              late,
              born = servers_[aServer].server->Born()] {
               bool reached = ReachesServer(aServer, born, late);
               auto result = reached
                               ? servers_[aServer].server->Start(aCall, now_)
                               : StartAnswer::eNoAnswer;
               if (!lost) {
                 answer(result);
               }
             });
  if (lost) {
    ScheduleAt(now_ + (reset ? kResetTime : kOrderTimeout),
               [answer] { answer(StartAnswer::eNoAnswer); });
  }
}

void
DispatchSimulation::CallStop(unsigned aServer, const StopRunCall& aCall)
{
  ProcessId agent = servers_[aServer].agent;
  auto answer = [this, aServer, agent, run = aCall.run](bool aAnswered) {
    if (servers_[aServer].agent == agent) {
      RunOnAgent(aServer, [this, aServer, run, aAnswered] {
        servers_[aServer].controller->OnStopAnswer(run, aAnswered);
      });
    }
  };
  if (CannotConnect(aServer)) {
    ScheduleAt(now_ + 1, [answer] { answer(false); });
    return;
  }
  if (IgnoresNextCall(aServer)) {
    ScheduleAt(now_ + kOrderTimeout, [answer] { answer(false); });
    return;
  }
  bool late = Chance(settings_.lateCallShare);
  bool reset = IsCallReset(aServer);
  bool lost = late || reset || Chance(settings_.lostAnswerShare);
  ScheduleAt(now_ + (late ? Random(2000, 12'000) : 1),
             [this,
              aServer,
              aCall,
              answer,
              lost,
              late,
              born = servers_[aServer].server->Born()] {
               bool done = ReachesServer(aServer, born, late) &&
                           servers_[aServer].server->Stop(aCall, now_);
               if (!lost) {
                 answer(done);
               }
             });
  if (lost) {
    ScheduleAt(now_ + (reset ? kResetTime : kOrderTimeout),
               [answer] { answer(false); });
  }
}

void
DispatchSimulation::FailRenew(unsigned aServer,
                              const ProcessId& aAgent,
                              std::uint64_t aNumber,
                              RenewFailure aFailure)
{
  if (servers_[aServer].agent == aAgent) {
    RunOnAgent(aServer, [this, aServer, aNumber, aFailure] {
      servers_[aServer].controller->OnRenewFailed(aNumber, aFailure);
    });
  }
}

void
DispatchSimulation::CallRenew(unsigned aServer, const RenewCall& aCall)
{
  ProcessId agent = servers_[aServer].agent;
  auto fail =
    [this, aServer, agent, number = aCall.number](RenewFailure aFailure) {
      FailRenew(aServer, agent, number, aFailure);
    };
  if (CannotConnect(aServer)) {
    ScheduleAt(now_ + 1, [fail] { fail(RenewFailure::eConnectionRefused); });
    return;
  }
  bool reset = IsCallReset(aServer);
  if (reset || IgnoresNextCall(aServer) || Chance(settings_.lostAnswerShare)) {
    ScheduleAt(now_ + (reset ? kResetTime : aCall.wait.count() + kRenewTimeout),
               [fail] { fail(RenewFailure::eNoAnswer); });
    return;
  }
  std::uint64_t born = servers_[aServer].server->Born();
  ScheduleAt(now_ + 1, [this, aServer, agent, aCall, born, fail] {
    if (!ReachesServer(aServer, born, false)) {
      fail(RenewFailure::eNoAnswer);
    } else if (servers_[aServer].server->Renew(aCall, now_)) {
      AnswerRenew(aServer, agent, aCall, born, now_ + aCall.wait.count());
    } else {
      fail(RenewFailure::eFenced);
    }
  });
}

void
DispatchSimulation::AnswerRenew(unsigned aServer,
                                const ProcessId& aAgent,
                                const RenewCall& aCall,
                                std::uint64_t aBorn,
                                Milliseconds aUntil)
{
  if (!ReachesServer(aServer, aBorn, false)) {
    // The connection is reset, or its host is gone and the call times out.
    ScheduleAt(Chance(0.5) ? now_ : aUntil + kRenewTimeout,
               [this, aServer, aAgent, number = aCall.number] {
                 FailRenew(aServer, aAgent, number, RenewFailure::eNoAnswer);
               });
    return;
  }
  FakeServer& server = *servers_[aServer].server;
  if (!server.HasEndsAfter(aCall.lastSeen) && now_ < aUntil) {
    ScheduleAt(now_ + kPollInterval,
               [this, aServer, aAgent, aCall, aBorn, aUntil] {
                 AnswerRenew(aServer, aAgent, aCall, aBorn, aUntil);
               });
    return;
  }
  auto deliver = [this,
                  aServer,
                  aAgent,
                  number = aCall.number,
                  answer = server.ListRuns(now_)] {
    if (servers_[aServer].agent != aAgent) {
      return;
    }
    RunOnAgent(aServer, [this, aServer, number, answer] {
      servers_[aServer].controller->OnRenewAnswer(number, answer);
    });
  };
  if (settings_.maxRenewDelay == 0) {
    deliver();
    return;
  }
  ScheduleAt(now_ + Random(0, settings_.maxRenewDelay), deliver);
}

void
DispatchSimulation::OnRunStarted(unsigned aServer, const RunKey& aRun)
{
  ++servers_[aServer].startCount;
  if (startHook_) {
    startHook_(aServer);
  }
  Trace(
    aRun.task.job.Number(),
    fmt::format("{} run {} starts on {}", aRun.task.index, aRun.run, aServer));
  startedTasks_.insert(aRun.task);
  CrashAfterStart(aServer, aRun.task);
  auto running = servers_[aServer].server->RunCount();
  if (running > FakeServer::kSlots) {
    AddViolation(aRun.task.job.Number(),
                 fmt::format("server {} starts run {} of task {:x}.{} beyond "
                             "its capacity: {} of {} slots",
                             aServer,
                             aRun.run,
                             aRun.task.job.Number(),
                             aRun.task.index,
                             running,
                             FakeServer::kSlots));
  }
  auto& servers = runningServers_[aRun.task];
  servers.insert(aServer);
  if (servers.size() > 1) {
    AddViolation(
      aRun.task.job.Number(),
      fmt::format("task {:x}.{} has {} runs at the same time (run {} on {})",
                  aRun.task.job.Number(),
                  aRun.task.index,
                  servers.size(),
                  aRun.run,
                  aServer));
  }
}

void
DispatchSimulation::OnRunEnded(unsigned aServer,
                               const RunKey& aRun,
                               RunEndKind aKind)
{
  Trace(aRun.task.job.Number(),
        fmt::format("{} run {} ends on {}: {}",
                    aRun.task.index,
                    aRun.run,
                    aServer,
                    ToString(aKind)));
  auto& servers = runningServers_[aRun.task];
  auto server = servers.find(aServer);
  if (server != servers.end()) {
    servers.erase(server);
  }
  if (aKind == RunEndKind::eDone) {
    completedTasks_.insert(aRun.task);
  }
}

}
