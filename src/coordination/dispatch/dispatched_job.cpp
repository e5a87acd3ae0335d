#include "coordination/dispatch/dispatched_job.h"

#include <algorithm>
#include <cmath>

namespace greengage::coordination {

using state::DispatchStep;
using state::MonotonicTime;
using state::RunKey;
using std::chrono::milliseconds;

namespace {

/**
 * Time per job spent outside the tasks: network latency to the caller and the
 * agent, and processing. It is 10 to 15 ms on the users' sites.
 */
constexpr milliseconds kOverhead{ 15 };
/**
 * Ratio of the longest task of a job to the mean one. The objective grows with
 * the actual work of the tasks, so the uncertainty of the estimate does not
 * matter here.
 */
constexpr double kLongestTaskFactor = 1.15;
/**
 * Safety factor for the deadline, which does not grow with the actual work.
 * With estimates that are off by 40%, the work is below this multiple of the
 * expected work in 95% of the cases.
 */
constexpr double kWorkUncertaintyFactor = 1.6;
/**
 * Tasks are started if they are expected to exceed the deadline by at most this
 * factor. With 1.6, the load of tasks that cannot finish in time reduced the
 * value of the results on busy days by 0.02; with 1, jobs were rejected on
 * quiet days although servers had free capacity.
 */
constexpr double kDeadlineMissTolerance = 1.2;
/**
 * Limit of computed times. Estimates, stretches and margins have no useful
 * upper limit, and sums of times in nanoseconds overflow after 292 years.
 */
constexpr std::chrono::milliseconds kLongestTime = std::chrono::days(100);
/**
 * Longest time for which a job is held, whatever its caller states. The users'
 * pages publish deadlines of 1.5 s and run times of several seconds.
 */
constexpr milliseconds kLongestCallerTimeout = std::chrono::minutes(10);
/** Applies if neither the caller nor the queue states a timeout. */
constexpr milliseconds kDefaultTimeLimit{ 60'000 };
/** Answers after this multiple of the objective have no value. */
constexpr int kUsefulObjectives = 3;

double
TimeLeftMs(MonotonicTime aNow, MonotonicTime aUntil)
{
  return MillisecondsBetween(aNow, aUntil) -
         static_cast<double>(kOverhead.count());
}

}

milliseconds
ToMilliseconds(double aMs)
{
  constexpr auto kLongestMs = static_cast<double>(kLongestTime.count());
  // The comparison is also false for NaN.
  if (!(std::abs(aMs) < kLongestMs)) {
    return aMs < 0 ? -kLongestTime : kLongestTime;
  }
  return milliseconds(static_cast<std::int64_t>(aMs));
}

double
MillisecondsBetween(MonotonicTime aFrom, MonotonicTime aTo)
{
  return std::chrono::duration<double, std::milli>(aTo - aFrom).count();
}

milliseconds
TimeLimit(const state::WorkQueue& aQueue,
          std::optional<milliseconds> aCallerTimeout)
{
  if (aCallerTimeout) {
    return std::min(*aCallerTimeout, kLongestCallerTimeout);
  }
  return aQueue.timeout.count() > 0 ? aQueue.timeout : kDefaultTimeLimit;
}

DispatchedJob
MakeDispatchedJob(state::DispatchJob aSpec,
                  const state::WorkQueue& aQueue,
                  const RunTimeModel& aModel,
                  MonotonicTime aNow,
                  milliseconds aTimeout)
{
  DispatchedJob job;
  job.spec = std::move(aSpec);
  job.queue = aQueue;
  std::vector<double> chain;
  for (const DispatchStep& spec : job.spec.steps) {
    DispatchedStep step;
    step.tasks.resize(spec.taskCount);
    step.waiting = spec.taskCount;
    step.workMs = aModel.WorkMs(aQueue.name, spec.estimate);
    double before = 0;
    for (std::uint32_t earlier : spec.after) {
      before = std::max(before, chain[earlier]);
    }
    chain.push_back(before + step.workMs);
    job.workMs = std::max(job.workMs, chain.back());
    job.steps.push_back(std::move(step));
  }
  auto objective = ToMilliseconds(aQueue.objectiveStretch * job.workMs) +
                   aQueue.objectiveMargin;
  job.submittedAt = aNow;
  job.deadline = aNow + aTimeout;
  job.objectiveAt = aNow + objective;
  job.usefulUntil =
    std::min(job.deadline, aNow + kUsefulObjectives * objective);
  job.latestStart = std::min(job.objectiveAt, job.deadline) - kOverhead -
                    ToMilliseconds(job.workMs / aModel.HighestSpeed());
  return job;
}

PlacementRequest
MakePlacementRequest(const DispatchedJob& aJob,
                     std::size_t aStep,
                     const DispatchedTask* aTask,
                     double aRemoteRackFactor,
                     MonotonicTime aNow)
{
  const DispatchStep& spec = aJob.spec.steps[aStep];
  PlacementRequest request;
  request.service = aJob.queue.service;
  request.queue = aJob.queue.name;
  request.need = spec.need;
  request.requiredLabel = spec.requiredLabel;
  request.dataRack = spec.dataRack;
  request.remoteRackFactor = aRemoteRackFactor;
  bool known = aTask && aTask->workMs > 0;
  request.workMs = known ? aTask->workMs : aJob.steps[aStep].workMs;
  double untilObjective = TimeLeftMs(aNow, aJob.objectiveAt);
  double untilDeadline = UsableTimeMs(aJob, aNow);
  request.objectiveMs = known
                          ? untilDeadline
                          : std::min(untilObjective / kLongestTaskFactor,
                                     untilDeadline / kWorkUncertaintyFactor);
  request.deadlineMs = untilDeadline;
  request.workDeviation = known ? 0 : kWorkDeviation;
  // Started jobs are completed if the deadline allows it, because late answers
  // are still delivered.
  request.latestMs =
    aJob.started ? untilDeadline : TimeLeftMs(aNow, aJob.usefulUntil);
  // The work may be less than expected; a forecast corrects the estimate soon.
  request.latestMs *= known ? 1 : kDeadlineMissTolerance;
  return request;
}

double
UsableTimeMs(const DispatchedJob& aJob, MonotonicTime aNow)
{
  return TimeLeftMs(aNow, aJob.deadline);
}

bool
IsReady(const DispatchedJob& aJob, const DispatchStep& aStep)
{
  return std::all_of(
    aStep.after.begin(), aStep.after.end(), [&](std::uint32_t aEarlier) {
      const DispatchedStep& step = aJob.steps[aEarlier];
      return step.done == step.tasks.size();
    });
}

bool
HasUncertainStart(const DispatchedJob& aJob)
{
  return std::any_of(
    aJob.steps.begin(), aJob.steps.end(), [](const DispatchedStep& aStep) {
      return std::any_of(
        aStep.tasks.begin(),
        aStep.tasks.end(),
        [](const DispatchedTask& aTask) { return aTask.isStartUncertain; });
    });
}

bool
IsComplete(const DispatchedJob& aJob)
{
  return std::all_of(
    aJob.steps.begin(), aJob.steps.end(), [](const DispatchedStep& aStep) {
      return aStep.done == aStep.tasks.size();
    });
}

bool
HasTask(const DispatchedJob& aJob, const state::TaskKey& aTask)
{
  return aTask.step < aJob.steps.size() &&
         aTask.index < aJob.steps[aTask.step].tasks.size();
}

RunKey
KeyOf(const DispatchedJob& aJob, std::size_t aStep, std::uint32_t aIndex)
{
  return { { aJob.spec.id, static_cast<std::uint32_t>(aStep), aIndex },
           aJob.steps[aStep].tasks[aIndex].run };
}

WaitingKey
WaitingKeyOf(const DispatchedJob& aJob)
{
  return { aJob.queue.priority, !aJob.started, aJob.latestStart, aJob.spec.id };
}

}
