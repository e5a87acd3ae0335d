#include "coordination/dispatch/start_queue.h"

#include <gtest/gtest.h>

namespace greengage::coordination {
namespace {

using std::chrono::milliseconds;

constexpr state::ProcessId kEntry{ 1, 1 };
constexpr state::ProcessId kOther{ 2, 2 };

QueuedStart
Start(std::uint64_t aJob,
      std::uint32_t aCores,
      state::ProcessId aEntry = kEntry)
{
  QueuedStart start;
  start.entry = aEntry;
  start.run = { { aJob, 0, 0 }, 1 };
  start.need = { 1000 * aCores, 64, 0 };
  start.orderedAt = state::MonotonicTime(milliseconds(aJob));
  return start;
}

// Guards against a large task at the head that keeps small ones from room.
TEST(StartQueueTest, TakesTheFirstThatFits)
{
  StartQueue queue;
  queue.Add(Start(1, 8));
  queue.Add(Start(2, 1));
  queue.Add(Start(3, 1));
  auto taken = queue.TakeFitting({ 1000, 64, 0 });
  ASSERT_TRUE(taken);
  EXPECT_EQ(taken->run.task.job, 2u);
  EXPECT_FALSE(queue.TakeFitting({ 500, 64, 0 }));
}

// Guards against urgent tasks that wait behind others at a full server.
TEST(StartQueueTest, TakesTheMostUrgentFirst)
{
  StartQueue queue;
  QueuedStart urgent = Start(1, 1);
  QueuedStart other = Start(2, 1);
  other.priority = 2;
  queue.Add(other);
  queue.Add(urgent);
  auto taken = queue.TakeFitting({ 1000, 64, 0 });
  ASSERT_TRUE(taken);
  EXPECT_EQ(taken->run.task.job, 1u);
}

// Guards against a queue that grows without bound in a burst.
TEST(StartQueueTest, IsBounded)
{
  StartQueue queue;
  unsigned added = 0;
  for (std::uint64_t job = 0; job < 100; ++job) {
    added += queue.Add(Start(job, 1)) ? 1 : 0;
  }
  EXPECT_LE(added, 16u);
  EXPECT_EQ(queue.TakeAll().size(), added);
  EXPECT_TRUE(queue.IsEmpty());
}

// Guards against starts that are kept after their entry, task or time is gone.
TEST(StartQueueTest, RemovesByTimeTaskEntryAndRun)
{
  StartQueue queue;
  for (std::uint64_t job = 1; job <= 4; ++job) {
    queue.Add(Start(job, 1, job == 3 ? kOther : kEntry));
  }
  EXPECT_EQ(queue.TakeOlder(state::MonotonicTime(milliseconds(2))).size(), 1u);
  EXPECT_EQ(queue.TakeTask({ 2, 0, 0 }).size(), 1u);
  EXPECT_EQ(queue.NeedOfOthers(kEntry).cpuMillicores, 1000u);
  EXPECT_EQ(queue.TakeEntry(kOther).size(), 1u);
  EXPECT_TRUE(queue.Holds({ { 4, 0, 0 }, 1 }));
  EXPECT_TRUE(queue.Remove({ { 4, 0, 0 }, 1 }));
  EXPECT_FALSE(queue.Remove({ { 4, 0, 0 }, 1 }));
}

}
}
