#include "policy/scenarios.h"

#include <random>

#include <fmt/format.h>

#include "policy/fleet_simulation.h"
#include "policy/reference_queues.h"
#include "policy/scenario_support.h"
#include "policy/workload.h"

namespace greengage::policy {

namespace {

constexpr double kLoad = 0.8;

// Targets of section 1.8 of the design page.
constexpr double kMaxMeanRatio = 1.10;
constexpr double kMaxP99Ratio = 1.25;
constexpr double kMaxWastedAtLoad = 0.10;

constexpr std::uint32_t kTasksPerJob = 100;

/** Adds the ratios of the response times to those of the ideal, with targets.
 */
void
AddRatios(Figures& aFigures,
          const std::string& aName,
          const ResponseTimes& aMeasured,
          const ResponseTimes& aIdeal)
{
  aFigures.push_back({ aName + ".mean",
                       aMeasured.mean / aIdeal.mean,
                       "x_ideal",
                       BoundKind::eAtMost,
                       kMaxMeanRatio });
  aFigures.push_back({ aName + ".p99",
                       aMeasured.p99 / aIdeal.p99,
                       "x_ideal",
                       BoundKind::eAtMost,
                       kMaxP99Ratio });
}

/** Adds the ratios of the response times to those of the ideal, without
 * targets. */
void
AddBaseline(Figures& aFigures,
            const std::string& aName,
            const ResponseTimes& aMeasured,
            const ResponseTimes& aIdeal)
{
  double mean = aMeasured.mean / aIdeal.mean;
  double p99 = aMeasured.p99 / aIdeal.p99;
  aFigures.push_back({ aName + ".mean", mean, "x_ideal" });
  aFigures.push_back({ aName + ".p99", p99, "x_ideal" });
}

}

Figures
MeasureResponse(const Scale& aScale, std::uint32_t aTasksPerJob)
{
  auto fleet = MakeFleet(aScale.servers);
  MeasurementWindow window = MeasurementWindowOf(aScale);
  Stream stream;
  stream.offeredRate = kLoad * Capacity(fleet);
  stream.tasksPerJob = aTasksPerJob;
  stream.end = window.end;
  auto arrivals = MakeArrivals({ stream }, aScale.seed);

  FleetSimulation simulation(fleet, window);
  simulation.SetOrganisation(MakeOrganisation(stream.organisation, 0));
  auto select = [&](const std::vector<JobResult>& aResults) {
    return ResponsesOf(arrivals, aResults, window);
  };
  auto actual = select(simulation.Run(arrivals));
  auto ideal = select(RunIdeal(fleet, arrivals));
  auto random =
    select(RunBaseline(fleet, arrivals, ServerChoice::eRandom, aScale.seed));
  auto leastOfTwo = select(
    RunBaseline(fleet, arrivals, ServerChoice::eLeastLoadedOfTwo, aScale.seed));

  Figures figures;
  auto name =
    fmt::format("response.{}_tasks.{}_servers", aTasksPerJob, aScale.servers);
  AddRatios(figures, name, actual, ideal);
  AddBaseline(figures, name + ".random", random, ideal);
  AddBaseline(figures, name + ".least_of_two", leastOfTwo, ideal);
  figures.push_back(CompletedShare(name, arrivals, actual, window));
  double slotSeconds = double(fleet.size() * 8) * aScale.seconds;
  double busy = simulation.Counters().busySeconds / slotSeconds;
  figures.push_back({ name + ".busy_slots", busy, "share" });
  return figures;
}

Figures
MeasureMixedResponse(const Scale& aScale)
{
  auto fleet = MakeFleet(aScale.servers);
  MeasurementWindow window = MeasurementWindowOf(aScale);
  Stream singles;
  singles.offeredRate = kLoad * Capacity(fleet) / 2;
  singles.end = window.end;
  Stream jobs = singles;
  jobs.tasksPerJob = kTasksPerJob;
  auto arrivals = MakeArrivals({ singles, jobs }, aScale.seed);

  FleetSimulation simulation(fleet, window);
  simulation.SetOrganisation(MakeOrganisation(singles.organisation, 0));
  auto actual = simulation.Run(arrivals);
  auto ideal = RunIdeal(fleet, arrivals);

  Figures figures;
  for (std::uint32_t tasks : { 1U, kTasksPerJob }) {
    auto select = [&](const std::vector<JobResult>& aResults) {
      return ResponsesOf(
        arrivals, aResults, window, [&](const Arrival& aArrival) {
          return aArrival.tasks.size() == tasks;
        });
    };
    auto name = fmt::format("mixed.{}_tasks.{}_servers", tasks, aScale.servers);
    AddRatios(figures, name, select(actual), select(ideal));
  }
  return figures;
}

Figures
MeasureWaste(const Scale& aScale)
{
  auto fleet = MakeFleet(aScale.servers);
  MeasurementWindow window = MeasurementWindowOf(aScale);
  Stream singles;
  singles.offeredRate = kLoad * Capacity(fleet) / 2;
  singles.end = window.end;
  Stream jobs = singles;
  jobs.tasksPerJob = kTasksPerJob;
  auto arrivals = MakeArrivals({ singles, jobs }, aScale.seed);

  SimulationHooks hooks;
  std::mt19937_64 random(aScale.seed);
  hooks.plan = [&](std::size_t aServer, double aWork, double) {
    bool fails = std::bernoulli_distribution(0.001)(random);
    return RunPlan{ aWork / fleet[aServer].speed, fails };
  };
  // Every 20 s, another server refuses starts for 10 s.
  hooks.refusesStarts = [&](std::size_t aServer, double aNow) {
    auto period = static_cast<std::size_t>(std::max(aNow, 0.0) / 20);
    double inPeriod = aNow - double(period) * 20;
    return aNow > 0 && period % fleet.size() == aServer && inPeriod > 10;
  };
  hooks.cancelAt = [&](std::size_t aArrival) {
    return aArrival % 50 == 0 ? arrivals[aArrival].time + 0.2 : -1;
  };
  FleetSimulation simulation(fleet, window, hooks);
  simulation.SetOrganisation(MakeOrganisation(singles.organisation, 0));
  simulation.Run(arrivals);
  return WasteFigures(fmt::format("waste.load.{}_servers", aScale.servers),
                      simulation.Counters(),
                      kMaxWastedAtLoad);
}

Figures
MeasureFailFast(const Scale& aScale)
{
  auto fleet = MakeFleet(aScale.servers);
  MeasurementWindow window = MeasurementWindowOf(aScale);
  Stream stream;
  stream.offeredRate = 0.6 * Capacity(fleet);
  stream.end = window.end;
  auto arrivals = MakeArrivals({ stream }, aScale.seed);
  // The fastest server fails, because it gets the most work.
  std::size_t failingServer = 10;
  SimulationHooks hooks;
  hooks.plan = [&](std::size_t aServer, double aWork, double aNow) {
    bool fails = aServer == failingServer && aNow > window.start;
    return fails ? RunPlan{ 0.002, true }
                 : RunPlan{ aWork / fleet[aServer].speed, false };
  };
  FleetSimulation simulation(fleet, window, hooks);
  simulation.SetOrganisation(MakeOrganisation(stream.organisation, 0));
  auto results = simulation.Run(arrivals);

  std::size_t failed = 0;
  std::size_t count = 0;
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    bool isMeasured = arrivals[i].time >= window.start;
    count += isMeasured ? 1 : 0;
    failed += isMeasured && !results[i].complete ? 1 : 0;
  }
  auto name = fmt::format("fail_fast.{}_servers", aScale.servers);
  auto ejections = simulation.Scheduler().Counters().health.ejections;
  // A server that fails every task after the normal run time fails its share
  // of the tasks.
  double share =
    fleet[failingServer].speed * fleet[failingServer].slots / Capacity(fleet);
  return { { name + ".failed",
             double(failed) / double(count),
             "share",
             BoundKind::eAtMost,
             share },
           { name + ".ejections", double(ejections), "count" } };
}

