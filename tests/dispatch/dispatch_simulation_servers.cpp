#include "dispatch/dispatch_simulation.h"

#include <algorithm>

#include <fmt/format.h>

// Ends and restarts of servers.
namespace greengage::testing {

using coordination::ServerPool;

namespace {

/** Time from the start of a task that crashes its server to the crash. */
constexpr Milliseconds kCrashDelay = 10;
constexpr Milliseconds kCrashDownTime = 3000;

}

void
DispatchSimulation::EndServer(unsigned aServer)
{
  for (const auto& [task, servers] : runningServers_) {
    if (servers.contains(aServer)) {
      ++crashesUnder_[task];
    }
  }
  servers_[aServer].server->Crash();
  servers_[aServer].isServerUp = false;
}

void
DispatchSimulation::CrashAfterStart(unsigned aServer,
                                    const state::TaskKey& aTask)
{
  if (!deadlyPredicate_ || !deadlyPredicate_(aTask)) {
    return;
  }
  if (CrashesUnder(aTask) >= 3) {
    AddViolation(aTask.job.Number(),
                 fmt::format("task {:x}.{} starts on {} after three crashes",
                             aTask.job.Number(),
                             aTask.index,
                             aServer));
  }
  ScheduleAt(now_ + kCrashDelay,
             [this, aServer, born = servers_[aServer].server->Born()] {
               if (servers_[aServer].server->Born() == born) {
                 RestartServer(aServer, kCrashDownTime, false);
               }
             });
}

void
DispatchSimulation::RestartServer(unsigned aServer,
                                  Milliseconds aDownTime,
                                  bool aKeepsId)
{
  ServerNode& node = servers_[aServer];
  if (!node.isServerUp || node.isServerLeaving) {
    return;
  }
  std::string id = aKeepsId ? node.server->Id() : std::string();
  EndServer(aServer);
  ScheduleAt(now_ + aDownTime,
             [this, aServer, id] { StartServer(aServer, id); });
}

void
DispatchSimulation::LeaveServer(unsigned aServer,
                                Milliseconds aNoticeDelay,
                                Milliseconds aEndDelay,
                                Milliseconds aDownTime,
                                bool aKeepsId)
{
  ServerNode& node = servers_[aServer];
  if (!node.isServerUp || node.isServerLeaving) {
    return;
  }
  node.isServerLeaving = true;
  std::string id = node.server->Id();
  ScheduleAt(now_ + aNoticeDelay,
             [this, aServer, id, born = node.server->Born()] {
               DeliverLeaveNotice(aServer, id, born);
             });
  ScheduleAt(now_ + aEndDelay, [this, aServer] { EndServer(aServer); });
  ScheduleAt(now_ + aEndDelay + aDownTime, [this, aServer, id, aKeepsId] {
    StartServer(aServer, aKeepsId ? id : std::string());
  });
}

void
DispatchSimulation::DeliverLeaveNotice(unsigned aServer,
                                       const std::string& aId,
                                       std::uint64_t aBorn)
{
  RunOnAgent(aServer, [this, aServer, aId, aBorn] {
    servers_[aServer].controller->OnServerLeft(aId, aBorn);
  });
}

void
DispatchSimulation::CheckNothingRuns()
{
  for (unsigned i = 0; i < servers_.size(); ++i) {
    if (servers_[i].server->RunCount() > 0) {
      AddViolation(0, fmt::format("server {} still runs tasks", i));
    }
  }
  for (unsigned i = 0; i < entries_.size(); ++i) {
    const ServerPool& pool = entries_[i].dispatcher->Servers();
    for (const state::ProcessId& agent : pool.AgentsInUse()) {
      for (const state::RunKey& run : pool.RunsOn(agent)) {
        AddViolation(run.task.job.Number(),
                     fmt::format("entry {} has run {} of task {:x}.{} "
                                 "registered on server {}",
                                 i,
                                 run.run,
                                 run.task.job.Number(),
                                 run.task.index,
                                 FindServer(agent)));
      }
    }
  }
}

}
