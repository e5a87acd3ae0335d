#include <gtest/gtest.h>

#include "policy/admission_scenario.h"

namespace greengage::policy {
namespace {

AdmissionLoad
LoadOf(double aLoad)
{
  AdmissionLoad load;
  load.servers = 6;
  load.entries = 3;
  load.seconds = 10;
  load.load = aLoad;
  load.seed = 7;
  return load;
}

// Guards against a model that loses jobs or capacity. Below the capacity of
// the fleet nothing is rejected; a few runs take too long, because the callers'
// estimates are off.
TEST(AdmissionModelTest, ServesAllWorkOnACalmDay)
{
  auto result = MeasureAdmission(MakeAdmissionScenario(LoadOf(0.5)), { "dc" });
  EXPECT_GT(result.attempts, 300u);
  EXPECT_EQ(result.rejections, 0u);
  EXPECT_LE(result.acceptedNotServed, result.attempts / 100);
  EXPECT_GE(result.worstKind, 0.99);
}

// Guards against results that depend on more than the seed.
TEST(AdmissionModelTest, RepeatsARunExactly)
{
  auto scenario = MakeAdmissionScenario(LoadOf(1.5));
  EXPECT_EQ(scenario, MakeAdmissionScenario(LoadOf(1.5)));
  EXPECT_EQ(MeasureAdmission(scenario, { "dc" }),
            MeasureAdmission(scenario, { "dc" }));
}

}
}
