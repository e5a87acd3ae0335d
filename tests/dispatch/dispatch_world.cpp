#include "dispatch/dispatch_world.h"

#include <algorithm>

#include <fmt/format.h>

namespace greengage::testing {

using namespace coordination;
using state::DispatchOutcome;
using state::DispatchResult;
using state::ProcessId;
using state::RunKey;
using state::TaskKey;

namespace {

constexpr Milliseconds kStep = 5;
constexpr Milliseconds kTick = 25;
constexpr Milliseconds kHeartbeat = 500;
constexpr Milliseconds kOrderTimeout = 60;
constexpr Milliseconds kRenewTimeout = 300;

}

DispatchWorld::DispatchWorld(const DispatchWorldSettings& aSettings)
  : settings_(aSettings)
  , random_(aSettings.seed)
  , entries_(aSettings.entries)
  , servers_(aSettings.servers)
  , fails_([](const TaskKey&, unsigned) { return false; })
{
  for (unsigned i = 0; i < settings_.servers; ++i) {
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
  Run(300);
}

DispatchWorld::~DispatchWorld() = default;

bool
DispatchWorld::Chance(double aShare)
{
  return std::uniform_real_distribution<>(0, 1)(random_) < aShare;
}

Milliseconds
DispatchWorld::Random(Milliseconds aFrom, Milliseconds aTo)
{
  return std::uniform_int_distribution<Milliseconds>(aFrom, aTo)(random_);
}

void
DispatchWorld::Trace(std::uint64_t aJob, std::string aText)
{
  traces_[aJob] += fmt::format("  {} ms: {}\n", now_, aText);
}

std::string
DispatchWorld::Trace(std::uint64_t aJob) const
{
  auto trace = traces_.find(aJob);
  return trace == traces_.end() ? std::string() : trace->second;
}

void
DispatchWorld::Fail(std::uint64_t aJob, std::string aMessage)
{
  failedJob_ = violations_.empty() ? aJob : failedJob_;
  violations_.push_back(fmt::format("{} ms: {}", now_, aMessage));
}

void
DispatchWorld::At(Milliseconds aTime, std::function<void()> aFunction)
{
  events_.emplace(std::max(aTime, now_), std::move(aFunction));
}

void
DispatchWorld::Run(Milliseconds aTime)
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
DispatchWorld::Tick()
{
  for (ServerNode& node : servers_) {
    node.server->Advance(now_);
  }
  if (now_ % kTick == 0) {
    for (unsigned i = 0; i < servers_.size(); ++i) {
      bool runs = servers_[i].agentUp && now_ >= servers_[i].frozenUntil;
      if (runs) {
        servers_[i].keeper->Tick();
      }
    }
    for (EntryNode& entry : entries_) {
      if (entry.up && now_ >= entry.frozenUntil) {
        entry.dispatcher->Tick();
      }
    }
  }
  At(now_ + kStep, [this] { Tick(); });
}

void
DispatchWorld::StartServer(unsigned aServer)
{
  FakeServer::Hooks hooks;
  hooks.began = [this, aServer](const RunKey& aRun) { OnBegan(aServer, aRun); };
  hooks.ended = [this, aServer](const RunKey& aRun, RunEndKind aKind) {
    OnEnded(aServer, aRun, aKind);
  };
  hooks.work = [this](const TaskKey& aTask) { return workOf_[aTask.job]; };
  hooks.fails = [this, aServer](const TaskKey& aTask) {
    return fails_(aTask, aServer);
  };
  double speed = settings_.speeds[aServer % settings_.speeds.size()];
  servers_[aServer].server =
    std::make_unique<FakeServer>(now_, speed, std::move(hooks));
  servers_[aServer].sequence = 0;
}

void
DispatchWorld::StartAgent(unsigned aServer)
{
  ServerNode& node = servers_[aServer];
  node.agent = { 2, nextProcess_++ };
  node.agentUp = true;
  node.frozenUntil = 0;
  node.keeper =
    std::make_unique<RunKeeper>(RunKeeperSettings{},
                                static_cast<std::uint64_t>(1'000'000 + now_),
                                clock_,
                                KeeperHooks(aServer));
  ProcessInfo agent;
  agent.id = node.agent;
  agent.role = ProcessRole::eAgent;
  agent.peerAddress = fmt::format("10.0.0.{}:1", aServer);
  for (EntryNode& entry : entries_) {
    if (entry.dispatcher) {
      entry.dispatcher->OnAgent(agent);
      node.keeper->OnEntry(entry.id, true);
    }
  }
}

void
DispatchWorld::StartEntry(unsigned aEntry)
{
  EntryNode& entry = entries_[aEntry];
  entry.id = { 1, nextProcess_++ };
  entry.up = true;
  entry.frozenUntil = 0;
  entry.submissions.clear();
  JobDispatcherHooks hooks;
  hooks.answer = [this, aEntry](SubmissionId aSubmission,
                                const DispatchOutcome& aOutcome) {
    OnAnswer(aEntry, aSubmission, aOutcome);
  };
  hooks.runEnded = [this, aEntry](const ProcessId&, const RunEnd& aEnd) {
    Trace(aEnd.run.task.job,
          fmt::format("entry {}: {} run {} ended: {}",
                      aEntry,
                      aEnd.run.task.index,
                      aEnd.run.run,
                      ToString(aEnd.kind)));
  };
  hooks.send = [this, aEntry](const ProcessId& aAgent,
                              const DispatchOrders& aOrders) {
    ToAgent(aEntry, aAgent, aOrders);
  };
  entry.dispatcher = std::make_unique<JobDispatcher>(
    JobDispatcherSettings{ "dc" }, clock_, std::move(hooks));
  for (unsigned i = 0; i < servers_.size(); ++i) {
    ProcessInfo agent;
    agent.id = servers_[i].agent;
    agent.role = ProcessRole::eAgent;
    agent.peerAddress = fmt::format("10.0.0.{}:1", i);
    entry.dispatcher->OnAgent(agent);
    if (servers_[i].agentUp) {
      servers_[i].keeper->OnEntry(entry.id, true);
    }
  }
}

void
DispatchWorld::Announce(unsigned aServer)
{
  ServerNode& node = servers_[aServer];
  auto announcement = node.server->Announce(++node.sequence, now_);
  announcement.draining = node.draining;
  OnAgent(aServer, [this, aServer, announcement] {
    servers_[aServer].keeper->OnAnnouncement(announcement);
  });
  At(now_ + kHeartbeat, [this, aServer] { Announce(aServer); });
}

void
DispatchWorld::OnAgent(unsigned aServer, std::function<void()> aFunction)
{
  ServerNode& node = servers_[aServer];
  if (!node.agentUp) {
    return;
  }
  if (now_ >= node.frozenUntil) {
    aFunction();
    return;
  }
  At(node.frozenUntil,
     [this, aServer, agent = node.agent, function = std::move(aFunction)] {
       if (servers_[aServer].agent == agent) {
         OnAgent(aServer, function);
       }
     });
}

void
DispatchWorld::OnEntry(unsigned aEntry, std::function<void()> aFunction)
{
  EntryNode& node = entries_[aEntry];
  if (!node.up) {
    return;
  }
  if (now_ >= node.frozenUntil) {
    aFunction();
    return;
  }
  At(node.frozenUntil,
     [this, aEntry, id = node.id, function = std::move(aFunction)] {
       if (entries_[aEntry].id == id) {
         OnEntry(aEntry, function);
       }
     });
}

unsigned
DispatchWorld::FindServer(const ProcessId& aAgent) const
{
  for (unsigned i = 0; i < servers_.size(); ++i) {
    if (servers_[i].agent == aAgent) {
      return i;
    }
  }
  return static_cast<unsigned>(servers_.size());
}

unsigned
DispatchWorld::FindEntry(const ProcessId& aEntry) const
{
  for (unsigned i = 0; i < entries_.size(); ++i) {
    if (entries_[i].id == aEntry) {
      return i;
    }
  }
  return static_cast<unsigned>(entries_.size());
}

void
DispatchWorld::ToAgent(unsigned aEntry,
                       const ProcessId& aAgent,
                       const DispatchOrders& aOrders)
{
  unsigned server = FindServer(aAgent);
  if (server == servers_.size()) {
    return;
  }
  Pair& pair = pairs_[{ aEntry, server }];
  if (now_ < pair.cutUntil) {
    return;
  }
  // One connection keeps the order of its messages.
  pair.lastArrival = std::max(pair.lastArrival, now_ + Random(1, 4));
  At(pair.lastArrival,
     [this,
      aEntry,
      server,
      entry = entries_[aEntry].id,
      aAgent,
      aOrders,
      connection = pair.connection] {
       bool lost = pairs_[{ aEntry, server }].connection != connection;
       if (!lost && servers_[server].agent == aAgent) {
         OnAgent(server, [this, server, entry, aOrders] {
           servers_[server].keeper->OnOrders(entry, aOrders);
         });
       }
     });
}

void
DispatchWorld::ToEntry(unsigned aServer,
                       const ProcessId& aEntry,
                       const ServerReport& aReport)
{
  unsigned entry = FindEntry(aEntry);
  if (entry == entries_.size()) {
    return;
  }
  Pair& pair = pairs_[{ entry, aServer }];
  if (now_ < pair.cutUntil) {
    return;
  }
  At(now_ + 3,
     [this,
      entry,
      aServer,
      aEntry,
      agent = servers_[aServer].agent,
      aReport,
      connection = pair.connection] {
       bool lost = pairs_[{ entry, aServer }].connection != connection;
       if (!lost && entries_[entry].id == aEntry) {
         OnEntry(entry, [this, entry, agent, aReport] {
           entries_[entry].dispatcher->OnReport(agent, aReport);
         });
       }
     });
}

RunKeeperHooks
DispatchWorld::KeeperHooks(unsigned aServer)
{
  RunKeeperHooks hooks;
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
    ToEntry(aServer, aEntry, aReport);
  };
  hooks.note = [this, aServer](const RunNote& aNote) {
    Trace(aNote.run.task.job,
          fmt::format("agent {}: {} {} run {}: {}",
                      aServer,
                      aNote.decision,
                      aNote.run.task.index,
                      aNote.run.run,
                      aNote.reason));
  };
  hooks.condition = [](ServerCondition, const std::string&) {};
  return hooks;
}

void
DispatchWorld::CallStart(unsigned aServer, const StartRunCall& aCall)
{
  ProcessId agent = servers_[aServer].agent;
  auto answer = [this, aServer, agent, run = aCall.run](StartAnswer aAnswer) {
    if (servers_[aServer].agent == agent) {
      OnAgent(aServer, [this, aServer, run, aAnswer] {
        servers_[aServer].keeper->OnStartAnswer(run, aAnswer);
      });
    }
  };
  if (IsMuted(aServer)) {
    At(now_ + kOrderTimeout, [answer] { answer(StartAnswer::eNoAnswer); });
    return;
  }
  bool late = Chance(settings_.lateOrders);
  bool lost = late || Chance(settings_.lostAnswers);
  At(now_ + (late ? Random(2000, 12'000) : 1),
     [this, aServer, aCall, answer, lost] {
       StartAnswer result = servers_[aServer].server->Start(aCall, now_);
       if (!lost) {
         answer(result);
       }
     });
  if (lost) {
    At(now_ + kOrderTimeout, [answer] { answer(StartAnswer::eNoAnswer); });
  }
}

void
DispatchWorld::CallStop(unsigned aServer, const StopRunCall& aCall)
{
  ProcessId agent = servers_[aServer].agent;
  auto answer = [this, aServer, agent, run = aCall.run](bool aAnswered) {
    if (servers_[aServer].agent == agent) {
      OnAgent(aServer, [this, aServer, run, aAnswered] {
        servers_[aServer].keeper->OnStopAnswer(run, aAnswered);
      });
    }
  };
  if (IsMuted(aServer)) {
    At(now_ + kOrderTimeout, [answer] { answer(false); });
    return;
  }
  bool late = Chance(settings_.lateOrders);
  bool lost = late || Chance(settings_.lostAnswers);
  At(now_ + (late ? Random(2000, 12'000) : 1),
     [this, aServer, aCall, answer, lost] {
       bool done = servers_[aServer].server->Stop(aCall, now_);
       if (!lost) {
         answer(done);
       }
     });
  if (lost) {
    At(now_ + kOrderTimeout, [answer] { answer(false); });
  }
}

void
DispatchWorld::CallRenew(unsigned aServer, const RenewCall& aCall)
{
  ProcessId agent = servers_[aServer].agent;
  if (IsMuted(aServer) || Chance(settings_.lostAnswers)) {
    At(now_ + aCall.wait.count() + kRenewTimeout,
       [this, aServer, agent, number = aCall.number] {
         if (servers_[aServer].agent == agent) {
           OnAgent(aServer, [this, aServer, number] {
             servers_[aServer].keeper->OnRenewFailed(number,
                                                     RenewFailure::eNoAnswer);
           });
         }
       });
    return;
  }
  At(now_ + 1, [this, aServer, agent, aCall] {
    if (servers_[aServer].server->Renew(aCall, now_)) {
      AnswerRenew(aServer, aCall, now_ + aCall.wait.count());
      return;
    }
    OnAgent(aServer, [this, aServer, agent, number = aCall.number] {
      if (servers_[aServer].agent == agent) {
        servers_[aServer].keeper->OnRenewFailed(number, RenewFailure::eFenced);
      }
    });
  });
}

void
DispatchWorld::AnswerRenew(unsigned aServer,
                           const RenewCall& aCall,
                           Milliseconds aUntil)
{
  FakeServer& server = *servers_[aServer].server;
  if (!server.HasEndsAfter(aCall.lastSeen) && now_ < aUntil) {
    At(now_ + kStep,
       [this, aServer, aCall, aUntil] { AnswerRenew(aServer, aCall, aUntil); });
    return;
  }
  OnAgent(aServer,
          [this, aServer, number = aCall.number, answer = server.List(now_)] {
            servers_[aServer].keeper->OnRenewAnswer(number, answer);
          });
}

std::size_t
DispatchWorld::Submit(unsigned aEntry,
                      std::uint64_t aJob,
                      unsigned aTasks,
                      double aWorkMs,
                      std::uint32_t aPriority)
{
  std::size_t number = submissions_.size();
  submissions_.push_back(
    { aJob, aTasks, now_, aEntry, std::nullopt, 0, !entries_[aEntry].up });
  workOf_[aJob] = aWorkMs;
  state::DispatchJob job;
  job.id = aJob;
  state::DispatchStep step;
  step.taskCount = aTasks;
  step.need = { 1000, 64, 0 };
  step.estimate = std::chrono::milliseconds(static_cast<int>(aWorkMs));
  job.steps.push_back(step);
  state::WorkQueue queue;
  queue.name = fmt::format("queue-{}", aPriority);
  queue.service = "portal";
  queue.priority = aPriority;
  queue.maxAttempts = 2;
  queue.objectiveStretch = 1.6;
  queue.objectiveMargin = std::chrono::milliseconds(60);
  OnEntry(aEntry, [this, aEntry, number, queue, job] {
    entries_[aEntry].submissions[number] = number;
    entries_[aEntry].dispatcher->Submit(
      number, queue, job, std::chrono::milliseconds(1500));
  });
  return number;
}

void
DispatchWorld::Abandon(std::size_t aSubmission)
{
  unsigned entry = submissions_[aSubmission].entry;
  submissions_[aSubmission].broken = true;
  OnEntry(entry, [this, entry, aSubmission] {
    entries_[entry].dispatcher->Abandon(aSubmission);
  });
}

void
DispatchWorld::OnAnswer(unsigned aEntry,
                        SubmissionId aSubmission,
                        const DispatchOutcome& aOutcome)
{
  SubmissionRecord& record = submissions_[aSubmission];
  if (record.outcome) {
    Fail(record.job, fmt::format("job {} is answered twice", record.job));
  }
  Trace(record.job,
        fmt::format("entry {} answers {} {}",
                    aEntry,
                    ToString(aOutcome.result),
                    ToString(aOutcome.reason)));
  record.outcome = aOutcome;
  record.answeredAt = now_;
  // An entry cannot know what ran for an attempt that broke at another one.
  auto attempts =
    std::count_if(submissions_.begin(),
                  submissions_.end(),
                  [&](const auto& aOther) { return aOther.job == record.job; });
  for (unsigned i = 0; i < record.tasks; ++i) {
    TaskKey task{ record.job, 0, i };
    if (aOutcome.result == DispatchResult::eCompleted &&
        !done_.contains(task)) {
      Fail(record.job,
           fmt::format("job {} is complete without task {}", record.job, i));
    }
    if (aOutcome.result == DispatchResult::eRejected && attempts == 1 &&
        begun_.contains(task)) {
      Fail(record.job,
           fmt::format("job {} is rejected, but task {} ran", record.job, i));
    }
  }
}

void
DispatchWorld::OnBegan(unsigned aServer, const RunKey& aRun)
{
  ++servers_[aServer].starts;
  Trace(
    aRun.task.job,
    fmt::format("{} run {} begins on {}", aRun.task.index, aRun.run, aServer));
  begun_.insert(aRun.task);
  auto& places = running_[aRun.task];
  places.insert(aServer);
  if (places.size() > 1) {
    Fail(aRun.task.job,
         fmt::format("task {:x}.{} runs {} times at a time (run {} on {})",
                     aRun.task.job,
                     aRun.task.index,
                     places.size(),
                     aRun.run,
                     aServer));
  }
}

void
DispatchWorld::OnEnded(unsigned aServer, const RunKey& aRun, RunEndKind aKind)
{
  Trace(aRun.task.job,
        fmt::format("{} run {} ends on {}: {}",
                    aRun.task.index,
                    aRun.run,
                    aServer,
                    ToString(aKind)));
  auto& places = running_[aRun.task];
  auto place = places.find(aServer);
  if (place != places.end()) {
    places.erase(place);
  }
  if (aKind == RunEndKind::eDone) {
    done_.insert(aRun.task);
  }
}

void
DispatchWorld::SetFails(std::function<bool(const TaskKey&, unsigned)> aFails)
{
  fails_ = std::move(aFails);
}

void
DispatchWorld::FreezeEntry(unsigned aEntry, Milliseconds aTime)
{
  entries_[aEntry].frozenUntil =
    std::max(entries_[aEntry].frozenUntil, now_ + aTime);
}

void
DispatchWorld::KillEntry(unsigned aEntry, Milliseconds aDownTime)
{
  EntryNode& entry = entries_[aEntry];
  if (!entry.up) {
    return;
  }
  entry.up = false;
  ProcessId old = entry.id;
  for (SubmissionRecord& record : submissions_) {
    if (record.entry == aEntry && !record.outcome) {
      record.broken = true;
    }
  }
  for (unsigned i = 0; i < servers_.size(); ++i) {
    ResetConnection(aEntry, i);
  }
  At(now_ + aDownTime, [this, aEntry, old] {
    StartEntry(aEntry);
    for (unsigned i = 0; i < servers_.size(); ++i) {
      OnAgent(i, [this, i, old] { servers_[i].keeper->OnEntryGone(old); });
    }
  });
}

void
DispatchWorld::FreezeAgent(unsigned aServer, Milliseconds aTime)
{
  servers_[aServer].frozenUntil =
    std::max(servers_[aServer].frozenUntil, now_ + aTime);
}

void
DispatchWorld::KillAgent(unsigned aServer, Milliseconds aDownTime)
{
  ServerNode& node = servers_[aServer];
  if (!node.agentUp) {
    return;
  }
  node.agentUp = false;
  ProcessId old = node.agent;
  for (unsigned i = 0; i < entries_.size(); ++i) {
    ResetConnection(i, aServer);
    OnEntry(i, [this, i, old] { entries_[i].dispatcher->OnAgentGone(old); });
  }
  At(now_ + aDownTime, [this, aServer] { StartAgent(aServer); });
}

void
DispatchWorld::CrashServer(unsigned aServer)
{
  servers_[aServer].server->Crash();
  StartServer(aServer);
}

void
DispatchWorld::Cut(unsigned aEntry, unsigned aServer, Milliseconds aTime)
{
  Pair& pair = pairs_[{ aEntry, aServer }];
  pair.cutUntil = std::max(pair.cutUntil, now_ + aTime);
  At(pair.cutUntil,
     [this, aEntry, aServer] { ResetConnection(aEntry, aServer); });
}

void
DispatchWorld::ResetConnection(unsigned aEntry, unsigned aServer)
{
  ++pairs_[{ aEntry, aServer }].connection;
  OnEntry(aEntry, [this, aEntry, agent = servers_[aServer].agent] {
    entries_[aEntry].dispatcher->OnAgentDisconnected(agent);
  });
}

void
DispatchWorld::ForgetAgent(unsigned aEntry, unsigned aServer)
{
  JobDispatcher& dispatcher = *entries_[aEntry].dispatcher;
  ProcessInfo agent;
  agent.id = servers_[aServer].agent;
  agent.role = ProcessRole::eAgent;
  agent.peerAddress = fmt::format("10.0.0.{}:1", aServer);
  dispatcher.OnAgentGone(agent.id);
  dispatcher.OnAgent(agent);
}

void
DispatchWorld::DrainServer(unsigned aServer)
{
  servers_[aServer].draining = true;
}

}
