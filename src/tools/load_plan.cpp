#include "tools/load_plan.h"

#include <algorithm>
#include <random>

namespace greengage::tools {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using Random = std::mt19937_64;

constexpr double kLongTaskShare = 0.05;
constexpr double kLongTaskFactor = 10.0;
constexpr std::int64_t kMaxRunTimeMs = 30'000;

const std::string&
Choose(const std::vector<Share>& aShares, Random& aRandom)
{
  std::vector<double> weights;
  for (const Share& share : aShares) {
    weights.push_back(share.weight);
  }
  std::discrete_distribution<std::size_t> choice(weights.begin(),
                                                 weights.end());
  return aShares[choice(aRandom)].name;
}

milliseconds
DrawRunTime(const LoadSettings& aSettings, Random& aRandom)
{
  auto mean = static_cast<double>(aSettings.meanRunTime.count());
  double drawn = mean;
  if (aSettings.runTimeShape == RunTimeShape::eExponential) {
    drawn = std::exponential_distribution<>(1.0 / mean)(aRandom);
  } else if (aSettings.runTimeShape == RunTimeShape::eLongTail) {
    bool isLong = std::bernoulli_distribution(kLongTaskShare)(aRandom);
    drawn = isLong
              ? mean * kLongTaskFactor
              : std::uniform_real_distribution<>(0.1 * mean, mean)(aRandom);
  }
  return milliseconds(
    std::clamp<std::int64_t>(std::llround(drawn), 1, kMaxRunTimeMs));
}

PlannedJob
DrawJob(const LoadSettings& aSettings, microseconds aAt, Random& aRandom)
{
  PlannedJob job;
  job.at = aAt;
  job.organisation = Choose(aSettings.organisations, aRandom);
  job.templateName = Choose(aSettings.templates, aRandom);
  job.urgency = static_cast<std::uint32_t>(
    std::stoul(Choose(aSettings.urgencies, aRandom)));
  job.resubmit = std::bernoulli_distribution(aSettings.resubmitShare)(aRandom);
  std::uniform_int_distribution<std::uint32_t> tasks(aSettings.minTasks,
                                                     aSettings.maxTasks);
  std::uint32_t count = tasks(aRandom);
  for (std::uint32_t i = 0; i < count; ++i) {
    job.runTimes.push_back(DrawRunTime(aSettings, aRandom));
  }
  return job;
}

/** Returns arrival times from aFrom to aTo, aGroup at the same time. */
std::vector<microseconds>
DrawArrivals(microseconds aFrom,
             microseconds aTo,
             double aRate,
             std::uint32_t aGroup,
             Random& aRandom)
{
  std::vector<microseconds> arrivals;
  if (aRate <= 0) {
    return arrivals;
  }
  std::exponential_distribution<> gap(aRate / aGroup / 1e6);
  auto at = static_cast<double>(aFrom.count());
  for (;;) {
    at += gap(aRandom);
    if (at >= static_cast<double>(aTo.count())) {
      return arrivals;
    }
    arrivals.insert(
      arrivals.end(), aGroup, microseconds(static_cast<std::int64_t>(at)));
  }
}

}

std::vector<PlannedJob>
MakeLoadPlan(const LoadSettings& aSettings)
{
  Random random(aSettings.seed);
  bool bursts = aSettings.arrivals == ArrivalProcess::eBurst;
  std::vector<PlannedJob> plan;
  for (microseconds at : DrawArrivals({},
                                      aSettings.duration,
                                      aSettings.rate,
                                      bursts ? aSettings.burstSize : 1,
                                      random)) {
    plan.push_back(DrawJob(aSettings, at, random));
  }
  // A separate generator, so that the flood does not change the other jobs.
  Random floodRandom(aSettings.seed + 1);
  for (microseconds at : DrawArrivals(aSettings.duration / 3,
                                      aSettings.duration * 2 / 3,
                                      aSettings.floodRate,
                                      1,
                                      floodRandom)) {
    PlannedJob job = DrawJob(aSettings, at, floodRandom);
    job.organisation = aSettings.floodOrganisation;
    job.urgency = aSettings.floodUrgency;
    job.isFlood = true;
    job.resubmit = false;
    plan.push_back(std::move(job));
  }
  std::stable_sort(plan.begin(),
                   plan.end(),
                   [](const PlannedJob& aLeft, const PlannedJob& aRight) {
                     return aLeft.at < aRight.at;
                   });
  return plan;
}

}
