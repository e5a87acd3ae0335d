#include "soak/soak_checker.h"

#include <gtest/gtest.h>

namespace greengage::testing_support {
namespace {

using coordination::RunEndKind;

constexpr state::RunKey kFirstRun{ { 7, 0, 0 }, 1 };
constexpr state::RunKey kSecondRun{ { 7, 0, 0 }, 2 };

// Guards against a soak that cannot fail: the checker reports a violation in
// each of these cases and none in the valid one.
TEST(SoakCheckerTest, ReportsTwoRunsOfATaskAtTheSameTime)
{
  SoakChecker checker;
  checker.OnRunStarted(0, kFirstRun);
  checker.OnRunStarted(1, kSecondRun);
  EXPECT_EQ(checker.Violations().size(), 1u);
}

TEST(SoakCheckerTest, ReportsAStartInAnEvacuatedDataCentre)
{
  SoakChecker checker;
  checker.OnRunStarted(0, kFirstRun);
  checker.SetEvacuatedServer(0);
  checker.OnRunEnded(0, kFirstRun, RunEndKind::eDone);
  EXPECT_TRUE(checker.Violations().empty());
  checker.OnRunStarted(0, kSecondRun);
  EXPECT_EQ(checker.Violations().size(), 1u);
  checker.SetEvacuatedServer(std::nullopt);
  checker.OnRunEnded(0, kSecondRun, RunEndKind::eDone);
  checker.OnRunStarted(0, { { 8, 0, 0 }, 1 });
  EXPECT_EQ(checker.Violations().size(), 1u);
}

TEST(SoakCheckerTest, AllowsARunAfterTheEndOfAnother)
{
  SoakChecker checker;
  checker.OnRunStarted(0, kFirstRun);
  checker.OnRunEnded(0, kFirstRun, RunEndKind::eLost);
  checker.OnRunStarted(1, kSecondRun);
  checker.OnRunEnded(1, kSecondRun, RunEndKind::eDone);
  checker.OnCompleted(7, 1);
  EXPECT_TRUE(checker.Violations().empty());
  EXPECT_EQ(checker.Completed(), 1u);
}

TEST(SoakCheckerTest, ReportsACompletedJobWithATaskThatWasNotDone)
{
  SoakChecker checker;
  checker.OnRunStarted(0, kFirstRun);
  checker.OnRunEnded(0, kFirstRun, RunEndKind::eDone);
  checker.OnCompleted(7, 2);
  EXPECT_EQ(checker.Violations().size(), 1u);
}

TEST(SoakCheckerTest, ReportsARejectedJobThatWasStarted)
{
  SoakChecker checker;
  checker.OnRunStarted(0, kFirstRun);
  checker.OnRejected(7);
  EXPECT_EQ(checker.Violations().size(), 1u);
}

TEST(SoakCheckerTest, ReportsStartsThatNoCallerAskedFor)
{
  SoakChecker checker;
  checker.OnSubmitted({ 0xab, 1 }, std::string("a\0b", 3));
  checker.OnStartOrdered("00000000000000aB.0.0.1", std::string("a\0b", 3));
  EXPECT_TRUE(checker.Violations().empty());
  checker.OnStartOrdered("00000000000000aB.0.0.1", "a");
  EXPECT_EQ(checker.Violations().size(), 1u);
  checker.OnStartOrdered("00000000000000ab.0.0.1", std::string("a\0b", 3));
  EXPECT_EQ(checker.Violations().size(), 2u);
}

}
}