Figures
MeasureStragglers(const Scale& aScale)
{
  auto fleet = MakeFleet(aScale.servers);
  MeasurementWindow window = MeasurementWindowOf(aScale);
  Stream stream;
  stream.offeredRate = 0.7 * Capacity(fleet);
  stream.tasksPerJob = kTasksPerJob;
  stream.end = window.end;
  auto arrivals = MakeArrivals({ stream }, aScale.seed);
  std::mt19937_64 random(aScale.seed);
  for (Arrival& arrival : arrivals) {
    for (TaskSize& task : arrival.tasks) {
      task.work *= std::bernoulli_distribution(0.01)(random) ? 10 : 1;
    }
  }
  FleetSimulation simulation(fleet, window);
  simulation.SetOrganisation(MakeOrganisation(stream.organisation, 0));
  auto actual = ResponsesOf(arrivals, simulation.Run(arrivals), window);
  auto ideal = ResponsesOf(arrivals, RunIdeal(fleet, arrivals), window);
  Figures figures;
  AddBaseline(figures,
              fmt::format("stragglers.{}_servers", aScale.servers),
              actual,
              ideal);
  return figures;
}

Figures
MeasureCancellations(const Scale& aScale)
{
  auto fleet = MakeFleet(aScale.servers);
  MeasurementWindow window = MeasurementWindowOf(aScale);
  Stream stream;
  stream.offeredRate = 1.5 * Capacity(fleet);
  stream.tasksPerJob = kTasksPerJob;
  stream.end = window.start + 10;
  auto arrivals = MakeArrivals({ stream }, aScale.seed);
  double cancelTime = stream.end;
  SimulationHooks hooks;
  hooks.cancelAt = [&](std::size_t aArrival) {
    return aArrival % 2 == 0 && arrivals[aArrival].time < cancelTime
             ? cancelTime
             : -1;
  };
  FleetSimulation simulation(fleet, window, hooks);
  simulation.SetOrganisation(MakeOrganisation(stream.organisation, 0));
  auto results = simulation.Run(arrivals);
  std::size_t cancelled = 0;
  for (const JobResult& result : results) {
    cancelled += result.code == state::RefusalCode::eCancelled ? 1 : 0;
  }
  const SimulationCounters& counters = simulation.Counters();
  auto name = fmt::format("cancellations.{}_servers", aScale.servers);
  double messagesPerJob = double(counters.cancelMessages) / double(cancelled);
  return { { name + ".starts_after_cancel",
             double(counters.startsAfterCancel),
             "count",
             BoundKind::eAtMost,
             0 },
           { name + ".cancelled", double(cancelled), "jobs" },
           { name + ".messages_per_job", messagesPerJob, "messages" } };
}

}
