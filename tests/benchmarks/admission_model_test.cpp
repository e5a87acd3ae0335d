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

// Guards against a forecast that rejects what could be served, large jobs
// above all, or that accepts what is rejected later. The bounds are the targets
// of admission by forecast.
TEST(AdmissionModelTest, ForecastMeetsItsTargetsUnderOverload)
{
  coordination::JobDispatcherSettings settings{ "dc" };
  settings.admission.rule = coordination::AdmissionRule::eQuantile;
  // The served work of one seed varies by 0.01 with any change of the order of
  // events.
  double workBefore = 0;
  double workAfter = 0;
  for (std::uint32_t seed : { 1, 2 }) {
    AdmissionLoad load;
    load.load = 1.5;
    load.seed = seed;
    AdmissionScenario scenario{ load, MakeAdmissionArrivals(load) };
    // The oracle is not needed.
    scenario.servedByOracle.resize(scenario.arrivals.size());
    auto before = MeasureAdmission(scenario, { "dc" });
    auto after = MeasureAdmission(scenario, settings);
    EXPECT_GE(after.SoonShare(), 0.95) << after.ToLine();
    EXPECT_LE(after.acceptedNotServed * 4, before.acceptedNotServed)
      << after.ToLine();
    EXPECT_GE(after.worstLargestTenth, 0.5) << after.ToLine();
    workBefore += before.servedWork;
    workAfter += after.servedWork;
  }
  EXPECT_GE(workAfter, workBefore);
}

// Guards against a forecast that changes calm days.
TEST(AdmissionModelTest, ForecastChangesNothingOnACalmDay)
{
  coordination::JobDispatcherSettings settings{ "dc" };
  settings.admission.rule = coordination::AdmissionRule::eQuantile;
  auto scenario = MakeAdmissionScenario(LoadOf(0.3));
  EXPECT_EQ(MeasureAdmission(scenario, settings),
            MeasureAdmission(scenario, { "dc" }));
}

}
}
