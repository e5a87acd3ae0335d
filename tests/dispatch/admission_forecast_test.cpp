#include <set>

#include <gtest/gtest.h>

#include "coordination/admission/admission_forecast.h"
#include "coordination/admission/recent_work.h"
#include "coordination/admission/retry_delay.h"
#include "coordination/admission/waiting_history.h"
#include "coordination/simulation/virtual_clock.h"

// The pure functions and values of admission by forecast.
namespace greengage::testing {
namespace {

using namespace coordination;
using std::chrono::milliseconds;

constexpr AdmissionSettings kPoint{ AdmissionRule::ePoint, 0.8, 0.25 };
constexpr AdmissionSettings kQuantile{ AdmissionRule::eQuantile, 0.8, 0.25 };

AdmissionInputs
Inputs()
{
  AdmissionInputs inputs;
  inputs.workAhead = 300'000;
  inputs.ownWork = 100'000;
  inputs.capacity = 2000;
  inputs.timeLeftMs = 250;
  return inputs;
}

class AdmissionForecastTest : public ::testing::Test
{
protected:
  milliseconds time_{ 100'000 };
  simulation::VirtualClock clock_{ time_, {} };
};

// Load pattern: steady overload of one kind. The work ahead and that of the job
// itself are done with the capacity that the entry can expect.
TEST_F(AdmissionForecastTest, DividesTheWorkAheadByTheCapacity)
{
  EXPECT_DOUBLE_EQ(ForecastWaitMs(Inputs(), kPoint), 200);
  EXPECT_TRUE(StartsInTime(Inputs(), 200));
  EXPECT_FALSE(StartsInTime(Inputs(), 251));
}

// Load pattern: a burst of urgent jobs, which overtake a waiting job of lower
// priority.
TEST_F(AdmissionForecastTest, LeavesCapacityToMoreUrgentArrivals)
{
  AdmissionInputs inputs = Inputs();
  inputs.urgentArrivals = 1000;
  EXPECT_DOUBLE_EQ(ForecastWaitMs(inputs, kPoint), 400);
}

// Load pattern: urgent jobs alone exceed the capacity. Jobs of lower priority
// still get the gaps between them, so they must not all be rejected.
TEST_F(AdmissionForecastTest, ExpectsTheLeastShareUnderUrgentOverload)
{
  AdmissionInputs inputs = Inputs();
  inputs.urgentArrivals = 10'000;
  EXPECT_DOUBLE_EQ(ForecastWaitMs(inputs, kPoint), 800);
}

// Load pattern: all processes start together, and no server is known yet.
TEST_F(AdmissionForecastTest, MakesNoForecastWithoutServers)
{
  AdmissionInputs inputs = Inputs();
  inputs.capacity = 0;
  EXPECT_EQ(ForecastWaitMs(inputs, kPoint), 0);
}

// Load pattern: other entries take capacity that this one expects, so that jobs
// wait longer than forecast.
TEST_F(AdmissionForecastTest, CorrectsByTheObservedWaiting)
{
  AdmissionInputs inputs = Inputs();
  inputs.correction = 2;
  EXPECT_DOUBLE_EQ(ForecastWaitMs(inputs, kQuantile), 400);
  EXPECT_DOUBLE_EQ(ForecastWaitMs(inputs, kPoint), 200);
}

// Load pattern: fluctuations around full load. A job that has moved up in the
// queue must not be rejected by a small error of its forecast.
TEST_F(AdmissionForecastTest, ToleratesMoreForJobsThatHaveWaited)
{
  AdmissionInputs inputs = Inputs();
  inputs.waitedMs = 100;
  EXPECT_TRUE(StartsInTime(inputs, 400));
  EXPECT_FALSE(StartsInTime(inputs, 600));
}

// Load pattern: overload of jobs that wait for a tick. Those with a narrow
// margin are told within 50 ms, because most of them would be rejected later.
TEST_F(AdmissionForecastTest, DemandsAMarginInTheLastTickOf50Ms)
{
  AdmissionInputs inputs = Inputs();
  inputs.waitedMs = 30;
  EXPECT_FALSE(StartsInTime(inputs, 200));
  EXPECT_TRUE(StartsInTime(inputs, 150));
}

// Load pattern: a burst that has ended. Its waiting times must not cause
// rejections a second later.
TEST_F(AdmissionForecastTest, ForgetsWaitingTimesAfterASecond)
{
  WaitingHistory history(clock_);
  EXPECT_EQ(history.Correction(1, 0.8), 1);
  for (int i = 0; i < 10; ++i) {
    history.Add(1, 75, 175);
  }
  EXPECT_DOUBLE_EQ(history.Correction(1, 0.8), 2);
  EXPECT_DOUBLE_EQ(history.WaitMs(1, 0.8), 175);
  EXPECT_EQ(history.Correction(0, 0.8), 1);
  time_ += milliseconds(1001);
  EXPECT_EQ(history.Correction(1, 0.8), 1);
  EXPECT_EQ(history.WaitMs(1, 0.8), 0);
}

// Load pattern: one odd job. It must not change the forecasts of the others,
// and no correction may be so large that nothing is accepted any more.
TEST_F(AdmissionForecastTest, LimitsTheCorrection)
{
  WaitingHistory history(clock_);
  history.Add(1, 10, 900);
  EXPECT_EQ(history.Correction(1, 0.8), 1);
  for (int i = 0; i < 10; ++i) {
    history.Add(1, 0, 5000);
  }
  EXPECT_EQ(history.Correction(1, 0.8), 3);
}

// Load pattern: a kind of jobs whose rate changes within seconds.
TEST_F(AdmissionForecastTest, CountsTheUrgentWorkOfTheLastSecond)
{
  RecentWork work(clock_);
  work.Add(0, 5000);
  time_ += milliseconds(500);
  work.Add(1, 3000);
  EXPECT_DOUBLE_EQ(work.RateAbove(0), 0);
  EXPECT_DOUBLE_EQ(work.RateAbove(1), 5);
  EXPECT_DOUBLE_EQ(work.RateAbove(2), 8);
  time_ += milliseconds(600);
  EXPECT_DOUBLE_EQ(work.RateAbove(2), 3);
  time_ += milliseconds(1000);
  EXPECT_DOUBLE_EQ(work.RateAbove(2), 0);
}

// Load pattern: a burst that is rejected at one moment. Its callers must not
// return together, and must read whole seconds of at least 1.
TEST_F(AdmissionForecastTest, SpreadsTheRetriesOfABurst)
{
  std::set<milliseconds> delays;
  for (std::uint64_t job = 1; job <= 100; ++job) {
    milliseconds delay = RetryDelay({ job, 1500, 4000, 0 });
    EXPECT_EQ(delay.count() % 1000, 0);
    EXPECT_GE(delay, milliseconds(1000));
    EXPECT_LE(delay, milliseconds(4000));
    delays.insert(delay);
    EXPECT_EQ(delay, RetryDelay({ job, 1500, 4000, 0 }));
    EXPECT_LE(RetryDelay({ job, 1500, 4000, 1200 }), delay);
  }
  EXPECT_GE(delays.size(), 3u);
}

// Load pattern: a job that waited in vain. Its caller returns before those that
// were rejected at once.
TEST_F(AdmissionForecastTest, LetsCallersThatWaitedReturnFirst)
{
  for (std::uint64_t job = 1; job <= 100; ++job) {
    EXPECT_EQ(RetryDelay({ job, 1500, 4000, 3000 }), milliseconds(1000));
  }
}

}
}
