#include <gtest/gtest.h>

#include "coordination/dispatch/crash_history.h"
#include "coordination/simulation/virtual_clock.h"

namespace greengage::testing {
namespace {

using namespace coordination;
using state::ProcessId;
using state::TaskKey;
using std::chrono::milliseconds;

class CrashHistoryTest : public ::testing::Test
{
protected:
  static TaskKey TaskOf(std::uint64_t aJob) { return { aJob, 0, 0 }; }

  std::vector<CrashedTask> Crash(const std::vector<std::uint64_t>& aJobs)
  {
    ServerCrash crash;
    crash.number = ++crashes_;
    for (std::uint64_t job : aJobs) {
      crash.suspects.push_back({ TaskOf(job), "queue" });
    }
    return history_.OnCrash(agent_, crash);
  }

  milliseconds time_{ 100'000 };
  simulation::VirtualClock clock_{ time_, {} };
  CrashHistory history_{ clock_ };
  ProcessId agent_{ 1, 1 };
  std::uint64_t crashes_ = 0;
};

// Guards against a task that crashes server after server.
TEST_F(CrashHistoryTest, TaskIsGivenUpAfterTwoAttributedCrashes)
{
  EXPECT_FALSE(Crash({ 1 })[0].isGivenUp);
  EXPECT_EQ(history_.Attributed(TaskOf(1)), 1u);
  EXPECT_EQ(Crash({ 1 }),
            (std::vector<CrashedTask>{ { TaskOf(1), "queue", 2, 2, true } }));
  EXPECT_TRUE(history_.HasGivenUpTask(1));
  EXPECT_FALSE(history_.HasGivenUpTask(2));
}

// Guards against a victim that is blamed for a crash although the server also
// had a task that crashed another server before.
TEST_F(CrashHistoryTest, EarlierSuspectIsBlamedBeforeOtherTasks)
{
  Crash({ 1 });
  Crash({ 1, 2 });
  EXPECT_TRUE(history_.IsGivenUp(TaskOf(1)));
  EXPECT_EQ(history_.Attributed(TaskOf(2)), 0u);
  Crash({ 3 });
  Crash({ 3, 2 });
  EXPECT_FALSE(history_.IsGivenUp(TaskOf(2)));
}

// Guards against a victim that stays a suspect once the cause is found.
TEST_F(CrashHistoryTest, FoundCauseExoneratesTheVictimsOfItsCrashes)
{
  Crash({ 1, 2 });
  EXPECT_EQ(history_.Attributed(TaskOf(2)), 1u);
  Crash({ 1 });
  EXPECT_EQ(history_.Attributed(TaskOf(2)), 0u);
  Crash({ 2, 3 });
  EXPECT_FALSE(history_.IsGivenUp(TaskOf(2)));
}

// Guards against a task that is always together with earlier suspects and so
// is never blamed.
TEST_F(CrashHistoryTest, ThreeCrashesInAllAreTheLimit)
{
  for (std::uint64_t other : { 10, 11, 12 }) {
    Crash({ other });
    EXPECT_FALSE(history_.IsGivenUp(TaskOf(1)));
    Crash({ other, 1 });
  }
  EXPECT_TRUE(history_.IsGivenUp(TaskOf(1)));
}

// Guards against a crash that counts twice because its report is repeated.
TEST_F(CrashHistoryTest, RepeatedReportCountsOnce)
{
  ServerCrash crash{ 7, 0, { { TaskOf(1), "queue" } } };
  EXPECT_EQ(history_.OnCrash(agent_, crash).size(), 1u);
  EXPECT_TRUE(history_.OnCrash(agent_, crash).empty());
  EXPECT_FALSE(history_.IsGivenUp(TaskOf(1)));
  // Another agent has numbers of its own.
  EXPECT_TRUE(history_.OnCrash({ 2, 2 }, crash)[0].isGivenUp);
}

// Guards against evidence that accumulates forever, and against a task that is
// started again soon after it was given up.
TEST_F(CrashHistoryTest, EvidenceExpiresBeforeTheConclusion)
{
  Crash({ 1 });
  Crash({ 2 });
  Crash({ 2 });
  time_ += milliseconds(31'000);
  Crash({ 1 });
  EXPECT_EQ(history_.Attributed(TaskOf(1)), 1u);
  EXPECT_TRUE(history_.IsGivenUp(TaskOf(2)));
  time_ += milliseconds(600'000);
  history_.RemoveExpired();
  EXPECT_FALSE(history_.IsGivenUp(TaskOf(2)));
  ServerCrash old{ 99, 31'000, { { TaskOf(3), "queue" } } };
  EXPECT_TRUE(history_.OnCrash(agent_, old).empty());
}

// Guards against unlimited memory on a fleet that crashes all the time.
TEST_F(CrashHistoryTest, SizeIsLimited)
{
  for (std::uint64_t job = 1; job <= 3000; ++job) {
    Crash({ job });
  }
  EXPECT_EQ(history_.Attributed(TaskOf(1)), 0u);
  EXPECT_EQ(history_.Attributed(TaskOf(3000)), 1u);
}

}
}
