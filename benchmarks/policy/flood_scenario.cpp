#include <fmt/format.h>

#include "policy/scenario_support.h"

namespace greengage::policy {

namespace {

constexpr std::size_t kOtherOrganisations = 9;
// Load that the other organisations offer together, as a share of the capacity
// of the fleet.
constexpr double kOthersLoad = 0.45;
constexpr double kFloodFactor = 10;
// Seconds from the start of the flood to the start of the measurement.
constexpr double kFloodLeadSeconds = 5;
// Share of all slots that the quotas of the other organisations cover.
constexpr double kQuotaShare = 0.8;

// The default maximum queue time of an organisation.
constexpr std::chrono::seconds kDefaultQueueTime{ 10 };

// Targets of section 1.8 of the design page.
constexpr double kMinThroughput = 0.95;
constexpr double kMaxP99Ratio = 1.5;
constexpr double kMinBusyShare = 0.95;
constexpr double kMaxWasted = 0.25;

std::string
OtherName(std::size_t aNumber)
{
  return fmt::format("other{}", aNumber);
}

/** Returns the streams of the organisations that stay within their quotas. */
std::vector<Stream>
OtherStreams(const std::vector<FleetServer>& aFleet,
             const MeasurementWindow& aWindow)
{
  std::vector<Stream> streams;
  for (std::size_t i = 0; i < kOtherOrganisations; ++i) {
    Stream stream;
    stream.organisation = OtherName(i);
    stream.offeredRate = kOthersLoad * Capacity(aFleet) / kOtherOrganisations;
    stream.end = aWindow.end;
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
         const MeasurementWindow& aWindow)
{
  FleetSimulation simulation(aFleet, aWindow);
  double slots = double(aFleet.size()) * 8;
  auto quota =
    static_cast<std::uint32_t>(kQuotaShare * slots / kOtherOrganisations);
  for (std::size_t i = 0; i < kOtherOrganisations; ++i) {
    simulation.SetOrganisation(
      MakeOrganisation(OtherName(i), quota, kDefaultQueueTime));
  }
  simulation.SetOrganisation(MakeOrganisation("flood", 0, kDefaultQueueTime));
  auto results = simulation.Run(aArrivals);
  return { std::move(results), simulation.Counters() };
}

/** Throughput and p99 with the flood divided by those without it. */
struct Comparison
{
  double throughput = 0;
  double p99 = 0;
};

std::size_t
CompletedInTime(const std::vector<Arrival>& aArrivals,
                const std::vector<JobResult>& aResults,
                const MeasurementWindow& aWindow,
                const std::string& aOrganisation)
{
  std::size_t count = 0;
  for (std::size_t i = 0; i < aArrivals.size(); ++i) {
    const JobResult& result = aResults[i];
    bool isMeasured =
      result.endedAt >= aWindow.start && result.endedAt < aWindow.end;
    bool isOfOrganisation = aArrivals[i].organisation == aOrganisation;
    count += isOfOrganisation && isMeasured && result.complete ? 1 : 0;
  }
  return count;
}

}

Figures
MeasureFlood(const Scale& aScale, std::uint8_t aUrgency)
{
  auto fleet = MakeFleet(aScale.servers);
  MeasurementWindow window = MeasurementWindowOf(aScale);
  std::vector<Stream> streams = OtherStreams(fleet, window);
  auto noFloodArrivals = MakeArrivals(streams, aScale.seed);
  Stream flood;
  flood.organisation = "flood";
  flood.offeredRate = kFloodFactor * Capacity(fleet);
  flood.urgency = aUrgency;
  flood.start = window.start - kFloodLeadSeconds;
  flood.end = window.end;
  streams.push_back(flood);
  auto floodArrivals = MakeArrivals(streams, aScale.seed);
  FloodRun noFlood = Simulate(fleet, noFloodArrivals, window);
  FloodRun withFlood = Simulate(fleet, floodArrivals, window);

  Comparison worst{ 1e9, 0 };
  for (std::size_t i = 0; i < kOtherOrganisations; ++i) {
    std::string name = OtherName(i);
    auto filter = [&](const Arrival& aArrival) {
      return aArrival.organisation == name;
    };
    double before =
      CompletedInTime(noFloodArrivals, noFlood.results, window, name);
    double during =
      CompletedInTime(floodArrivals, withFlood.results, window, name);
    auto noFloodTimes =
      ResponsesOf(noFloodArrivals, noFlood.results, window, filter);
    auto floodTimes =
      ResponsesOf(floodArrivals, withFlood.results, window, filter);
    worst.throughput = std::min(worst.throughput, during / before);
    worst.p99 = std::max(worst.p99, floodTimes.p99 / noFloodTimes.p99);
  }
  double slotSeconds = double(fleet.size() * 8) * aScale.seconds;
  double busyShare = withFlood.counters.busySeconds / slotSeconds;
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
    { name + ".busy", busyShare, "share", BoundKind::eAtLeast, kMinBusyShare },
  };
  for (const Figure& figure :
       WasteFigures(name + ".waste", withFlood.counters, kMaxWasted)) {
    figures.push_back(figure);
  }
  return figures;
}

}
