#include "policy/admission_scenario.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace greengage::policy {

namespace {

/** The run times are learned in this time, which does not count. */
constexpr double kWarmUpSeconds = 4;
constexpr double kAtOnceSeconds = 0.002;
constexpr double kSoonSeconds = 0.05;

/**
 * Returns for each arrival whether one entry that has the fleet for itself and
 * knows all run times serves it.
 */
std::vector<bool>
ServedByOracle(const AdmissionLoad& aLoad,
               const std::vector<AdmissionArrival>& aArrivals)
{
  AdmissionLoad single = aLoad;
  single.entries = 1;
  std::vector<AdmissionArrival> arrivals = aArrivals;
  for (AdmissionArrival& arrival : arrivals) {
    arrival.entry = 0;
    arrival.estimateSeconds = arrival.runSeconds;
  }
  AdmissionSimulation simulation(single, { "dc" });
  std::vector<bool> served(aArrivals.size());
  for (const AdmissionAttempt& attempt : simulation.Run(arrivals, false)) {
    served[attempt.arrival] = attempt.served;
  }
  return served;
}

double
ShareServed(const std::vector<const AdmissionArrival*>& aJobs,
            const std::vector<AdmissionArrival>& aArrivals,
            const std::vector<bool>& aServed)
{
  auto served = std::count_if(
    aJobs.begin(), aJobs.end(), [&](const AdmissionArrival* aJob) {
      return aServed[static_cast<std::size_t>(aJob - aArrivals.data())];
    });
  return static_cast<double>(served) /
         static_cast<double>(std::max<std::size_t>(1, aJobs.size()));
}

void
MeasureKinds(const AdmissionLoad& aLoad,
             const std::vector<AdmissionArrival>& aArrivals,
             const std::vector<bool>& aServed,
             AdmissionResult& aResult)
{
  aResult.worstKind = 1;
  aResult.worstLargestTenth = 1;
  for (std::size_t kind = 0; kind < AdmissionKinds(aLoad).size(); ++kind) {
    std::vector<const AdmissionArrival*> jobs;
    for (const AdmissionArrival& arrival : aArrivals) {
      if (arrival.kind == kind && arrival.at >= kWarmUpSeconds) {
        jobs.push_back(&arrival);
      }
    }
    std::sort(
      jobs.begin(), jobs.end(), [](const auto* aLeft, const auto* aRight) {
        return aLeft->runSeconds > aRight->runSeconds;
      });
    double share = ShareServed(jobs, aArrivals, aServed);
    jobs.resize(jobs.size() / 10);
    double largest = ShareServed(jobs, aArrivals, aServed);
    aResult.worstKind = std::min(aResult.worstKind, share);
    if (share > 0) {
      aResult.worstLargestTenth =
        std::min(aResult.worstLargestTenth, largest / share);
    }
  }
}

}

double
AdmissionResult::SoonShare() const
{
  return rejections == 0 ? 1
                         : static_cast<double>(rejectedSoon) /
                             static_cast<double>(rejections);
}

std::string
AdmissionResult::ToLine() const
{
  return fmt::format("attempts {:6} at_once {:6} soon {:.3f} late {:6} "
                     "not_served {:6} wrong_rejections {:6} work {:.3f} "
                     "worst_kind {:.3f} largest_tenth {:.2f}",
                     attempts,
                     rejectedAtOnce,
                     SoonShare(),
                     RejectedLate(),
                     acceptedNotServed,
                     wrongRejections,
                     servedWork,
                     worstKind,
                     worstLargestTenth);
}

AdmissionScenario
MakeAdmissionScenario(const AdmissionLoad& aLoad)
{
  auto arrivals = MakeAdmissionArrivals(aLoad);
  auto served = ServedByOracle(aLoad, arrivals);
  return { aLoad, std::move(arrivals), std::move(served) };
}

AdmissionResult
MeasureAdmission(const AdmissionScenario& aScenario,
                 const coordination::JobDispatcherSettings& aSettings)
{
  const AdmissionLoad& load = aScenario.load;
  const auto& arrivals = aScenario.arrivals;
  AdmissionSimulation simulation(load, aSettings);
  auto attempts = simulation.Run(arrivals, true);
  auto kinds = AdmissionKinds(load);
  std::vector<bool> served(arrivals.size());
  AdmissionResult result;
  for (const AdmissionAttempt& attempt : attempts) {
    const AdmissionArrival& arrival = arrivals[attempt.arrival];
    if (arrival.at < kWarmUpSeconds) {
      continue;
    }
    double waited = attempt.answeredAt - attempt.submittedAt;
    bool soon = attempt.rejected && waited <= kSoonSeconds;
    ++result.attempts;
    result.rejections += attempt.rejected ? 1 : 0;
    result.rejectedAtOnce +=
      attempt.rejected && waited <= kAtOnceSeconds ? 1 : 0;
    result.rejectedSoon += soon ? 1 : 0;
    result.acceptedNotServed += !soon && !attempt.served ? 1 : 0;
    bool isWrong =
      soon && attempt.number == 0 && aScenario.servedByOracle[attempt.arrival];
    result.wrongRejections += isWrong ? 1 : 0;
    if (attempt.served) {
      served[attempt.arrival] = true;
    }
    if (attempt.served && attempt.answeredAt < load.seconds) {
      result.servedWork += arrival.runSeconds * kinds[arrival.kind].tasks;
    }
  }
  result.servedWork /=
    AdmissionCapacity(load) * (load.seconds - kWarmUpSeconds);
  MeasureKinds(load, arrivals, served, result);
  return result;
}

}
