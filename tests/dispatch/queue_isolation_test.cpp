#include <gtest/gtest.h>

#include <algorithm>

#include "coordination/dispatch/queue_isolation.h"
#include "coordination/simulation/virtual_clock.h"

namespace greengage::testing {
namespace {

using namespace coordination;
using std::chrono::milliseconds;

class QueueIsolationTest : public ::testing::Test
{
protected:
  void GiveUp(const std::string& aQueue)
  {
    isolation_.OnGivenUp(aQueue, ++job_, clock_.MonotonicNow());
  }

  milliseconds time_{ 100'000 };
  simulation::VirtualClock clock_{ time_, {} };
  QueueIsolation isolation_{ clock_ };
  QueueIsolation::ServiceByQueue queues_{ { "a", "pool" },
                                          { "b", "pool" },
                                          { "c", "pool" } };
  std::uint64_t job_ = 0;
};

// Guards against a limit for a single bad job, and against one that never ends
// or that ends while jobs are still being given up.
TEST_F(QueueIsolationTest, LimitBeginsWithTwoJobsAndEndsAfterTheLast)
{
  GiveUp("a");
  isolation_.OnGivenUp("a", job_, clock_.MonotonicNow());
  EXPECT_TRUE(isolation_.Update(queues_).empty());
  GiveUp("a");
  EXPECT_EQ(
    isolation_.Update(queues_),
    (std::vector<QueueLimitChange>{ { "a", true, 2, milliseconds(0) } }));
  time_ += milliseconds(9'000);
  GiveUp("a");
  time_ += milliseconds(9'000);
  EXPECT_TRUE(isolation_.Update(queues_).empty());
  EXPECT_TRUE(isolation_.IsLimited("a"));
  time_ += milliseconds(1'000);
  auto changes = isolation_.Update(queues_);
  ASSERT_EQ(changes.size(), 1u);
  EXPECT_FALSE(changes[0].isLimited);
  EXPECT_FALSE(isolation_.IsLimited("a"));
}

// Guards against two jobs far apart in time that limit their queue.
TEST_F(QueueIsolationTest, OldJobsDoNotCount)
{
  GiveUp("a");
  time_ += milliseconds(10'000);
  GiveUp("a");
  EXPECT_TRUE(isolation_.Update(queues_).empty());
}

// Guards against limits of all queues, which would leave most servers unused.
TEST_F(QueueIsolationTest, AtMostHalfOfTheQueuesAreLimited)
{
  for (const char* queue : { "a", "b", "c", "b", "a", "c", "b" }) {
    GiveUp(queue);
  }
  isolation_.Update(queues_);
  EXPECT_EQ(isolation_.Limited(), (std::set<std::string>{ "b" }));
  // A limit in force is not exchanged for another one.
  for (unsigned i = 0; i < 5; ++i) {
    GiveUp("a");
  }
  EXPECT_TRUE(isolation_.Update(queues_).empty());
}

// Guards against a service with one queue that loses most of its servers.
TEST_F(QueueIsolationTest, OnlyQueueOfAServiceIsNotLimited)
{
  queues_ = { { "a", "pool" }, { "b", "other" } };
  GiveUp("a");
  GiveUp("a");
  EXPECT_TRUE(isolation_.Update(queues_).empty());
}

// Guards against a limit that survives the removal of its queue.
TEST_F(QueueIsolationTest, LimitEndsWithItsQueue)
{
  GiveUp("a");
  GiveUp("a");
  isolation_.Update(queues_);
  queues_.erase("a");
  EXPECT_EQ(isolation_.Update(queues_).size(), 1u);
  EXPECT_TRUE(isolation_.Limited().empty());
}

// Guards against entries that pick different servers, against a share that is
// the whole service, and against one set of servers for all queues.
TEST(PickIsolatedServersTest, PicksAQuarterInAnyOrder)
{
  std::vector<std::string> servers;
  for (unsigned i = 1; i <= 40; ++i) {
    servers.push_back("10.0.0." + std::to_string(i) + ":7720");
  }
  auto picked = PickIsolatedServers("a", servers);
  EXPECT_EQ(picked.size(), 10u);
  std::reverse(servers.begin(), servers.end());
  EXPECT_EQ(PickIsolatedServers("a", servers), picked);
  EXPECT_NE(PickIsolatedServers("b", servers), picked);
  servers.resize(3);
  EXPECT_EQ(PickIsolatedServers("a", servers).size(), 1u);
  servers.resize(1);
  EXPECT_TRUE(PickIsolatedServers("a", servers).empty());
}

}
}
