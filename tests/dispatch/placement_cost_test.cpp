#include <random>

#include <gtest/gtest.h>

#include "coordination/dispatch/job_dispatcher.h"
#include "coordination/simulation/virtual_clock.h"

// Cost of placing waiting jobs while capacity is short.
namespace greengage::testing {
namespace {

using namespace coordination;
using state::ProcessId;
using state::ResourceAmount;
using std::chrono::milliseconds;

constexpr ResourceAmount kCapacity{ 64'000, 262'144, 0 };
constexpr ResourceAmount kNeed{ 7'000, 64, 0 };
constexpr std::uint64_t kServers = 32;
constexpr std::uint64_t kWaitingJobs = 30;
constexpr std::uint32_t kTasksPerJob = 8;
constexpr unsigned kReports = 600;

ProcessInfo
Agent(std::uint64_t aNumber)
{
  ProcessInfo agent;
  agent.id = ProcessId{ aNumber, aNumber };
  agent.role = ProcessRole::eAgent;
  agent.peerAddress = "10.0.0." + std::to_string(aNumber) + ":7720";
  return agent;
}

ServerReport
Report(const ResourceAmount& aUsedByOthers)
{
  ServerReport report;
  report.condition = ServerCondition::eReady;
  report.usedByOthers = aUsedByOthers;
  return report;
}

ServerReport
FirstReport(const ResourceAmount& aUsedByOthers)
{
  ServerReport report = Report(aUsedByOthers);
  report.description = ServerDescription{ "server", "pool", {}, kCapacity };
  return report;
}

// Guards against an entry of a tenth of a core that spends its processor time
// on attempts to place each waiting job at each report of a full server, so
// that its queue grows while its neighbours have free capacity.
TEST(PlacementCostTest, ReportsOfFullServersCauseNoAttempts)
{
  milliseconds time{ 1000 };
  simulation::VirtualClock clock(time, {});
  std::uint32_t started = 0;
  JobDispatcherHooks hooks;
  hooks.answer = [](SubmissionId, const state::DispatchOutcome&) {};
  hooks.send = [&](const ProcessId&, const DispatchOrders& aOrders) {
    for (const RunBatch& batch : aOrders.starts) {
      started += static_cast<std::uint32_t>(batch.runs.size());
    }
  };
  JobDispatcher dispatcher({}, clock, hooks);
  // Four servers have room for one task each, too little for a whole job.
  ResourceAmount nearlyFull{ kCapacity.cpuMillicores - kNeed.cpuMillicores,
                             0,
                             0 };
  for (std::uint64_t i = 1; i <= kServers; ++i) {
    dispatcher.OnAgent(Agent(i));
    dispatcher.OnReport(Agent(i).id,
                        FirstReport(i <= 4 ? nearlyFull : kCapacity));
  }
  state::WorkQueue queue;
  queue.name = "queue";
  queue.service = "pool";
  queue.objectiveMargin = milliseconds(60);
  for (std::uint64_t i = 1; i <= kWaitingJobs; ++i) {
    state::DispatchJob job;
    job.id = i;
    job.steps.push_back({ kTasksPerJob, kNeed, milliseconds(60) });
    dispatcher.Submit(i, queue, job, milliseconds(1500));
  }
  ASSERT_EQ(dispatcher.WaitingCount(), kWaitingJobs);
  std::uint64_t before = dispatcher.Placer().Attempts();
  for (unsigned i = 0; i < kReports; ++i) {
    bool isFuller = i % 2 == 0;
    dispatcher.OnReport(
      Agent(kServers).id,
      Report({ kCapacity.cpuMillicores - (isFuller ? 0 : 1'000), 0, 0 }));
  }
  EXPECT_EQ(dispatcher.Placer().Attempts(), before);
  EXPECT_EQ(started, 0u);

  // The first job starts as soon as there is room for all of its tasks.
  dispatcher.OnReport(
    Agent(kServers).id,
    Report(
      { kCapacity.cpuMillicores - kTasksPerJob * kNeed.cpuMillicores, 0, 0 }));
  EXPECT_GE(started, kTasksPerJob);
}

// Guards against a count of free places that differs from the number of tasks
// that can be placed one after the other, which would leave tasks waiting.
TEST(PlacementCostTest, FreePlacesAreThoseThatTasksGet)
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    milliseconds time{ 1000 };
    simulation::VirtualClock clock(time, {});
    ServerPool pool("", clock);
    for (std::uint64_t i = 1; i <= 1 + random() % 6; ++i) {
      pool.OnAgent(Agent(i));
      pool.OnReport(
        Agent(i).id,
        FirstReport({ static_cast<std::uint32_t>(random() % 70'000),
                      static_cast<std::uint32_t>(random() % 262'144),
                      0 }));
      for (std::uint64_t failures = random() % 5; failures > 0; --failures) {
        pool.OnRunFailed(Agent(i).id);
      }
    }
    time += milliseconds(random() % 2'000);
    PlacementRequest request;
    request.service = "pool";
    request.need = { static_cast<std::uint32_t>(1'000 + random() % 10'000),
                     static_cast<std::uint32_t>(1 + random() % 60'000),
                     0 };
    request.workMs = 60;
    request.latestMs = 10'000;
    request.objectiveMs = 10'000;
    std::uint32_t expected = pool.CountFreePlaces(request, 1'000);
    std::uint32_t placed = 0;
    while (auto place = pool.Choose(request, {}, 0)) {
      pool.OnRunSent(place->server, { { seed, 0, placed }, 1 }, request.need);
      ++placed;
    }
    EXPECT_EQ(placed, expected) << "seed " << seed;
    EXPECT_EQ(pool.CountFreePlaces(request, 1), 0u) << "seed " << seed;
  }
}

}
}
