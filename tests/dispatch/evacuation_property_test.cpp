#include <cstdlib>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "dispatch/dispatch_simulation.h"

namespace greengage::testing {
namespace {

/** The test runs seeds 1 to this; EVACUATION_SEEDS overrides the number. */
constexpr std::uint64_t kSeeds = 60;
constexpr unsigned kEntries = 6;
constexpr unsigned kServers = 6;
constexpr Milliseconds kEvacuatedAt = 3000;
constexpr Milliseconds kRemovedAt = 13'000;
constexpr Milliseconds kEnd = 25'000;
/** Bounds on the time from the acknowledgement until the last start. */
constexpr Milliseconds kBoundWithStore = 1000;
constexpr Milliseconds kBoundWithoutStore = 5000;

std::uint64_t
SeedCount()
{
  const char* text = std::getenv("EVACUATION_SEEDS");
  return text ? std::strtoull(text, nullptr, 10) : kSeeds;
}

/** One evacuation and its removal, with faults derived from a seed. */
class EvacuationScenario
{
public:
  EvacuationScenario(std::uint64_t aSeed, bool aIsRefusing)
    : random_(aSeed)
    , isRefusing_(aIsRefusing)
    , simulation_(Settings(aSeed))
  {
    simulation_.SetStartHook([this](unsigned aServer) { OnStart(aServer); });
  }

  void Run()
  {
    for (unsigned i = 0; isRefusing_ && i < kEntries / 3; ++i) {
      simulation_.SetRefused((i + Random(kEntries)) % kEntries, true);
    }
    startedAt_ = simulation_.Now();
    for (Milliseconds time = 0; time < kEnd - 2000; time += 25) {
      At(time, [this] {
        simulation_.Submit(
          Random(kEntries), ++job_, 1 + Random(3), 20 + Random(200));
      });
    }
    for (Milliseconds time = 500; time < kEnd - 4000; time += 350) {
      At(time, [this] { InjectFault(); });
    }
    At(kEvacuatedAt, [this] { simulation_.SetEvacuated("b", true); });
    At(kRemovedAt, [this] { simulation_.SetEvacuated("b", false); });
    simulation_.RunFor(kEnd);
  }

  const std::string& LateStarts() const { return lateStarts_; }
  unsigned StartsAfterRemoval() const { return startsAfterRemoval_; }
  unsigned StartsBefore() const { return startsBefore_; }
  DispatchSimulation& Simulation() { return simulation_; }

private:
  static DispatchSimulationSettings Settings(std::uint64_t aSeed)
  {
    DispatchSimulationSettings settings;
    settings.entries = kEntries;
    settings.servers = kServers;
    settings.seed = aSeed;
    settings.dataCentres = { "a", "b", "c" };
    settings.speeds = { 0.8, 1.8 };
    settings.lostAnswerShare = 0.02;
    settings.lostNoticeShare = 0.3;
    return settings;
  }

  unsigned Random(unsigned aBelow)
  {
    return static_cast<unsigned>(random_() % aBelow);
  }

  void At(Milliseconds aTime, std::function<void()> aFunction)
  {
    simulation_.ScheduleAt(startedAt_ + aTime, std::move(aFunction));
  }

  void InjectFault()
  {
    unsigned entry = Random(kEntries);
    unsigned server = Random(kServers);
    switch (Random(7)) {
      case 0:
        simulation_.KillEntry(entry, 100 + Random(1500));
        break;
      case 1:
        simulation_.KillAgent(server, 100 + Random(1500));
        break;
      case 2:
        simulation_.FreezeEntry(entry, 100 + Random(2000));
        break;
      case 3:
        simulation_.FreezeAgent(server, 100 + Random(2000));
        break;
      case 4:
        simulation_.Partition(entry, server, 100 + Random(3000));
        break;
      case 5:
        simulation_.HoldMessages(
          entry, server, LinkDirection::eToAgent, 100 + Random(1000));
        break;
      default:
        simulation_.ResetAllConnections();
        break;
    }
  }

  void OnStart(unsigned aServer)
  {
    if (simulation_.DataCentreOf(aServer) != "b") {
      return;
    }
    Milliseconds time = simulation_.Now() - startedAt_;
    Milliseconds bound = isRefusing_ ? kBoundWithoutStore : kBoundWithStore;
    if (time < kEvacuatedAt) {
      ++startsBefore_;
    } else if (time >= kRemovedAt) {
      ++startsAfterRemoval_;
    } else if (time > kEvacuatedAt + bound) {
      lateStarts_ +=
        fmt::format("  server {} {} ms after the acknowledgement\n",
                    aServer,
                    time - kEvacuatedAt);
    }
  }

