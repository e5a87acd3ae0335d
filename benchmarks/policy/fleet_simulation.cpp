#include "policy/fleet_simulation.h"

#include <set>

namespace greengage::policy {

using coordination::TaskRef;
using state::RefusalCode;
using state::TaskState;

namespace {

constexpr double kTickSeconds = 0.05;
// Time until the owner learns through gossip that an agent which refuses starts
// is draining.
constexpr double kGossipDelaySeconds = 0.5;

coordination::ProcessInfo
InfoOf(std::size_t aServer, const FleetServer& aFleetServer)
{
  coordination::ProcessInfo info;
  info.id = { 1, aServer };
  info.role = coordination::ProcessRole::eAgent;
  info.slots = aFleetServer.slots;
  return info;
}

std::chrono::microseconds
Microseconds(double aSeconds)
{
  return std::chrono::microseconds(static_cast<std::int64_t>(aSeconds * 1e6));
}

}

FleetSimulation::FleetSimulation(std::vector<FleetServer> aFleet,
                                 MeasurementWindow aWindow,
                                 SimulationHooks aHooks,
                                 coordination::SchedulerSettings aSettings)
  : fleet_(std::move(aFleet))
  , window_(aWindow)
  , hooks_(std::move(aHooks))
  , scheduler_(clock_, aSettings)
{
  counters_.startsByServer.resize(fleet_.size());
  for (std::size_t i = 0; i < fleet_.size(); ++i) {
    scheduler_.SetServer(InfoOf(i, fleet_[i]));
  }
  for (const WorkKind& kind : WorkKinds()) {
    auto declared = std::chrono::milliseconds(
      static_cast<std::int64_t>(kind.meanWork * kind.declaredFactor * 1000));
    state::WorkTemplate::Builder builder;
    builder.SetName(kind.name).SetExpectedRunTime(declared);
    scheduler_.SetTemplate(*builder.Build());
  }
}

FleetSimulation::~FleetSimulation() = default;

void
FleetSimulation::SetOrganisation(
  const state::OrganisationParameters& aParameters)
{
  scheduler_.SetOrganisation(aParameters);
}

std::vector<JobResult>
FleetSimulation::Run(const std::vector<Arrival>& aArrivals)
{
  arrivals_ = &aArrivals;
  jobs_.resize(aArrivals.size());
  results_.resize(aArrivals.size());
  for (std::size_t i = 0; i < aArrivals.size(); ++i) {
    Schedule(aArrivals[i].time, EventKind::eArrival, i);
    double cancel = hooks_.cancelAt ? hooks_.cancelAt(i) : -1;
    if (cancel >= 0) {
      Schedule(cancel, EventKind::eCancel, i);
    }
  }
  Schedule(0, EventKind::eTick, 0);
  while (!events_.empty()) {
    double time = events_.top().time;
    clock_.Set(time);
    // Handles simultaneous events as one batch, as the owner does.
    while (!events_.empty() && events_.top().time == time) {
      Event event = events_.top();
      events_.pop();
      pendingEvents_ -= event.kind == EventKind::eTick ? 0 : 1;
      Handle(event);
    }
    Dispatch();
  }
  return results_;
}

void
FleetSimulation::Schedule(double aTime, EventKind aKind, std::size_t aSubject)
{
  events_.push({ aTime, ++lastEventNumber_, aKind, aSubject });
  pendingEvents_ += aKind == EventKind::eTick ? 0 : 1;
}

void
FleetSimulation::Handle(const Event& aEvent)
{
  switch (aEvent.kind) {
    case EventKind::eArrival:
      OnArrival(aEvent.subject);
      return;
    case EventKind::eStartAtServer:
      OnStartAtServer(aEvent.subject);
      return;
    case EventKind::eResultAtOwner:
      OnResult(aEvent.subject);
      return;
    case EventKind::eCancel:
      OnCancel(aEvent.subject);
      return;
    case EventKind::eCancelAtServer:
      OnCancelAtServer(aEvent.subject);
      return;
    case EventKind::eTick:
      if (pendingEvents_ > 0 || scheduler_.QueuedTasks() > 0) {
        Schedule(clock_.Now() + kTickSeconds, EventKind::eTick, 0);
      }
      for (std::size_t i = 0; hooks_.refusesStarts && i < fleet_.size(); ++i) {
        double gossipTime = clock_.Now() - kGossipDelaySeconds;
        coordination::ProcessInfo info = InfoOf(i, fleet_[i]);
        info.draining = hooks_.refusesStarts(i, gossipTime);
        bool wasDraining = hooks_.refusesStarts(i, gossipTime - kTickSeconds);
        if (info.draining != wasDraining) {
          scheduler_.SetServer(info);
        }
      }
      return;
  }
}

state::JobSpec
FleetSimulation::SpecOf(const Arrival& aArrival) const
{
  state::JobSpec::Builder builder;
  builder.SetKey({ aArrival.organisation, state::JobId::FromWords(0x7000, 1) });
  builder.SetTemplateName(WorkKinds()[aArrival.kind].name);
  builder.SetUrgency(aArrival.urgency);
  for (const TaskSize& task : aArrival.tasks) {
    std::string payload(task.payloadBytes, '1');
    builder.AddPayload(std::move(payload));
  }
  return *builder.Build();
}

void
FleetSimulation::OnArrival(std::size_t aArrival)
{
  const Arrival& arrival = (*arrivals_)[aArrival];
  state::JobSpec spec = SpecOf(arrival);
  auto admitted = scheduler_.Admit(spec);
  if (!admitted) {
    jobs_[aArrival].ended = true;
    results_[aArrival].code = admitted.error().code;
    results_[aArrival].endedAt = clock_.Now();
    return;
  }
  Job& job = jobs_[aArrival];
  job.unfinishedTasks = arrival.tasks.size();
  job.submitted = true;
  job.starts.resize(arrival.tasks.size());
  std::vector<TaskRef> tasks;
  for (std::uint32_t i = 0; i < arrival.tasks.size(); ++i) {
    tasks.push_back({ aArrival, i, 0 });
  }
  auto deadline = clock_.MonotonicNow() + spec.Deadline();
  scheduler_.Enqueue(aArrival, spec, tasks, deadline);
}

void
FleetSimulation::Dispatch()
{
  for (const auto& assignment : scheduler_.Assign()) {
    TaskRun run;
    run.task = assignment.task;
    run.server = assignment.agent.low;
    Job& job = jobs_[run.task.job];
    ++counters_.starts;
    ++counters_.startsByServer[run.server];
    counters_.duplicateStarts += job.starts[run.task.task]++ > 0 ? 1 : 0;
    counters_.startsAfterCancel += job.ended ? 1 : 0;
    if (hooks_.cancelAt) {
      runsOfJob_[run.task.job].push_back(runs_.size());
    }
    runs_.push_back(std::move(run));
    Schedule(clock_.Now() + kMessageDelay,
             EventKind::eStartAtServer,
             runs_.size() - 1);
  }
}

void
FleetSimulation::OnStartAtServer(std::size_t aRun)
{
  TaskRun& run = runs_[aRun];
  double now = clock_.Now();
  if (hooks_.refusesStarts && hooks_.refusesStarts(run.server, now)) {
    run.record.code = RefusalCode::eDraining;
    Schedule(now + kMessageDelay, EventKind::eResultAtOwner, aRun);
    return;
  }
  const Arrival& arrival = (*arrivals_)[run.task.job];
  double work = arrival.tasks[run.task.task].work;
  RunPlan plan{ work / fleet_[run.server].speed, false };
  if (hooks_.plan) {
    plan = hooks_.plan(run.server, work, now);
  }
  run.startedAt = now;
  run.endsAt = now + plan.seconds;
  run.record.taskState =
    plan.fails ? TaskState::eFailed : TaskState::eSucceeded;
  run.record.code = plan.fails ? RefusalCode::eTaskFailed : RefusalCode::eNone;
  run.record.runTime = Microseconds(plan.seconds);
  Schedule(run.endsAt + kMessageDelay, EventKind::eResultAtOwner, aRun);
}

void
FleetSimulation::OnResult(std::size_t aRun)
{
  TaskRun& run = runs_[aRun];
  if (run.reported) {
    return;
  }
  run.reported = true;
  AddBusySeconds(run);
  scheduler_.OnTaskEnded({ 1, run.server }, run.task, run.record);
  Job& job = jobs_[run.task.job];
  bool refused = run.record.taskState == TaskState::eNotStarted;
  counters_.refusedStarts += refused ? 1 : 0;
  if (job.ended) {
    // The result of a cancelled task confirms the cancellation, so it does not
    // count as wasted.
    bool cancelled = run.record.code == RefusalCode::eCancelled;
    counters_.lateResults += refused || cancelled ? 0 : 1;
    return;
  }
  if (refused) {
    --job.starts[run.task.task];
    state::JobSpec spec = SpecOf((*arrivals_)[run.task.job]);
    auto arrived = Microseconds((*arrivals_)[run.task.job].time);
    auto deadline = state::MonotonicTime(arrived) + spec.Deadline();
    scheduler_.Enqueue(run.task.job, spec, { run.task }, deadline);
    return;
  }
  if (run.record.taskState == TaskState::eFailed) {
    EndJob(run.task.job, run.record.code);
    return;
  }
  if (--job.unfinishedTasks == 0) {
    EndJob(run.task.job, RefusalCode::eNone);
  }
}

void
FleetSimulation::OnCancel(std::size_t aArrival)
{
  if (!jobs_[aArrival].ended && jobs_[aArrival].submitted) {
    EndJob(aArrival, RefusalCode::eCancelled);
  }
}

void
FleetSimulation::EndJob(std::size_t aArrival, RefusalCode aCode)
{
  jobs_[aArrival].ended = true;
  JobResult& result = results_[aArrival];
  result.endedAt = clock_.Now();
  result.responseSeconds = clock_.Now() - (*arrivals_)[aArrival].time;
  result.complete = aCode == RefusalCode::eNone;
  result.code = aCode;
  scheduler_.DropQueued(aArrival);
  if (aCode == RefusalCode::eCancelled) {
    CancelRuns(aArrival);
  }
}

void
FleetSimulation::CancelRuns(std::size_t aArrival)
{
  std::set<std::size_t> servers;
  for (std::size_t run : runsOfJob_[aArrival]) {
    if (!runs_[run].reported) {
      servers.insert(runs_[run].server);
      Schedule(clock_.Now() + kMessageDelay, EventKind::eCancelAtServer, run);
    }
  }
  counters_.cancelMessages += servers.size();
}

void
FleetSimulation::OnCancelAtServer(std::size_t aRun)
{
  TaskRun& run = runs_[aRun];
  double now = clock_.Now();
  if (run.reported || run.endsAt <= now) {
    return;
  }
  run.endsAt = now;
  run.record.taskState = TaskState::eFailed;
  run.record.code = RefusalCode::eCancelled;
  Schedule(now + kMessageDelay, EventKind::eResultAtOwner, aRun);
}

void
FleetSimulation::AddBusySeconds(const TaskRun& aRun)
{
  double from = std::max(aRun.startedAt, window_.start);
  double to = std::min(aRun.endsAt, window_.end);
  if (aRun.startedAt >= 0 && to > from) {
    counters_.busySeconds += to - from;
  }
}

}
