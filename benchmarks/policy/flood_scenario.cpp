#include <fmt/format.h>

#include "policy/scenario_support.h"

namespace greengage::policy {

namespace {

constexpr std::size_t kOthers = 9;
// Part of the fleet's capacity that the others offer together.
constexpr double kOthersLoad = 0.45;
constexpr double kFloodFactor = 10;
// The flood starts before the measured time, in seconds.
constexpr double kFloodLead = 5;
// Part of the slots that the others' quotas cover.
constexpr double kQuotaShare = 0.8;

// The default of an organisation.
constexpr std::chrono::seconds kQueueTime{ 10 };

// Targets of section 1.8 of the design page.
constexpr double kMinThroughput = 0.95;
constexpr double kMaxP99Ratio = 1.5;
constexpr double kMinBusy = 0.95;
constexpr double kMaxWasted = 0.25;

std::string
OtherName(std::size_t aNumber)
{
  return fmt::format("other{}", aNumber);
}

/** Streams of the organisations inside their quotas. */
std::vector<Stream>
OtherStreams(const std::vector<FleetServer>& aFleet,
             const MeasuredTime& aMeasured)
{
  std::vector<Stream> streams;
  for (std::size_t i = 0; i < kOthers; ++i) {
    Stream stream;
    stream.organisation = OtherName(i);
    stream.offeredRate = kOthersLoad * Capacity(aFleet) / kOthers;
    stream.end = aMeasured.end;
    streams.push_back(stream);
  }
  return streams;
}

struct FloodRun
{
  std::vector<JobResult> results;
  SimulationCounters counters;
};

FloodRun
Simulate(const std::vector<FleetServer>& aFleet,
         const std::vector<Arrival>& aArrivals,
         const MeasuredTime& aMeasured)
{
  FleetSimulation simulation(aFleet, aMeasured);
  double slots = double(aFleet.size()) * 8;
  auto quota = static_cast<std::uint32_t>(kQuotaShare * slots / kOthers);
  for (std::size_t i = 0; i < kOthers; ++i) {
    simulation.SetOrganisation(
      MakeOrganisation(OtherName(i), quota, kQueueTime));
  }
  simulation.SetOrganisation(MakeOrganisation("flood", 0, kQueueTime));
  auto results = simulation.Run(aArrivals);
  return { std::move(results), simulation.Counters() };
}

/** Throughput and p99 of one organisation over those without the flood. */
struct Comparison
{
  double throughput = 0;
  double p99 = 0;
};

std::size_t
CompletedInTime(const std::vector<Arrival>& aArrivals,
                const std::vector<JobResult>& aResults,
                const MeasuredTime& aMeasured,
                const std::string& aOrganisation)
{
  std::size_t count = 0;
  for (std::size_t i = 0; i < aArrivals.size(); ++i) {
    const JobResult& result = aResults[i];
    bool inside =
      result.endedAt >= aMeasured.start && result.endedAt < aMeasured.end;
    bool own = aArrivals[i].organisation == aOrganisation;
    count += own && inside && result.complete ? 1 : 0;
  }
  return count;
}

}

Figures
MeasureFlood(const Scale& aScale, std::uint8_t aUrgency)
{
  auto fleet = MakeFleet(aScale.servers);
  MeasuredTime measured = MeasuredTimeOf(aScale);
  std::vector<Stream> streams = OtherStreams(fleet, measured);
  auto calmArrivals = MakeArrivals(streams, aScale.seed);
  Stream flood;
  flood.organisation = "flood";
  flood.offeredRate = kFloodFactor * Capacity(fleet);
  flood.urgency = aUrgency;
  flood.start = measured.start - kFloodLead;
  flood.end = measured.end;
  streams.push_back(flood);
  auto floodArrivals = MakeArrivals(streams, aScale.seed);
  FloodRun calm = Simulate(fleet, calmArrivals, measured);
  FloodRun flooded = Simulate(fleet, floodArrivals, measured);

  Comparison worst{ 1e9, 0 };
  for (std::size_t i = 0; i < kOthers; ++i) {
    std::string name = OtherName(i);
    auto filter = [&](const Arrival& aArrival) {
      return aArrival.organisation == name;
    };
    double before = CompletedInTime(calmArrivals, calm.results, measured, name);
    double during =
      CompletedInTime(floodArrivals, flooded.results, measured, name);
    auto calmTimes = ResponsesOf(calmArrivals, calm.results, measured, filter);
    auto floodTimes =
      ResponsesOf(floodArrivals, flooded.results, measured, filter);
    worst.throughput = std::min(worst.throughput, during / before);
    worst.p99 = std::max(worst.p99, floodTimes.p99 / calmTimes.p99);
  }
  double slotSeconds = double(fleet.size() * 8) * aScale.seconds;
  double busy = flooded.counters.busySeconds / slotSeconds;
  auto name =
    fmt::format("flood.urgency_{}.{}_servers", aUrgency, aScale.servers);
  Figures figures{
    { name + ".others_throughput",
      worst.throughput,
      "x_no_flood",
      BoundKind::eAtLeast,
      kMinThroughput },
    { name + ".others_p99",
      worst.p99,
      "x_no_flood",
      BoundKind::eAtMost,
      kMaxP99Ratio },
    { name + ".busy", busy, "share", BoundKind::eAtLeast, kMinBusy },
  };
  for (const Figure& figure :
       WasteFigures(name + ".waste", flooded.counters, kMaxWasted)) {
    figures.push_back(figure);
  }
  return figures;
}

}
