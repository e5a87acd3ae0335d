#include "coordination/dispatch/run_monitor.h"

#include <algorithm>
#include <cmath>

namespace greengage::coordination {

namespace {

/** Work that is further off than this speaks of the server, not the task. */
constexpr double kLargestWorkFactor = 4;
/**
 * A run that would last this multiple of what is expected hangs: no task is
 * that long, and no server that still works is that slow.
 */
constexpr double kHangFactor = 20;
/** Each move starts a task again from nothing. */
constexpr std::uint32_t kMaxMoves = 2;
/** What the work does not explain lowers a speed from this factor on. */
constexpr double kSlowServerFactor = 1.3;
/** A run is overdue after this multiple of its expected time, and more ... */
constexpr double kOverdueFactor = 2.2;
/** ... by this, so that short tasks are not stopped for a late message. */
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

RunVerdict
RunMonitor::OnForecast(DispatchedJob& aJob,
                       std::size_t aStep,
                       DispatchedTask& aTask,
                       double aRunTimeMs)
{
  if (aRunTimeMs > kHangFactor * aTask.expectedMs && aTask.workMs == 0) {
    return OnHang(aJob, aStep, aTask);
  }
  aTask.workMs = WorkFromForecast(aJob, aStep, aTask, aRunTimeMs);
  // The run makes progress: it is overdue only beyond its forecast.
  aTask.expectedMs = std::max(aTask.expectedMs, aRunTimeMs);
  return Judge(aJob, aStep, aTask);
}

RunVerdict
RunMonitor::Recheck(const DispatchedJob& aJob,
                    std::size_t aStep,
                    DispatchedTask& aTask)
{
  bool forecast = aTask.phase == TaskPhase::eRunning && aTask.workMs > 0;
  auto now = clock_.MonotonicNow();
  double left = aTask.expectedMs - MillisecondsBetween(aTask.sentAt, now);
  if (!forecast || left <= UsableTimeMs(aJob, now)) {
    return RunVerdict::eKeep;
  }
  return Judge(aJob, aStep, aTask);
}

RunVerdict
RunMonitor::Judge(const DispatchedJob& aJob,
                  std::size_t aStep,
                  DispatchedTask& aTask) const
{
  double left =
    aTask.expectedMs - MillisecondsBetween(aTask.sentAt, clock_.MonotonicNow());
  PlacementRequest request = placer_.RequestFor(aJob, aStep, &aTask);
  request.except = aTask.server;
  auto shortest = servers_.ShortestRunTime(request);
  if (left > request.deadlineMs &&
      (!shortest || *shortest + kMoveMs > request.deadlineMs)) {
    return RunVerdict::eHopeless;
  }
  // Only a server that ends the task sooner is worth a new start.
  request.latestMs = std::min(request.latestMs, left - kMoveMs);
  auto other = servers_.Choose(request,
                               aJob.steps[aStep].runsByServer,
                               aJob.spec.steps[aStep].maxPerServer);
  if (!other || aTask.moves >= kMaxMoves) {
    return RunVerdict::eKeep;
  }
  ++aTask.moves;
  return RunVerdict::eMove;
}

RunVerdict
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
  // Nothing is lost by the stop, even if no other server has room yet.
  return possible ? RunVerdict::eMove : RunVerdict::eHopeless;
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
    // A second server agrees that the task is long.
    return std::max(aTask.workMs, aRunTimeMs * speed);
  }
  double expected = aJob.steps[aStep].workMs;
  double excess = aRunTimeMs * speed / expected;
  // The excess is shared by how uncertain the work and the speed are.
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
  if (aTask.phase != TaskPhase::eRunning || aTask.overdue) {
    return false;
  }
  double elapsed = MillisecondsBetween(aTask.sentAt, clock_.MonotonicNow());
  if (elapsed < kOverdueFactor * aTask.expectedMs + kOverdueMs) {
    return false;
  }
  aTask.overdue = true;
  servers_.Model().AddOverdue(aJob.queue.name,
                              aJob.spec.steps[aStep].estimate,
                              aTask.server,
                              ToMilliseconds(elapsed));
  servers_.OnRunFailed(aTask.server);
  return true;
}

}
