#include "coordination/cancellation/cancelled_jobs.h"

#include <gtest/gtest.h>

#include "coordination/simulation/virtual_clock.h"

namespace greengage::coordination {
namespace {

using std::chrono::milliseconds;

// Guards against a flood of cancellations of jobs that nobody has, which
// removes the records of acknowledged ones.
TEST(CancelledJobsTest, IsFullWhileARecordThatIsNeededWouldBeRemoved)
{
  milliseconds time{ 0 };
  simulation::VirtualClock clock(time, {});
  CancelledJobs jobs(clock);
  std::uint64_t count = 0;
  while (!jobs.IsFull() && count < 1'000'000) {
    jobs.AddOwn(++count);
  }
  EXPECT_EQ(jobs.Count(), 65'536u);
  EXPECT_TRUE(jobs.Contains(1));
  time += milliseconds(29'000);
  EXPECT_TRUE(jobs.IsFull());
  time += milliseconds(2000);
  EXPECT_FALSE(jobs.IsFull());
}

}
}
