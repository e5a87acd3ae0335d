#include "coordination/admission/admission_control.h"

#include <algorithm>

#include "coordination/admission/retry_delay.h"

namespace greengage::coordination {

using std::chrono::milliseconds;

const char*
ToString(AdmissionDecision aDecision)
{
  switch (aDecision) {
    case AdmissionDecision::eAccepted:
      return "accepted";
    case AdmissionDecision::eRejected:
      return "rejected";
    case AdmissionDecision::eWithdrawn:
      return "withdrawn";
  }
  return "";
}

double
WaitingWork(const DispatchedJob& aJob)
{
  double work = 0;
  for (std::size_t i = 0; i < aJob.steps.size(); ++i) {
    work += aJob.steps[i].waiting * aJob.steps[i].workMs *
            aJob.spec.steps[i].need.cpuMillicores;
  }
  return work;
}

WorkAhead::WorkAhead(const ServerPool& aServers)
  : servers_(aServers)
{
}

std::string
WorkAhead::GroupOf(const DispatchedJob& aJob) const
{
  // A limited queue has servers of its own.
  bool isLimited = servers_.IsolatedServers(aJob.queue.name) > 0;
  return isLimited ? "queue " + aJob.queue.name
                   : "service " + aJob.queue.service;
}

double
WorkAhead::Of(const DispatchedJob& aJob) const
{
  auto found = work_.find(GroupOf(aJob));
  return found == work_.end() ? 0 : found->second;
}

void
WorkAhead::Add(const DispatchedJob& aJob)
{
  work_[GroupOf(aJob)] += WaitingWork(aJob);
}

AdmissionControl::AdmissionControl(const ServerPool& aServers,
                                   const TaskPlacer& aPlacer,
                                   const AdmissionSettings& aSettings,
                                   const state::Clock& aClock)
  : servers_(aServers)
  , placer_(aPlacer)
  , settings_(aSettings)
  , clock_(aClock)
  , accepted_(aClock)
  , rejected_(aClock)
  , history_(aClock)
{
}

double
AdmissionControl::CapacityFor(const DispatchedJob& aJob) const
{
  return servers_.CapacityFor(placer_.RequestFor(aJob, 0)).notUsedByOthers;
}

double
AdmissionControl::WaitedMs(const DispatchedJob& aJob) const
{
  return MillisecondsBetween(aJob.submittedAt, clock_.MonotonicNow());
}

AdmissionInputs
AdmissionControl::InputsFor(const DispatchedJob& aJob, double aWorkAhead) const
{
  std::uint32_t priority = aJob.queue.priority;
  AdmissionInputs inputs;
  inputs.workAhead = aWorkAhead;
  inputs.ownWork = WaitingWork(aJob);
  inputs.capacity = CapacityFor(aJob);
  inputs.urgentArrivals = accepted_.RateAbove(priority);
  inputs.correction = history_.Correction(priority, settings_.quantile);
  inputs.observedWaitMs = history_.WaitMs(priority, settings_.quantile);
  inputs.timeLeftMs =
    MillisecondsBetween(clock_.MonotonicNow(), aJob.latestStart);
  inputs.waitedMs = WaitedMs(aJob);
  return inputs;
}

bool
AdmissionControl::HasPlace(const DispatchedJob& aJob) const
{
  for (std::size_t i = 0; i < aJob.steps.size(); ++i) {
    if (IsReady(aJob, aJob.spec.steps[i]) &&
        servers_.Choose(placer_.RequestFor(aJob, i), {}, 0)) {
      return true;
    }
  }
  return false;
}

AdmissionRecord
AdmissionControl::Decide(const DispatchedJob& aJob,
                         const AdmissionInputs& aInputs,
                         AdmissionDecision aRejection) const
{
  AdmissionRecord record{ aJob.spec.id, aJob.queue.name };
  record.inputs = aInputs;
  record.forecastMs = ForecastWaitMs(aInputs, settings_);
  // A run of an earlier attempt may exist, so "not run" could be untrue.
  if (StartsInTime(aInputs, record.forecastMs) || !aJob.earlierRuns.empty() ||
      HasPlace(aJob)) {
    return record;
  }
  record.decision = aRejection;
  record.retryAfter = RetryAfter(aJob, record.forecastMs - aInputs.timeLeftMs);
  return record;
}

AdmissionRecord
AdmissionControl::DecideNew(DispatchedJob& aJob, double aWorkAhead)
{
  AdmissionInputs inputs = InputsFor(aJob, aWorkAhead);
  AdmissionSettings uncorrected = settings_;
  uncorrected.rule = AdmissionRule::ePoint;
  aJob.forecastMs = ForecastWaitMs(inputs, uncorrected);
  return Decide(aJob, inputs, AdmissionDecision::eRejected);
}

AdmissionRecord
AdmissionControl::DecideWaiting(const DispatchedJob& aJob, double aWorkAhead)
{
  return Decide(
    aJob, InputsFor(aJob, aWorkAhead), AdmissionDecision::eWithdrawn);
}

void
AdmissionControl::OnAccepted(const DispatchedJob& aJob)
{
  double work = 0;
  for (std::size_t i = 0; i < aJob.steps.size(); ++i) {
    work += static_cast<double>(aJob.steps[i].tasks.size()) *
            aJob.steps[i].workMs * aJob.spec.steps[i].need.cpuMillicores;
  }
  accepted_.Add(aJob.queue.priority, work);
}

void
AdmissionControl::OnRejected(const DispatchedJob& aJob)
{
  rejected_.Add(0, WaitingWork(aJob));
}

void
AdmissionControl::OnWaitEnded(const DispatchedJob& aJob, double aMoreMs)
{
  if (aJob.forecastMs) {
    history_.Add(
      aJob.queue.priority, *aJob.forecastMs, WaitedMs(aJob) + aMoreMs);
  }
}

milliseconds
AdmissionControl::RetryAfter(const DispatchedJob& aJob, double aExcessMs) const
{
  double capacity = std::max(1.0, CapacityFor(aJob));
  constexpr double kSecondMs = 1000;
  return RetryDelay({ aJob.spec.id,
                      aExcessMs,
                      rejected_.RateAbove(1) * kSecondMs / capacity,
                      WaitedMs(aJob) });
}

}
