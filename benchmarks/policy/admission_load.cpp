#include "policy/admission_load.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace greengage::policy {

namespace {

/** Bursts begin each period and last half of it. */
constexpr double kBurstPeriodSeconds = 6;
constexpr double kBurstFactor = 2.2;
constexpr double kTakenAwayShare = 0.15;
/** Standard deviation of log(size) of the jobs of a kind. */
constexpr double kSizeDeviation = 0.5;
/** Standard deviation of log(estimate / work): estimates are off by 40%. */
constexpr double kEstimateDeviation = 0.3;
/** Shortest and longest time that callers wait, and its slope by size. */
constexpr double kMinPatienceSeconds = 0.997;
constexpr double kMaxPatienceSeconds = 9.062;
constexpr double kPatiencePerRunSecond = 4.25;

bool
IsInBurst(double aAt)
{
  return std::fmod(aAt, kBurstPeriodSeconds) < kBurstPeriodSeconds / 2;
}

double
RateFactor(const AdmissionLoad& aLoad, std::size_t aKind, double aAt)
{
  auto period = static_cast<std::size_t>(aAt / kBurstPeriodSeconds);
  bool bursts = aLoad.hasBursts && IsInBurst(aAt) && period % 3 == aKind;
  return aLoad.load * (bursts ? kBurstFactor : 1);
}

}

double
AdmissionSpeed(std::size_t aServer)
{
  return aServer % 2 == 0 ? 1 / 0.55 : 1 / 1.2;
}

std::uint32_t
AdmissionMillicores(std::size_t aServer)
{
  return aServer % 4 < 2 ? 64'000 : 96'000;
}

double
AdmissionCapacity(const AdmissionLoad& aLoad)
{
  double capacity = 0;
  for (std::size_t i = 0; i < aLoad.servers; ++i) {
    std::uint32_t slots = AdmissionMillicores(i) / kCoresPerTaskMillicores;
    capacity += slots * AdmissionSpeed(i);
  }
  return capacity;
}

std::vector<AdmissionKind>
AdmissionKinds(const AdmissionLoad& aLoad)
{
  std::vector<AdmissionKind> kinds{ { 8, 0.06, 206, 0 },
                                    { 4, 0.9, 37.5, 2 },
                                    { 2, 0.2, 600, 1 } };
  double work = 0;
  for (const AdmissionKind& kind : kinds) {
    work += kind.tasks * kind.runSeconds * kind.rate;
  }
  for (AdmissionKind& kind : kinds) {
    kind.rate *= AdmissionCapacity(aLoad) / work;
  }
  return kinds;
}

bool
IsTakenAway(const AdmissionLoad& aLoad, std::size_t aServer, double aAt)
{
  auto count = static_cast<std::size_t>(
    std::round(kTakenAwayShare * static_cast<double>(aLoad.servers)));
  return aLoad.hasBursts && IsInBurst(aAt) && aServer < count;
}

std::vector<AdmissionArrival>
MakeAdmissionArrivals(const AdmissionLoad& aLoad)
{
  std::mt19937_64 random(aLoad.seed);
  std::normal_distribution<double> normal;
  std::vector<AdmissionArrival> arrivals;
  auto kinds = AdmissionKinds(aLoad);
  for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
    // Candidates come at the rate of a burst; those above the rate are dropped.
    double highest = kinds[kind].rate * aLoad.load * kBurstFactor;
    std::exponential_distribution<double> gap(highest);
    std::uniform_real_distribution<double> uniform;
    for (double at = gap(random); at < aLoad.seconds; at += gap(random)) {
      if (uniform(random) * highest >
          kinds[kind].rate * RateFactor(aLoad, kind, at)) {
        continue;
      }
      AdmissionArrival arrival{ at, kind };
      arrival.entry = random() % aLoad.entries;
      double size =
        kSizeDeviation * normal(random) - kSizeDeviation * kSizeDeviation / 2;
      arrival.runSeconds = kinds[kind].runSeconds * std::exp(size);
      arrival.estimateSeconds =
        arrival.runSeconds * std::exp(kEstimateDeviation * normal(random));
      arrival.patienceSeconds =
        std::clamp(0.8 + kPatiencePerRunSecond * arrival.runSeconds,
                   kMinPatienceSeconds,
                   kMaxPatienceSeconds);
      arrivals.push_back(arrival);
    }
  }
  std::sort(arrivals.begin(), arrivals.end());
  return arrivals;
}

}
