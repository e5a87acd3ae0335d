#include "coordination/dispatch/task_placer.h"

#include <algorithm>

namespace greengage::coordination {

using state::RunKey;

namespace {

/** The agent sends a forecast above this multiple of the expected time. */
constexpr double kForecastFactor = 2;
/**
 * Divisor of the time that a job can wait. During this first part of the time,
 * the job starts only if all tasks of a ready step can start.
 */
constexpr int kWholeStartDivisor = 3;

}

TaskPlacer::TaskPlacer(ServerPool& aServers,
                       OrderQueue& aOrders,
                       const CrashHistory& aCrashHistory,
                       const HoldTable& aHolds,
                       double aRemoteRackFactor,
                       const state::Clock& aClock)
  : servers_(aServers)
  , orders_(aOrders)
  , crashHistory_(aCrashHistory)
  , holds_(aHolds)
  , remoteRackFactor_(aRemoteRackFactor)
  , clock_(aClock)
{
}

PlacementRequest
TaskPlacer::RequestFor(const DispatchedJob& aJob,
                       std::size_t aStep,
                       const DispatchedTask* aTask) const
{
  return MakePlacementRequest(
    aJob, aStep, aTask, remoteRackFactor_, clock_.MonotonicNow());
}

bool
TaskPlacer::PlaceJob(DispatchedJob& aJob)
{
  bool placed = true;
  for (std::size_t i = 0; i < aJob.steps.size(); ++i) {
    if (aJob.steps[i].waiting == 0) {
      continue;
    }
    ++searches_;
    if (IsReady(aJob, aJob.spec.steps[i])) {
      placed = PlaceStep(aJob, i) && placed;
    }
  }
  return placed;
}

bool
TaskPlacer::PlaceStep(DispatchedJob& aJob, std::size_t aStep)
{
  DispatchedStep& step = aJob.steps[aStep];
  std::uint32_t waiting = step.waiting;
  auto places = ReservePlaces(aJob, aStep);
  bool all = places.size() == waiting;
  auto wholeStartTime =
    (aJob.latestStart - aJob.submittedAt) / kWholeStartDivisor;
  bool mustStartWhole =
    clock_.MonotonicNow() < aJob.submittedAt + wholeStartTime;
  if (!all && !aJob.started && mustStartWhole) {
    // A partly started job would occupy capacity while the rest waits.
    for (const auto& [index, placement] : places) {
      CancelReservation(aJob, aStep, index);
    }
    return false;
  }
  for (const auto& [index, placement] : places) {
    Start(aJob, aStep, index, placement);
  }
  return all;
}

TaskPlacer::Places
TaskPlacer::ReservePlaces(DispatchedJob& aJob, std::size_t aStep)
{
  DispatchedStep& step = aJob.steps[aStep];
  const PlacementRequest unknownWork = RequestFor(aJob, aStep);
  auto now = clock_.MonotonicNow();
  // All tasks without known progress have the same requirements, except for
  // suspects.
  bool unknownHasPlace = true;
  const bool mayBeSpecial = aJob.runs > 0 || !crashHistory_.IsEmpty();
  Places places;
  for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
    const DispatchedTask& task = step.tasks[index];
    if (task.phase != TaskPhase::eWaiting) {
      continue;
    }
    state::TaskKey key = KeyOf(aJob, aStep, index).task;
    if (IsHeld(holds_, key, now)) {
      continue;
    }
    bool isSuspect = crashHistory_.Attributed(key) > 0;
    bool special = task.workMs > 0 || isSuspect;
    if (!special && !unknownHasPlace) {
      if (!mayBeSpecial) {
        break;
      }
      continue;
    }
    PlacementRequest request =
      special ? RequestFor(aJob, aStep, &task) : unknownWork;
    request.isSuspect = isSuspect;
    auto placement =
      FindPlace(step, request, aJob.spec.steps[aStep].maxPerServer);
    if (!placement) {
      unknownHasPlace = unknownHasPlace && special;
      continue;
    }
    Reserve(aJob, aStep, index, *placement);
    places.emplace_back(index, *placement);
  }
  return places;
}

std::optional<Placement>
TaskPlacer::FindPlace(const DispatchedStep& aStep,
                      const PlacementRequest& aRequest,
                      std::uint32_t aMaxPerServer)
{
  ++searches_;
  auto placement = servers_.Choose(aRequest, aStep.runsByServer, aMaxPerServer);
  if (!placement || placement->meetsObjective || aRequest.objectiveMs <= 0) {
    return placement;
  }
  auto shortest = servers_.ShortestRunTime(aRequest);
  if (shortest && *shortest <= aRequest.objectiveMs) {
    // A server that meets the objective may have free capacity in time.
    return std::nullopt;
  }
  return placement;
}

void
TaskPlacer::Reserve(DispatchedJob& aJob,
                    std::size_t aStep,
                    std::uint32_t aIndex,
                    const Placement& aPlacement)
{
  DispatchedStep& step = aJob.steps[aStep];
  DispatchedTask& task = step.tasks[aIndex];
  ++task.run;
  task.server = aPlacement.server;
  --step.waiting;
  ++step.runsByServer[aPlacement.server];
  RunKey run = KeyOf(aJob, aStep, aIndex);
  servers_.OnRunSent(aPlacement.server,
                     run,
                     aJob.spec.steps[aStep].need,
                     crashHistory_.Attributed(run.task) > 0);
}

void
TaskPlacer::CancelReservation(DispatchedJob& aJob,
                              std::size_t aStep,
                              std::uint32_t aIndex)
{
  DispatchedStep& step = aJob.steps[aStep];
  DispatchedTask& task = step.tasks[aIndex];
  servers_.OnRunEnded(task.server, KeyOf(aJob, aStep, aIndex));
  --step.runsByServer[task.server];
  ++step.waiting;
  --task.run;
}

void
TaskPlacer::Start(DispatchedJob& aJob,
                  std::size_t aStep,
                  std::uint32_t aIndex,
                  const Placement& aPlacement)
{
  DispatchedTask& task = aJob.steps[aStep].tasks[aIndex];
  auto now = clock_.MonotonicNow();
  task.phase = TaskPhase::eRunning;
  task.sentAt = now;
  task.expectedMs = aPlacement.runTimeMs;
  task.isOverdue = false;
  if (!aJob.started) {
    aJob.started = true;
    aJob.firstRunAt = now;
  }
  ++aJob.runs;
  // An unnecessary forecast costs only one message, so the shortest limit of
  // the tasks in a batch applies to all of them.
  double limit = std::min(UsableTimeMs(aJob, now),
                          kForecastFactor * aPlacement.runTimeMs + kMoveMs);
  auto limitMs = static_cast<std::uint32_t>(std::max(1.0, limit));
  RunBatch& batch = orders_.BatchFor(
    aPlacement.server, aJob.spec.id, static_cast<std::uint32_t>(aStep));
  if (batch.runs.empty()) {
    batch.need = aJob.spec.steps[aStep].need;
    batch.payload = aJob.spec.payload;
    batch.queue = aJob.queue.name;
    batch.limitMs = limitMs;
  }
  batch.limitMs = std::min(batch.limitMs, limitMs);
  RunKey run = KeyOf(aJob, aStep, aIndex);
  batch.runs.push_back(
    { aIndex, task.run, crashHistory_.Attributed(run.task) });
}

}
