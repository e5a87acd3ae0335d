#include "coordination/dispatch/dispatched_job.h"

#include <algorithm>

namespace greengage::coordination {

using state::DispatchStep;
using state::MonotonicTime;
using state::RunKey;
using std::chrono::milliseconds;

namespace {

/**
 * Time that is not a task's own: network to the caller and the agent, and the
 * processes' work. Measured on the users' sites at 10 to 15 ms.
 */
constexpr milliseconds kOverhead{ 15 };
/**
 * The objective grows with the work that the tasks turn out to be, so only
 * the longest task of a job against the mean one counts ...
 */
constexpr double kLongestTask = 1.15;
/**
 * ... but the deadline does not: with estimates off by 40% the work is below
 * this multiple of the expected work nineteen times in twenty.
 */
constexpr double kWorkUncertainty = 1.6;
/**
 * Work that is expected to miss the deadline by no more than this factor is
 * tried: with 1.6 the load of hopeless work cost 0.02 of the worth of busy
 * days, with 1 quiet days rejected jobs that servers had room for.
 */
constexpr double kHopelessMargin = 1.2;
/** An answer later than three times the objective is worth nothing. */
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
  return milliseconds(static_cast<std::int64_t>(aMs));
}

double
MillisecondsBetween(MonotonicTime aFrom, MonotonicTime aTo)
{
  return std::chrono::duration<double, std::milli>(aTo - aFrom).count();
}

DispatchedJob
MakeDispatchedJob(state::DispatchJob aSpec,
                  const state::WorkQueue& aQueue,
                  const RunTimeModel& aModel,
                  MonotonicTime aNow,
                  milliseconds aPatience)
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
  milliseconds patience = aPatience;
  if (aQueue.timeout.count() > 0) {
    patience = std::min(patience, aQueue.timeout);
  }
  auto objective = ToMilliseconds(aQueue.objectiveStretch * job.workMs) +
                   aQueue.objectiveMargin;
  job.submittedAt = aNow;
  job.deadline = aNow + patience;
  job.objectiveAt = aNow + objective;
  job.uselessAt = std::min(job.deadline, aNow + kUsefulObjectives * objective);
  job.latestStart = std::min(job.objectiveAt, job.deadline) - kOverhead -
                    ToMilliseconds(job.workMs / aModel.HighestSpeed());
  return job;
}

PlacementRequest
MakePlacementRequest(const DispatchedJob& aJob,
                     std::size_t aStep,
                     const DispatchedTask* aTask,
                     double aFarFactor,
                     MonotonicTime aNow)
{
  const DispatchStep& spec = aJob.spec.steps[aStep];
  PlacementRequest request;
  request.service = aJob.queue.service;
  request.need = spec.need;
  request.requiredLabel = spec.requiredLabel;
  request.dataRack = spec.dataRack;
  request.farFactor = aFarFactor;
  bool known = aTask && aTask->workMs > 0;
  request.workMs = known ? aTask->workMs : aJob.steps[aStep].workMs;
  double untilObjective = TimeLeftMs(aNow, aJob.objectiveAt);
  double untilDeadline = UsableTimeMs(aJob, aNow);
  request.objectiveMs = known ? untilDeadline
                              : std::min(untilObjective / kLongestTask,
                                         untilDeadline / kWorkUncertainty);
  request.deadlineMs = untilDeadline;
  request.workDeviation = known ? 0 : kWorkDeviation;
  // What was begun is finished if it can be: late answers are delivered.
  request.latestMs =
    aJob.started ? untilDeadline : TimeLeftMs(aNow, aJob.uselessAt);
  // The work may be less than expected; a forecast tells soon.
  request.latestMs *= known ? 1 : kHopelessMargin;
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
IsComplete(const DispatchedJob& aJob)
{
  return std::all_of(
    aJob.steps.begin(), aJob.steps.end(), [](const DispatchedStep& aStep) {
      return aStep.done == aStep.tasks.size();
    });
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
