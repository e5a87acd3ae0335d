#include "coordination/dispatch/lease_renewals.h"

#include <gtest/gtest.h>

#include "coordination/simulation/virtual_clock.h"

// Which unanswered calls show that the server has become unreachable, and when
// the next call is due.
namespace greengage::testing {
namespace {

using namespace coordination;
using std::chrono::milliseconds;

constexpr milliseconds kWait{ 250 };
constexpr milliseconds kLease{ 600 };

class LeaseRenewalsTest : public ::testing::Test
{
protected:
  /** Returns the number of a new call. */
  std::uint64_t Send(milliseconds aWait)
  {
    return renewals_.Start(aWait, 1, kLease).number;
  }

  void Answer(std::uint64_t aNumber)
  {
    ASSERT_TRUE(renewals_.RemoveAnswered(aNumber));
  }

  unsigned Fail(std::uint64_t aNumber)
  {
    return renewals_.OnNoAnswer(renewals_.RemoveFailed(aNumber).value());
  }

  void Wait(milliseconds aTime) { time_ += aTime; }

  milliseconds time_{ 1000 };
  coordination::simulation::VirtualClock clock_{ time_, milliseconds(0) };
  LeaseRenewals renewals_{ clock_ };
};

// Guards against a server that counts as unreachable because two answers were
// lost, although it has answered calls that were sent after them.
TEST_F(LeaseRenewalsTest, FailureBeforeAnAnsweredCallDoesNotCount)
{
  auto longPoll = Send(kWait);
  Wait(milliseconds(74));
  auto second = Send(milliseconds(0));
  Wait(milliseconds(120));
  Answer(Send(milliseconds(0)));
  Wait(milliseconds(180));
  EXPECT_EQ(Fail(second), 0u);
  EXPECT_EQ(Fail(longPoll), 0u);
  auto third = Send(kWait);
  Wait(milliseconds(100));
  auto fourth = Send(milliseconds(0));
  Wait(milliseconds(300));
  EXPECT_EQ(Fail(fourth), 1u);
  EXPECT_EQ(Fail(third), 2u);
}

// Guards against ends of runs that are learned half a second late because the
// answer that listed them was lost.
TEST_F(LeaseRenewalsTest, CallIsOverdueSoonAfterItsWait)
{
  auto longPoll = Send(kWait);
  Wait(kWait);
  EXPECT_FALSE(renewals_.HasOverdueCall());
  Wait(milliseconds(50));
  EXPECT_TRUE(renewals_.HasOverdueCall());
  auto second = Send(milliseconds(0));
  Wait(milliseconds(1));
  Answer(second);
  EXPECT_FALSE(renewals_.HasOverdueCall());
  Fail(longPoll);
  EXPECT_FALSE(renewals_.HasOverdueCall());
}

// Guards against a server that stays unreachable for longer, because earlier
// calls that time out one after the other delay the next one each time.
TEST_F(LeaseRenewalsTest, FailureOfAnEarlierCallDoesNotDelayTheNext)
{
  auto longPoll = Send(kWait);
  Wait(milliseconds(550));
  EXPECT_TRUE(renewals_.CanStart());
  Fail(longPoll);
  EXPECT_TRUE(renewals_.CanStart());
  auto refused = Send(milliseconds(0));
  Wait(milliseconds(1));
  Fail(refused);
  EXPECT_FALSE(renewals_.CanStart());
  Wait(milliseconds(99));
  EXPECT_TRUE(renewals_.CanStart());
}

}
}