  std::mt19937_64 random_;
  bool isRefusing_;
  DispatchSimulation simulation_;
  Milliseconds startedAt_ = 0;
  std::uint64_t job_ = 0;
  std::string lateStarts_;
  unsigned startsBefore_ = 0;
  unsigned startsAfterRemoval_ = 0;
};

void
CheckSeeds(bool aIsRefusing)
{
  for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
    EvacuationScenario scenario(seed, aIsRefusing);
    scenario.Run();
    EXPECT_EQ(scenario.LateStarts(), "") << "seed " << seed;
    EXPECT_GT(scenario.StartsBefore(), 0u) << "seed " << seed;
    EXPECT_GT(scenario.StartsAfterRemoval(), 0u) << "seed " << seed;
    const auto& violations = scenario.Simulation().Violations();
    if (!violations.empty()) {
      ADD_FAILURE() << "seed " << seed << ": " << violations.front() << "\n"
                    << scenario.Simulation().Trace(
                         scenario.Simulation().JobOfFirstViolation());
    }
    if (::testing::Test::HasFailure()) {
      return;
    }
  }
}

// Guards against a start in an evacuated data centre under restarts, freezes,
// cut links and lost messages, and against one that is never used again.
TEST(EvacuationPropertyTest, NoStartOnceTheStoreHasInformedAllEntries)
{
  CheckSeeds(false);
}

// Guards against the same if the store refuses a third of the entries, which
// learn of the evacuation only from other processes.
TEST(EvacuationPropertyTest, NoStartAlthoughTheStoreRefusesSomeEntries)
{
  CheckSeeds(true);
}

// Guards against an evacuation that stops or moves the tasks that run, and
// against callers that get no answer for jobs that have started.
TEST(EvacuationPropertyTest, RunningTasksEndUndisturbed)
{
  DispatchSimulationSettings settings;
  settings.servers = 4;
  settings.dataCentres = { "a", "b" };
  DispatchSimulation simulation(settings);
  for (std::uint64_t job = 1; job <= 8; ++job) {
    simulation.Submit(job % 2, job, 2, 600);
  }
  simulation.RunFor(100);
  unsigned running = simulation.StartCount(1) + simulation.StartCount(3);
  ASSERT_GT(running, 0u);
  simulation.SetEvacuated("b", true);
  simulation.RunFor(3000);
  EXPECT_TRUE(simulation.StopReasons().empty());
  for (const SubmissionRecord& submission : simulation.Submissions()) {
    ASSERT_TRUE(submission.outcome);
    EXPECT_EQ(submission.outcome->result, state::DispatchResult::eCompleted);
  }
  EXPECT_EQ(simulation.StartCount(1) + simulation.StartCount(3), running);
}

// Guards against jobs that wait for servers that get no runs: the answer must
// be a true rejection, and must not come only at the deadline.
TEST(EvacuationPropertyTest, JobsWithoutOtherServersAreRejected)
{
  DispatchSimulationSettings settings;
  settings.servers = 2;
  settings.dataCentres = { "a", "b" };
  DispatchSimulation simulation(settings);
  // Both servers are full, so that the last job waits.
  for (std::uint64_t job = 1; job <= 3; ++job) {
    simulation.Submit(0, job, FakeServer::kSlots, 700);
  }
  simulation.RunFor(100);
  simulation.SetEvacuated("a", true);
  simulation.SetEvacuated("b", true);
  simulation.RunFor(300);
  auto refused = simulation.Submit(1, 9, 1, 50);
  simulation.RunFor(50);
  for (std::size_t number : { std::size_t{ 2 }, refused }) {
    const auto& outcome = simulation.Submissions()[number].outcome;
    ASSERT_TRUE(outcome) << number;
    EXPECT_EQ(outcome->result, state::DispatchResult::eRejected);
    EXPECT_EQ(outcome->reason, state::DispatchReason::eEvacuated);
  }
  simulation.RunFor(2000);
  EXPECT_EQ(simulation.Submissions()[0].outcome->result,
            state::DispatchResult::eCompleted);
  EXPECT_TRUE(simulation.Violations().empty());
}

// Guards against a server that is slow after its start and gets its whole load
// at once, and against a warm one that waits.
TEST(EvacuationPropertyTest, ColdServersGetTheirLoadInARamp)
{
  DispatchSimulationSettings settings;
  settings.servers = 2;
  settings.dataCentres = { "a", "b" };
  DispatchSimulation simulation(settings);
  simulation.SetEvacuated("a", true);
  simulation.SetEvacuated("b", true);
  simulation.SetColdTime(1, 6000);
  simulation.RunFor(1500);
  simulation.SetEvacuated("a", false);
  simulation.SetEvacuated("b", false);
  simulation.RunFor(500);
  ASSERT_EQ(simulation.StartCount(0) + simulation.StartCount(1), 0u);
  for (std::uint64_t job = 1; job <= 2 * FakeServer::kSlots; ++job) {
    simulation.Submit(0, job, 1, 800);
  }
  simulation.RunFor(200);
  EXPECT_EQ(simulation.StartCount(0), FakeServer::kSlots);
  EXPECT_GT(simulation.StartCount(1), 0u);
  EXPECT_LT(simulation.StartCount(1), FakeServer::kSlots);
}

}
}
