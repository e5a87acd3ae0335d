#include "policy/workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace greengage::policy {

namespace {

constexpr std::size_t kSpeedSteps = 11;
// Spread of the run times of one kind: standard deviation of their logarithm.
constexpr double kSpread = 0.5;
// Remaining spread if the payload size determines most of the run time.
constexpr double kSpreadWithPayload = 0.25;
constexpr std::uint32_t kSmallestPayloadBytes = 100;
constexpr int kPayloadDoublings = 4;

double
LogNormal(std::mt19937_64& aRandom, double aSpread)
{
  // These parameters make the mean 1.
  std::lognormal_distribution<double> draw(-aSpread * aSpread / 2, aSpread);
  return draw(aRandom);
}

TaskSize
MakeTask(std::mt19937_64& aRandom, const WorkKind& aKind)
{
  int doublings =
    std::uniform_int_distribution<int>(0, kPayloadDoublings - 1)(aRandom);
  TaskSize size;
  size.payloadBytes = kSmallestPayloadBytes << doublings;
  if (!aKind.scalesWithPayload) {
    size.work = aKind.meanWork * LogNormal(aRandom, kSpread);
    return size;
  }
  double meanFactor =
    ((1 << kPayloadDoublings) - 1) / double(kPayloadDoublings);
  double factor = (1 << doublings) / meanFactor;
  size.work = aKind.meanWork * factor * LogNormal(aRandom, kSpreadWithPayload);
  return size;
}

std::size_t
DrawKind(std::mt19937_64& aRandom)
{
  std::vector<double> shares;
  for (const WorkKind& kind : WorkKinds()) {
    shares.push_back(kind.share);
  }
  return std::discrete_distribution<std::size_t>(shares.begin(),
                                                 shares.end())(aRandom);
}

void
AddStream(std::vector<Arrival>& aArrivals,
          const Stream& aStream,
          std::mt19937_64& aRandom)
{
  double jobRate = aStream.offeredRate / (MeanWork() * aStream.tasksPerJob);
  std::exponential_distribution<double> gap(jobRate);
  double time = aStream.start + gap(aRandom);
  for (; time < aStream.end; time += gap(aRandom)) {
    Arrival arrival;
    arrival.time = time;
    arrival.organisation = aStream.organisation;
    arrival.kind = DrawKind(aRandom);
    arrival.urgency = aStream.urgency;
    for (std::uint32_t i = 0; i < aStream.tasksPerJob; ++i) {
      arrival.tasks.push_back(MakeTask(aRandom, WorkKinds()[arrival.kind]));
    }
    aArrivals.push_back(std::move(arrival));
  }
}

}

std::vector<FleetServer>
MakeFleet(std::size_t aServers)
{
  std::vector<FleetServer> fleet;
  for (std::size_t i = 0; i < aServers; ++i) {
    double step = double(i % kSpeedSteps) / (kSpeedSteps - 1);
    fleet.push_back({ 1 + 3 * step, 8 });
  }
  return fleet;
}

double
Capacity(const std::vector<FleetServer>& aFleet)
{
  double capacity = 0;
  for (const FleetServer& server : aFleet) {
    capacity += server.speed * server.slots;
  }
  return capacity;
}

const std::vector<WorkKind>&
WorkKinds()
{
  static const std::vector<WorkKind> kinds{
    { "lookup", 0.30, 0.2, 4.0, false },
    { "weighing", 0.30, 0.4, 0.25, true },
    { "pricing", 0.25, 0.8, 2.0, false },
    { "sorting", 0.13, 1.5, 0.5, true },
    { "collection", 0.02, 8.0, 0.3, false },
  };
  return kinds;
}

double
MeanWork()
{
  double mean = 0;
  for (const WorkKind& kind : WorkKinds()) {
    mean += kind.share * kind.meanWork;
  }
  return mean;
}

std::vector<Arrival>
MakeArrivals(const std::vector<Stream>& aStreams, std::uint32_t aSeed)
{
  std::vector<Arrival> arrivals;
  std::uint64_t number = 0;
  for (const Stream& stream : aStreams) {
    // Each stream has its own random numbers, so that adding a stream does
    // not change the others.
    std::mt19937_64 random(aSeed + 1000 * ++number);
    AddStream(arrivals, stream, random);
  }
  std::stable_sort(arrivals.begin(),
                   arrivals.end(),
                   [](const Arrival& aLeft, const Arrival& aRight) {
                     return aLeft.time < aRight.time;
                   });
  return arrivals;
}

}
