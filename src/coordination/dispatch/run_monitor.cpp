#include "coordination/dispatch/run_monitor.h"

#include <algorithm>
#include <cmath>

namespace greengage::coordination {

namespace {

/** Larger deviations from the estimate are attributed to the server. */
constexpr double kLargestWorkFactor = 4;
/**
 * A run with a forecast above this multiple of the expected time hangs: no task
 * is that long, and no working server is that slow.
 */
constexpr double kHangFactor = 20;
/** Moves are limited because each one restarts the task from the beginning. */
constexpr std::uint32_t kMaxMoves = 2;
/** A speed is lowered if the unexplained run time exceeds this factor. */
constexpr double kSlowServerFactor = 1.3;
/**
 * A run is overdue after this multiple of its expected time, which doubles with
 * each run of the task that was overdue: if the expected time is far too short,
 * the task would otherwise be stopped again and again and never end ...
 */
constexpr double kOverdueFactor = 2.2;
/** ... plus this, so that a late message does not stop short tasks. */
constexpr double kOverdueMs = 40;

}

RunMonitor::RunMonitor(ServerPool& aServers,
                       const TaskPlacer& aPlacer,
                       const state::Clock& aClock)
  : servers_(aServers)
  , placer_(aPlacer)
  , clock_(aClock)
{
}

RunAction
RunMonitor::OnForecast(DispatchedJob& aJob,
                       std::size_t aStep,
                       DispatchedTask& aTask,
                       double aRunTimeMs)
{
  if (aRunTimeMs > kHangFactor * aTask.expectedMs && aTask.workMs == 0) {
    return OnHang(aJob, aStep, aTask);
  }
  aTask.workMs = WorkFromForecast(aJob, aStep, aTask, aRunTimeMs);
  // The run makes progress, so it is only overdue beyond its forecast.
  aTask.expectedMs = std::max(aTask.expectedMs, aRunTimeMs);
  return DecideAction(aJob, aStep, aTask);
}

RunAction
RunMonitor::Recheck(const DispatchedJob& aJob,
                    std::size_t aStep,
                    DispatchedTask& aTask)
{
  bool hasForecast = aTask.phase == TaskPhase::eRunning && aTask.workMs > 0;
  auto now = clock_.MonotonicNow();
  double left = aTask.expectedMs - MillisecondsBetween(aTask.sentAt, now);
  if (!hasForecast || left <= UsableTimeMs(aJob, now)) {
    return RunAction::eKeep;
  }
  return DecideAction(aJob, aStep, aTask);
}

RunAction
RunMonitor::DecideAction(const DispatchedJob& aJob,
                         std::size_t aStep,
                         DispatchedTask& aTask) const
{
  double left =
    aTask.expectedMs - MillisecondsBetween(aTask.sentAt, clock_.MonotonicNow());
  PlacementRequest request = placer_.RequestFor(aJob, aStep, &aTask);
  request.excludedServer = aTask.server;
  auto shortest = servers_.ShortestRunTime(request);
  if (left > request.deadlineMs &&
      (!shortest || *shortest + kMoveMs > request.deadlineMs)) {
    return RunAction::eDeadlineUnreachable;
  }
  // The task only moves to a server that ends it sooner.
  request.latestMs = std::min(request.latestMs, left - kMoveMs);
  auto other = servers_.Choose(request,
                               aJob.steps[aStep].runsByServer,
                               aJob.spec.steps[aStep].maxPerServer);
  if (!other || aTask.moves >= kMaxMoves) {
    return RunAction::eKeep;
  }
  ++aTask.moves;
  return RunAction::eMove;
}

RunAction
RunMonitor::OnHang(const DispatchedJob& aJob,
                   std::size_t aStep,
                   const DispatchedTask& aTask)
{
  double elapsed = MillisecondsBetween(aTask.sentAt, clock_.MonotonicNow());
  servers_.Model().AddOverdue(aJob.queue.name,
                              aJob.spec.steps[aStep].estimate,
                              aTask.server,
                              ToMilliseconds(elapsed));
  servers_.OnRunFailed(aTask.server);
  PlacementRequest request = placer_.RequestFor(aJob, aStep);
  auto shortest = servers_.ShortestRunTime(request);
  bool possible = shortest && *shortest + kMoveMs <= request.latestMs;
  // The hung run is stopped even if no other server has free capacity yet.
  return possible ? RunAction::eMove : RunAction::eDeadlineUnreachable;
}

double
RunMonitor::WorkFromForecast(const DispatchedJob& aJob,
                             std::size_t aStep,
                             const DispatchedTask& aTask,
                             double aRunTimeMs)
{
  RunTimeModel& model = servers_.Model();
  double speed = model.Speed(aTask.server);
  if (aTask.workMs > 0) {
    // A forecast from a second server confirms that the task is long.
    return std::max(aTask.workMs, aRunTimeMs * speed);
  }
  double expected = aJob.steps[aStep].workMs;
  double excess = aRunTimeMs * speed / expected;
  // The excess is divided between work and speed by their uncertainties.
  double workVariance = kWorkDeviation * kWorkDeviation;
  double speedDeviation = model.SpeedDeviation(aTask.server);
  double share =
    workVariance / (workVariance + speedDeviation * speedDeviation);
  double workFactor = std::min(std::pow(excess, share), kLargestWorkFactor);
  if (excess > kSlowServerFactor * workFactor) {
    model.AddOverdue(aJob.queue.name,
                     aJob.spec.steps[aStep].estimate,
                     aTask.server,
                     ToMilliseconds(aRunTimeMs / workFactor));
  }
  return expected * workFactor;
}

bool
RunMonitor::BecameOverdue(const DispatchedJob& aJob,
                          std::size_t aStep,
                          DispatchedTask& aTask)
{
  if (aTask.phase != TaskPhase::eRunning || aTask.isOverdue) {
    return false;
  }
  double elapsed = MillisecondsBetween(aTask.sentAt, clock_.MonotonicNow());
  double tolerance = kOverdueFactor * aTask.expectedMs + kOverdueMs;
  if (elapsed < std::ldexp(tolerance, aTask.overdueRuns)) {
    return false;
  }
  aTask.isOverdue = true;
  aTask.overdueRuns = std::min<std::uint8_t>(aTask.overdueRuns + 1, 10);
  servers_.Model().AddOverdue(aJob.queue.name,
                              aJob.spec.steps[aStep].estimate,
                              aTask.server,
                              ToMilliseconds(elapsed));
  servers_.OnRunOverdue(aTask.server);
  return true;
}

}
