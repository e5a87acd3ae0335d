#include "policy/admission_simulation.h"

#include <cmath>
#include <utility>

namespace greengage::policy {

using coordination::RunEnd;
using coordination::RunEndKind;
using state::RunKey;

namespace {

constexpr double kMessageSeconds = 0.0015;
constexpr double kTickSeconds = 0.025;
/** Callers submit again this long after a broken attempt. */
constexpr double kRetryAfterFailureSeconds = 1.3;
/** Parameters of all queues. */
constexpr double kStretch = 1.6;
constexpr double kMarginSeconds = 0.06;
constexpr int kUsefulObjectives = 3;
/** Standard deviation of log(run time) of the tasks of one job. */
constexpr double kTaskDeviation = 0.1;
/** Time after the last arrival in which all jobs end. */
constexpr double kDrainSeconds = 40;

std::chrono::milliseconds
ToMs(double aSeconds)
{
  return std::chrono::milliseconds(
    std::max<std::int64_t>(1, std::llround(aSeconds * 1000)));
}

state::WorkQueue
QueueOf(std::size_t aKind, const AdmissionKind& aSettings)
{
  state::WorkQueue queue;
  queue.name = "kind-" + std::to_string(aKind);
  queue.service = "pool";
  queue.priority = aSettings.priority;
  queue.maxAttempts = 3;
  queue.objectiveStretch = kStretch;
  queue.objectiveMargin = ToMs(kMarginSeconds);
  return queue;
}

}

AdmissionSimulation::AdmissionSimulation(
  const AdmissionLoad& aLoad,
  const coordination::JobDispatcherSettings& aSettings)
  : load_(aLoad)
  , kinds_(AdmissionKinds(aLoad))
  , random_(aLoad.seed)
  , servers_(aLoad.servers)
  , wasTakenAway_(aLoad.servers)
{
  for (std::size_t i = 0; i < aLoad.entries; ++i) {
    entries_.push_back(std::make_unique<coordination::JobDispatcher>(
      aSettings, clock_, HooksOf(i)));
    for (std::size_t server = 0; server < aLoad.servers; ++server) {
      coordination::ProcessInfo agent;
      agent.id = { 1, server };
      agent.role = coordination::ProcessRole::eAgent;
      agent.dataCentre = aSettings.dataCentre;
      agent.peerAddress = "10.0.0." + std::to_string(server) + ":7720";
      entries_[i]->OnAgent(agent);
      Report(i, server, {});
    }
  }
}

coordination::JobDispatcherHooks
AdmissionSimulation::HooksOf(std::size_t aEntry)
{
  coordination::JobDispatcherHooks hooks;
  hooks.answer = [this](coordination::SubmissionId aSubmission,
                        const state::DispatchOutcome& aOutcome) {
    OnAnswer(aSubmission, aOutcome);
  };
  hooks.send = [this, aEntry](const state::ProcessId& aAgent,
                              coordination::DispatchOrders aOrders) {
    At(clock_.Now() + kMessageSeconds,
       [this, aEntry, aAgent, orders = std::move(aOrders)] {
         OnOrders(aEntry, ServerOf(aAgent), orders);
       });
  };
  return hooks;
}

std::size_t
AdmissionSimulation::ServerOf(const state::ProcessId& aAgent) const
{
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (aAgent == state::ProcessId{ 1, i }) {
      return i;
    }
  }
  return servers_.size();
}

void
AdmissionSimulation::At(double aTime, std::function<void()> aFunction)
{
  events_.push({ aTime, ++lastEvent_, std::move(aFunction) });
}

std::vector<AdmissionAttempt>
AdmissionSimulation::Run(const std::vector<AdmissionArrival>& aArrivals,
                         bool aRetry)
{
  arrivals_ = &aArrivals;
  retry_ = aRetry;
  for (std::size_t i = 0; i < aArrivals.size(); ++i) {
    At(aArrivals[i].at, [this, i] { Submit(i, 0); });
  }
  At(0, [this] { Tick(); });
  while (!events_.empty()) {
    Event event = events_.top();
    events_.pop();
    clock_.Set(event.time);
    event.function();
  }
  return attempts_;
}

void
AdmissionSimulation::Tick()
{
  TickServers();
  for (auto& entry : entries_) {
    entry->Tick();
  }
  if (clock_.Now() < load_.seconds + kDrainSeconds) {
    At(clock_.Now() + kTickSeconds, [this] { Tick(); });
  }
}

void
AdmissionSimulation::TickServers()
{
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    bool takenAway = IsTakenAway(load_, i, clock_.Now());
    bool changed = servers_[i].isChanged || takenAway != wasTakenAway_[i];
    wasTakenAway_[i] = takenAway;
    servers_[i].isChanged = false;
    // Agents repeat their description every 3 s; here they do it more often.
    bool repeats = std::fmod(clock_.Now(), 1) < kTickSeconds;
    for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
      if (changed || repeats) {
        Report(entry, i, {});
      }
    }
  }
}

void
AdmissionSimulation::Submit(std::size_t aArrival, std::size_t aNumber)
{
  const AdmissionArrival& arrival = (*arrivals_)[aArrival];
  const AdmissionKind& kind = kinds_[arrival.kind];
  std::size_t entry =
    aNumber == 0 ? arrival.entry : random_() % entries_.size();
  AdmissionAttempt attempt{ aArrival, aNumber, clock_.Now() };
  attempts_.push_back(attempt);
  state::DispatchJob job;
  job.id = state::DispatchJobId(aArrival + 1);
  state::DispatchStep step;
  step.taskCount = kind.tasks;
  step.need = { kCoresPerTaskMillicores, 100, 0 };
  step.estimate = ToMs(arrival.estimateSeconds);
  job.steps = { step };
  entries_[entry]->Submit(attempts_.size() - 1,
                          QueueOf(arrival.kind, kind),
                          job,
                          ToMs(arrival.patienceSeconds));
}

