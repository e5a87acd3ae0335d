#include "dispatch/dispatch_simulation.h"

#include <algorithm>

#include <fmt/format.h>

namespace greengage::testing {

using namespace coordination;
using state::DispatchOutcome;
using state::ProcessId;
using state::RunKey;
using state::TaskKey;

namespace {

constexpr Milliseconds kServerStep = 5;
constexpr Milliseconds kTickPeriod = 25;
constexpr Milliseconds kHeartbeatPeriod = 500;

}

DispatchSimulation::DispatchSimulation(
  const DispatchSimulationSettings& aSettings)
  : settings_(aSettings)
  , random_(aSettings.seed)
  , entries_(aSettings.entries)
  , servers_(aSettings.servers)
  , failurePredicate_([](const TaskKey&, unsigned) { return false; })
  , noticeRandom_(aSettings.seed)
{
  for (unsigned i = 0; i < settings_.servers; ++i) {
    // Monotonic clocks of different hosts must never be compared.
    std::chrono::seconds epoch(settings_.hasProcessQueues ? 100 * (i + 1) : 0);
    servers_[i].clock = std::make_unique<SteppingClock>(time_, epoch);
    StartServer(i);
    StartAgent(i);
  }
  for (unsigned i = 0; i < settings_.entries; ++i) {
    StartEntry(i);
  }
  Tick();
  for (unsigned i = 0; i < settings_.servers; ++i) {
    Announce(i);
  }
  RunFor(300);
}

DispatchSimulation::~DispatchSimulation() = default;

bool
DispatchSimulation::Chance(double aShare)
{
  return std::uniform_real_distribution<>(0, 1)(random_) < aShare;
}

Milliseconds
DispatchSimulation::Random(Milliseconds aFrom, Milliseconds aTo)
{
  return std::uniform_int_distribution<Milliseconds>(aFrom, aTo)(random_);
}

void
DispatchSimulation::Trace(std::uint64_t aJob, std::string aText)
{
  traces_[aJob] += fmt::format("  {} ms: {}\n", now_, aText);
}

std::string
DispatchSimulation::Trace(std::uint64_t aJob) const
{
  auto trace = traces_.find(aJob);
  return trace == traces_.end() ? std::string() : trace->second;
}

void
DispatchSimulation::AddViolation(std::uint64_t aJob, std::string aMessage)
{
  jobOfFirstViolation_ = violations_.empty() ? aJob : jobOfFirstViolation_;
  violations_.push_back(fmt::format("{} ms: {}", now_, aMessage));
}

void
DispatchSimulation::ScheduleAt(Milliseconds aTime,
                               std::function<void()> aFunction)
{
  events_.emplace(std::max(aTime, now_), std::move(aFunction));
}

void
DispatchSimulation::RunFor(Milliseconds aTime)
{
  Milliseconds end = now_ + aTime;
  while (!events_.empty() && events_.begin()->first <= end) {
    auto event = events_.extract(events_.begin());
    now_ = event.key();
    time_ = std::chrono::milliseconds(now_);
    event.mapped()();
  }
  now_ = end;
  time_ = std::chrono::milliseconds(now_);
}

void
DispatchSimulation::Tick()
{
  for (ServerNode& node : servers_) {
    node.server->Advance(now_);
  }
  if (now_ % kTickPeriod == 0) {
    for (unsigned i = 0; i < servers_.size(); ++i) {
      TickAgent(i);
    }
    for (unsigned i = 0; i < entries_.size(); ++i) {
      TickEntry(i);
    }
  }
  ScheduleAt(now_ + kServerStep, [this] { Tick(); });
}

void
DispatchSimulation::StartServer(unsigned aServer, const std::string& aId)
{
  FakeServer::Hooks hooks;
  hooks.runStarted = [this, aServer](const RunKey& aRun) {
    OnRunStarted(aServer, aRun);
  };
  hooks.runEnded = [this, aServer](const RunKey& aRun, RunEndKind aKind) {
    OnRunEnded(aServer, aRun, aKind);
  };
  hooks.workMs = [this](const TaskKey& aTask) {
    return workMsOfJob_[aTask.job.Number()];
  };
  hooks.runFails = [this, aServer](const TaskKey& aTask) {
    return failurePredicate_(aTask, aServer);
  };
  double speed = settings_.speeds[aServer % settings_.speeds.size()];
  FakeServerRules rules;
  rules.id = aId;
  rules.clockRate = settings_.serverClockRate;
  rules.maxLease = settings_.maxLease;
  rules.guardsCapacity = settings_.serversGuardCapacity;
  if (settings_.maxStopTime > 0) {
    rules.stopTime = [this] { return Random(0, settings_.maxStopTime); };
  }
  ServerNode& node = servers_[aServer];
  node.server = std::make_unique<FakeServer>(
    now_, speed, std::move(hooks), std::move(rules));
  node.sequence = 0;
  node.isServerUp = true;
  node.isServerLeaving = false;
}

ProcessInfo
DispatchSimulation::DescribeAgent(unsigned aServer) const
{
  ProcessInfo agent;
  agent.id = servers_[aServer].agent;
  agent.role = ProcessRole::eAgent;
  agent.peerAddress = fmt::format("10.0.0.{}:1", aServer);
  agent.dataCentre = DataCentreOf(aServer);
  return agent;
}

void
DispatchSimulation::StartAgent(unsigned aServer)
{
  ServerNode& node = servers_[aServer];
  node.agent = { 2, nextProcess_++ };
  node.isAgentUp = true;
  node.frozenUntil = 0;
  ClearQueue(node.queue);
  Milliseconds wallClock = now_ + node.clock->WallOffset().count();
  RunControllerSettings settings;
  settings.dataCentre = DataCentreOf(aServer);
  node.controller = std::make_unique<RunController>(
    settings,
    static_cast<std::uint64_t>(1'000'000 + wallClock),
    *node.clock,
    ControllerHooks(aServer));
  ProcessInfo agent = DescribeAgent(aServer);
  for (unsigned i = 0; i < entries_.size(); ++i) {
    if (!entries_[i].dispatcher) {
      continue;
    }
    if (settings_.hasProcessQueues) {
      RunOnEntry(i,
                 [this, i, agent] { entries_[i].dispatcher->OnAgent(agent); });
    } else {
      entries_[i].dispatcher->OnAgent(agent);
    }
    node.controller->OnEntry(entries_[i].id, true);
  }
}

void
DispatchSimulation::StartEntry(unsigned aEntry)
{
  EntryNode& entry = entries_[aEntry];
  entry.id = { 1, nextProcess_++ };
  entry.isUp = true;
  entry.frozenUntil = 0;
  ClearQueue(entry.queue);
  ClearQueue(entry.traffic);
  entry.submissions.clear();
  JobDispatcherHooks hooks;
  hooks.answer = [this, aEntry](SubmissionId aSubmission,
                                const DispatchOutcome& aOutcome) {
    OnAnswer(aEntry, aSubmission, aOutcome);
  };
  hooks.runEnded = [this, aEntry](const ProcessId&, const RunEnd& aEnd) {
    Trace(aEnd.run.task.job.Number(),
          fmt::format("entry {}: {} run {} ended: {}",
                      aEntry,
                      aEnd.run.task.index,
                      aEnd.run.run,
                      ToString(aEnd.kind)));
  };
  hooks.send = [this, aEntry](const ProcessId& aAgent,
                              const DispatchOrders& aOrders) {
    SendToAgent(aEntry, aAgent, aOrders);
  };
  hooks.holdsChanged = [this, aEntry](const TaskHolds& aHolds) {
    SendHolds(aEntry, aHolds);
  };
  hooks.probe = [this, aEntry](std::function<void()> aReturned) {
    PassProbe(aEntry, std::move(aReturned));
  };
  JobDispatcherSettings settings{ "dc" };
  settings.admission = settings_.admission;
  entry.dispatcher =
    std::make_unique<JobDispatcher>(settings, clock_, std::move(hooks));
  entry.evacuation =
    std::make_unique<EvacuationExchange>(clock_, EvacuationHooks(aEntry));
  ConnectEntry(aEntry);
  for (unsigned i = 0; i < servers_.size(); ++i) {
    entry.dispatcher->OnAgent(DescribeAgent(i));
    if (settings_.hasProcessQueues) {
      RunOnAgent(i, [this, i, id = entry.id] {
        servers_[i].controller->OnEntry(id, true);
      });
    } else if (servers_[i].isAgentUp) {
      servers_[i].controller->OnEntry(entry.id, true);
    }
  }
}

void
DispatchSimulation::Announce(unsigned aServer)
{
  ServerNode& node = servers_[aServer];
  if (node.isServerUp && !node.isServerLeaving) {
    auto announcement = node.server->Announce(++node.sequence, now_);
    announcement.draining = node.draining;
    announcement.coldLeft = std::chrono::milliseconds(
      std::max<Milliseconds>(0, node.coldUntil - now_));
    RunOnAgent(aServer, [this, aServer, announcement] {
      servers_[aServer].controller->OnAnnouncement(announcement);
    });
  }
  ScheduleAt(now_ + kHeartbeatPeriod, [this, aServer] { Announce(aServer); });
}

void
DispatchSimulation::RunOnAgent(unsigned aServer,
                               std::function<void()> aFunction)
{
  ServerNode& node = servers_[aServer];
  if (!node.isAgentUp) {
    return;
  }
  if (settings_.hasProcessQueues) {
    Enqueue(node.queue, node.frozenUntil, std::move(aFunction));
    return;
  }
  if (now_ >= node.frozenUntil) {
    aFunction();
    return;
  }
  ScheduleAt(
    node.frozenUntil,
    [this, aServer, agent = node.agent, function = std::move(aFunction)] {
      if (servers_[aServer].agent == agent) {
        RunOnAgent(aServer, function);
      }
    });
}

void
DispatchSimulation::RunOnEntry(unsigned aEntry, std::function<void()> aFunction)
{
  EntryNode& node = entries_[aEntry];
  if (!node.isUp) {
    return;
  }
  if (settings_.hasProcessQueues) {
    Enqueue(node.queue, node.frozenUntil, std::move(aFunction));
    return;
  }
  if (now_ >= node.frozenUntil) {
    aFunction();
    return;
  }
  ScheduleAt(node.frozenUntil,
             [this, aEntry, id = node.id, function = std::move(aFunction)] {
               if (entries_[aEntry].id == id) {
                 RunOnEntry(aEntry, function);
               }
             });
}

unsigned
DispatchSimulation::FindServer(const ProcessId& aAgent) const
{
  for (unsigned i = 0; i < servers_.size(); ++i) {
    if (servers_[i].agent == aAgent) {
      return i;
    }
  }
  return static_cast<unsigned>(servers_.size());
}

unsigned
DispatchSimulation::FindEntry(const ProcessId& aEntry) const
{
  for (unsigned i = 0; i < entries_.size(); ++i) {
    if (entries_[i].id == aEntry) {
      return i;
    }
  }
  return static_cast<unsigned>(entries_.size());
}

}
