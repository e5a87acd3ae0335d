#include <algorithm>
#include <chrono>
#include <ctime>
#include <random>

#include <benchmark/benchmark.h>

#include "coordination/scheduling/task_scheduler.h"
#include "policy/figure.h"
#include "policy/fleet_simulation.h"
#include "policy/workload.h"

namespace {

using namespace greengage;
using namespace greengage::policy;

constexpr std::uint32_t kOrganisations = 10;
constexpr std::uint32_t kTasksPerJob = 20;

// Targets of section 1.8 of the design page.
constexpr double kMinDecisionsPerSecond = 530'000;
constexpr double kMaxCostRatio = 2;

/** A scheduler with all slots in use: each task that ends frees a slot for the
 * next one. */
class SaturatedScheduler
{
public:
  explicit SaturatedScheduler(std::size_t aServers)
    : fleet_(MakeFleet(aServers))
  {
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      coordination::ProcessInfo info;
      info.id = { 1, i };
      info.slots = fleet_[i].slots;
      scheduler_.SetServer(info);
    }
    for (const WorkKind& kind : WorkKinds()) {
      auto declared = std::chrono::milliseconds(
        static_cast<std::int64_t>(kind.meanWork * 1000));
      state::WorkTemplate::Builder builder;
      builder.SetName(kind.name).SetExpectedRunTime(declared);
      scheduler_.SetTemplate(*builder.Build());
    }
    for (std::uint32_t i = 0; i < kOrganisations; ++i) {
      AddOrganisation("org" + std::string(1, char('a' + i)));
    }
    RunDecisions(fleet_.size() * 8 * 4);
  }

  /** Ends and assigns tasks in batches, as results arrive from agents. */
  void RunDecisions(std::size_t aDecisions)
  {
    std::size_t done = 0;
    while (done < aDecisions) {
      FillQueue();
      clock_.Set(clock_.Now() + 1e-5);
      for (const auto& assignment : scheduler_.Assign()) {
        running_.push_back(assignment);
      }
      std::size_t batch = std::min<std::size_t>(8, running_.size());
      for (std::size_t i = 0; i < batch; ++i) {
        EndRandomTask();
      }
      done += batch;
    }
  }

private:
  void AddOrganisation(const std::string& aName)
  {
    state::OrganisationParameters::Builder builder;
    builder.SetName(aName);
    scheduler_.SetOrganisation(*builder.Build());
    for (const WorkKind& kind : WorkKinds()) {
      state::JobSpec::Builder spec;
      spec.SetKey({ aName, state::JobId::FromWords(0x7000, 1) });
      spec.SetTemplateName(kind.name);
      for (std::uint32_t i = 0; i < kTasksPerJob; ++i) {
        spec.AddPayload("1");
      }
      jobSpecs_.push_back(*spec.Build());
    }
  }

  /** Queues enough tasks that no slot is idle. */
  void FillQueue()
  {
    while (scheduler_.QueuedTasks() < fleet_.size() * 8 * 2) {
      const state::JobSpec& spec = jobSpecs_[random_() % jobSpecs_.size()];
      ++lastJob_;
      std::vector<coordination::TaskRef> tasks;
      for (std::uint32_t i = 0; i < kTasksPerJob; ++i) {
        tasks.push_back({ lastJob_, i, 0 });
      }
      auto deadline = clock_.MonotonicNow() + spec.Deadline();
      scheduler_.Enqueue(lastJob_, spec, tasks, deadline);
    }
  }

  void EndRandomTask()
  {
    std::swap(running_[random_() % running_.size()], running_.back());
    coordination::Assignment ended = running_.back();
    running_.pop_back();
    double speed = fleet_[ended.agent.low].speed;
    record_.taskState = state::TaskState::eSucceeded;
    record_.runTime = std::chrono::microseconds(
      static_cast<std::int64_t>((0.5e6 + random_() % 200'000) / speed));
    scheduler_.OnTaskEnded(ended.agent, ended.task, record_);
  }

  std::vector<FleetServer> fleet_;
  VirtualClock clock_;
  coordination::TaskScheduler scheduler_{ clock_ };
  std::vector<state::JobSpec> jobSpecs_;
  std::vector<coordination::Assignment> running_;
  state::TaskRecord record_;
  std::mt19937 random_{ 1 };
  coordination::JobHandle lastJob_ = 0;
};

void
DecisionCost(benchmark::State& aState)
{
  SaturatedScheduler scheduler(aState.range(0));
  constexpr std::size_t kBatch = 1000;
  for (auto step : aState) {
    scheduler.RunDecisions(kBatch);
  }
  aState.SetItemsProcessed(aState.iterations() * kBatch);
}
BENCHMARK(DecisionCost)->Arg(11)->Arg(100)->Arg(1000)->Arg(3000);

/** Returns the CPU seconds of this process per scheduling decision. CPU time
 * excludes other processes on the host. */
double
CpuSecondsPerDecision(SaturatedScheduler& aScheduler)
{
  constexpr std::size_t kDecisions = 200'000;
  std::clock_t start = std::clock();
  aScheduler.RunDecisions(kDecisions);
  double elapsed = double(std::clock() - start) / CLOCKS_PER_SEC;
  return elapsed / kDecisions;
}

double
Median(std::vector<double> aValues)
{
  auto middle = aValues.begin() + aValues.size() / 2;
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

/** Measures the two fleet sizes alternately, so that noise affects both. */
Figures
MeasureTargets()
{
  SaturatedScheduler small(11);
  SaturatedScheduler large(1000);
  std::vector<double> smallCosts;
  std::vector<double> largeCosts;
  std::vector<double> ratios;
  for (int round = 0; round < 9; ++round) {
    smallCosts.push_back(CpuSecondsPerDecision(small));
    largeCosts.push_back(CpuSecondsPerDecision(large));
    ratios.push_back(largeCosts.back() / smallCosts.back());
  }
  Figures figures;
  for (auto& [name, costs] : { std::pair{ "11_servers", smallCosts },
                               std::pair{ "1000_servers", largeCosts } }) {
    figures.push_back({ std::string("decisions.") + name,
                        1 / Median(costs),
                        "per_cpu_second",
                        BoundKind::eAtLeast,
                        kMinDecisionsPerSecond });
  }
  figures.push_back({ "decisions.cost_1000_to_11_servers",
                      Median(ratios),
                      "ratio",
                      BoundKind::eAtMost,
                      kMaxCostRatio });
  return figures;
}

}

int
main(int aCount, char** aArguments)
{
  benchmark::Initialize(&aCount, aArguments);
  benchmark::RunSpecifiedBenchmarks();
  return Report(MeasureTargets());
}