void
AdmissionSimulation::OnAnswer(std::size_t aAttempt,
                              const state::DispatchOutcome& aOutcome)
{
  AdmissionAttempt& attempt = attempts_[aAttempt];
  const AdmissionArrival& arrival = (*arrivals_)[attempt.arrival];
  attempt.answeredAt = clock_.Now();
  attempt.rejected = aOutcome.result == state::DispatchResult::eRejected;
  double useful =
    kUsefulObjectives * (kStretch * arrival.runSeconds + kMarginSeconds);
  attempt.served = aOutcome.result == state::DispatchResult::eCompleted &&
                   attempt.answeredAt - attempt.submittedAt <= useful;
  if (aOutcome.result == state::DispatchResult::eCompleted || !retry_) {
    return;
  }
  double delay = kRetryAfterFailureSeconds;
  if (attempt.rejected) {
    double seconds = static_cast<double>(aOutcome.retryAfter.count()) / 1000;
    attempt.retryAfterSeconds = std::max(1.0, std::ceil(seconds));
    delay = attempt.retryAfterSeconds;
  }
  if (clock_.Now() + delay > arrival.at + arrival.patienceSeconds) {
    return;
  }
  std::size_t number = attempt.number + 1;
  At(clock_.Now() + delay,
     [this, subject = attempt.arrival, number] { Submit(subject, number); });
}

void
AdmissionSimulation::OnOrders(std::size_t aEntry,
                              std::size_t aServer,
                              const coordination::DispatchOrders& aOrders)
{
  for (const RunKey& run : aOrders.stops) {
    EndRun(aEntry, aServer, run, RunEndKind::eStopped);
  }
  for (const coordination::RunBatch& batch : aOrders.starts) {
    for (const coordination::RunOrder& order : batch.runs) {
      Start(aEntry, aServer, batch, order);
    }
  }
}

double
AdmissionSimulation::RunSeconds(std::size_t aServer, const RunKey& aRun) const
{
  const AdmissionArrival& arrival = (*arrivals_)[aRun.task.job.Number() - 1];
  // The same task takes as long in each attempt and with each rule.
  std::seed_seq seed{ aRun.task.job.Number(),
                      std::uint64_t(aRun.task.index),
                      std::uint64_t(load_.seed) };
  std::mt19937 random(seed);
  std::normal_distribution<double> normal(0, kTaskDeviation);
  return arrival.runSeconds * std::exp(normal(random)) /
         AdmissionSpeed(aServer);
}

void
AdmissionSimulation::Start(std::size_t aEntry,
                           std::size_t aServer,
                           const coordination::RunBatch& aBatch,
                           const coordination::RunOrder& aOrder)
{
  Server& server = servers_[aServer];
  RunKey run{ { aBatch.job, aBatch.step, aOrder.index }, aOrder.run };
  state::ResourceAmount capacity{ AdmissionMillicores(aServer), 32'768, 0 };
  if (IsTakenAway(load_, aServer, clock_.Now())) {
    Report(aEntry, aServer, { { run, RunEndKind::eRefused, 0 } });
    return;
  }
  if (!Fits(aBatch.need, capacity - server.used)) {
    Report(aEntry, aServer, { { run, RunEndKind::eNoFreeCapacity, 0 } });
    return;
  }
  server.runs[{ aEntry, run }] = { aEntry, aBatch.need, clock_.Now() };
  server.used = server.used + aBatch.need;
  server.isChanged = true;
  At(clock_.Now() + RunSeconds(aServer, run), [this, aEntry, aServer, run] {
    if (servers_[aServer].runs.contains({ aEntry, run })) {
      EndRun(aEntry, aServer, run, RunEndKind::eDone);
    }
  });
}

void
AdmissionSimulation::EndRun(std::size_t aEntry,
                            std::size_t aServer,
                            const RunKey& aRun,
                            RunEndKind aKind)
{
  Server& server = servers_[aServer];
  auto found = server.runs.find({ aEntry, aRun });
  std::uint32_t ranMs = 0;
  if (found != server.runs.end()) {
    double ran = clock_.Now() - found->second.startedAt;
    ranMs = static_cast<std::uint32_t>(std::lround(ran * 1000));
    server.used = server.used - found->second.need;
    server.runs.erase(found);
    server.isChanged = true;
  }
  Report(aEntry, aServer, { { aRun, aKind, ranMs } });
}

void
AdmissionSimulation::Report(std::size_t aEntry,
                            std::size_t aServer,
                            std::vector<RunEnd> aEnds)
{
  coordination::ServerReport report;
  report.description = coordination::ServerDescription{
    "server-" + std::to_string(aServer),
    "pool",
    {},
    { AdmissionMillicores(aServer), 32'768, 0 }
  };
  report.condition = IsTakenAway(load_, aServer, clock_.Now())
                       ? coordination::ServerCondition::eDraining
                       : coordination::ServerCondition::eReady;
  for (const auto& [key, run] : servers_[aServer].runs) {
    if (run.entry != aEntry) {
      report.usedByOthers = report.usedByOthers + run.need;
    }
  }
  report.ends = std::move(aEnds);
  At(clock_.Now() + kMessageSeconds,
     [this, aEntry, aServer, report = std::move(report)] {
       entries_[aEntry]->OnReport({ 1, aServer }, report);
     });
}

}
