#include <gtest/gtest.h>

#include "dispatch/dispatch_simulation.h"

// Random days with tasks that crash each server that starts them.
namespace greengage::testing {
namespace {

constexpr std::uint64_t kFirstDeadlyJob = 9001;
constexpr unsigned kDeadlyJobs = 3;
constexpr unsigned kOtherJobs = 80;
constexpr unsigned kSeeds = 200;

void
PlayDay(std::uint64_t aSeed)
{
  DispatchSimulationSettings settings;
  settings.entries = 3;
  settings.servers = 8;
  settings.seed = aSeed;
  DispatchSimulation simulation(settings);
  simulation.SetDeadlyPredicate(
    [](const state::TaskKey& aTask) { return aTask.job >= kFirstDeadlyJob; });
  simulation.RunFor(500);
  for (unsigned i = 0; i < kOtherJobs; ++i) {
    simulation.ScheduleAt(simulation.Now() + 100 * i, [&simulation, i] {
      simulation.Submit(i % 3, i + 1, 2, 60);
    });
  }
  // The callers submit their jobs again when they have no answer in time.
  for (unsigned attempt = 0; attempt < 5; ++attempt) {
    for (unsigned i = 0; i < kDeadlyJobs; ++i) {
      auto time = simulation.Now() + 1000 + 1700 * attempt + 700 * i;
      simulation.ScheduleAt(time, [&simulation, attempt, i] {
        simulation.Submit((attempt + i) % 3, kFirstDeadlyJob + i, 1, 60);
      });
    }
  }
  simulation.RunFor(15'000);
  for (const std::string& violation : simulation.Violations()) {
    ADD_FAILURE() << "seed " << aSeed << ": " << violation << "\n"
                  << simulation.Trace(simulation.JobOfFirstViolation());
  }
  for (const SubmissionRecord& record : simulation.Submissions()) {
    ASSERT_TRUE(record.outcome) << "seed " << aSeed;
    if (record.job < kFirstDeadlyJob) {
      EXPECT_NE(record.outcome->reason, state::DispatchReason::eCrashedServers)
        << "seed " << aSeed << " job " << record.job << "\n"
        << simulation.Trace(record.job);
    }
  }
}

// Guards against a task that crashes server after server, also when its caller
// submits its job again through other entries, and against innocent jobs that
// are given up with it.
TEST(DispatchCrashPropertyTest, DeadlyTasksEndAfterThreeCrashes)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PlayDay(seed);
  }
}

}
}
