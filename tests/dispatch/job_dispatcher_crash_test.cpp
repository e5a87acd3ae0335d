#include <algorithm>

#include "dispatch/crash_fixture.h"

// Decisions of a JobDispatcher about tasks that crash their servers.
namespace greengage::testing {
namespace {

using state::TaskKey;

class JobDispatcherCrashTest : public CrashFixture
{};

// Guards against one task that ends server after server: it must not be started
// again after servers have crashed under it.
TEST_F(JobDispatcherCrashTest, TaskThatCrashesItsServersIsGivenUp)
{
  AddServers(6);
  Submit(0, 1);
  TaskKey task{ 1, 0, 0 };
  constexpr unsigned kRounds = 10;
  for (unsigned round = 0; round < kRounds; ++round) {
    for (std::uint64_t server : ServersOf(task)) {
      Crash(server);
    }
    RunFor(std::chrono::milliseconds(500));
  }
  // The third crash, at the latest, is the last.
  EXPECT_LE(StartCount(task), 3u);
  ASSERT_TRUE(entries_[0].outcomes.contains(1));
  EXPECT_EQ(entries_[0].outcomes[1].result, state::DispatchResult::eFailed);
}

// Guards against a lost run of an innocent task that ends its job, also when
// two servers crashed under it because of others.
TEST_F(JobDispatcherCrashTest, VictimsOfTwoCrashesComplete)
{
  AddServers(1);
  TaskKey victim{ 1, 0, 0 };
  Submit(1, 1);
  for (std::uint64_t guilty : { 11, 12 }) {
    ReportCrash(2, { { guilty, 0, 0 } });
    Submit(0, guilty);
    RunFor(std::chrono::milliseconds(500));
    ASSERT_EQ(ServersOf(victim).size(), 1u);
    ASSERT_EQ(ServersOf({ guilty, 0, 0 }).size(), 1u);
    Crash(1);
    EXPECT_EQ(entries_[0].outcomes.at(guilty),
              state::FailedOutcome(state::DispatchReason::eCrashedServers));
  }
  Finish(victim);
  EXPECT_EQ(entries_[1].outcomes.at(1).result,
            state::DispatchResult::eCompleted);
}

// Guards against a count that begins anew when the caller submits the job
// through another entry, or submits it again after it was given up.
TEST_F(JobDispatcherCrashTest, CountContinuesAtAnotherEntry)
{
  AddServers(4);
  Submit(0, 1);
  TaskKey task{ 1, 0, 0 };
  Crash(ServersOf(task).at(0));
  entries_[0].dispatcher->Abandon(1);
  Submit(1, 1);
  Crash(ServersOf(task).at(0));
  EXPECT_EQ(entries_[1].outcomes.at(1),
            state::FailedOutcome(state::DispatchReason::eCrashedServers));
  std::size_t starts = StartCount(task);
  Submit(0, 1);
  RunFor(std::chrono::milliseconds(500));
  EXPECT_EQ(entries_[0].outcomes.at(1),
            state::FailedOutcome(state::DispatchReason::eCrashedServers));
  EXPECT_EQ(StartCount(task), starts);
}

// Guards against runs of a given-up job that go on.
TEST_F(JobDispatcherCrashTest, OtherRunsOfAGivenUpJobAreStopped)
{
  AddServers(4);
  Submit(0, 1, 3);
  TaskKey task{ 1, 0, 0 };
  for (std::uint64_t index = 1; index < 3; ++index) {
    Finish({ 1, 0, static_cast<std::uint32_t>(index) },
           coordination::RunEndKind::eFailed);
  }
  while (!entries_[0].outcomes.contains(1)) {
    Crash(ServersOf(task).at(0));
    RunFor(std::chrono::milliseconds(200));
  }
  for (const auto& [agent, runs] : running_) {
    EXPECT_TRUE(runs.empty());
  }
}

// Guards against an ejection that outlives the incarnation that failed: the
// server that returns after a crash is a good one.
TEST_F(JobDispatcherCrashTest, CrashEndsTheEjectionOfItsServer)
{
  AddServers(1);
  for (std::uint64_t job = 1; job <= 3; ++job) {
    Submit(0, job);
    Finish({ job, 0, 0 }, coordination::RunEndKind::eFailed);
  }
  EXPECT_GT(entries_[0].dispatcher->Servers().Views()[0].cooldown.count(), 0);
  running_[AgentOf(1)][{ { 99, 0, 0 }, 1 }] = 1;
  Crash(1);
  EXPECT_EQ(entries_[0].dispatcher->Servers().Views()[0].cooldown.count(), 0);
  EXPECT_EQ(ServersOf({ 1, 0, 0 }).size(), 1u);
}

// Guards against suspects that share a server: after its crash they could not
// be distinguished, and all of them would be given up.
TEST_F(JobDispatcherCrashTest, SuspectsAreKeptApart)
{
  AddServers(2);
  ReportCrash(3, { { 1, 0, 0 }, { 1, 0, 1 }, { 2, 0, 0 } });
  Submit(0, 1, 2);
  Submit(0, 2);
  std::vector<std::uint64_t> first = ServersOf({ 1, 0, 0 });
  ASSERT_EQ(first.size(), 1u);
  ASSERT_EQ(ServersOf({ 1, 0, 1 }).size(), 1u);
  EXPECT_NE(ServersOf({ 1, 0, 1 }), first);
  EXPECT_TRUE(ServersOf({ 2, 0, 0 }).empty());
  Finish({ 1, 0, 0 });
  EXPECT_EQ(ServersOf({ 2, 0, 0 }), first);
  for (const auto& [agent, started] : entries_[0].started) {
    EXPECT_EQ(started.crashes, 1u);
    EXPECT_EQ(started.queue, "queue");
  }
}

// Guards against a suspect that takes many innocent runs with it although
// another server has fewer.
TEST_F(JobDispatcherCrashTest, SuspectRunsWithFewOthers)
{
  AddServers(3);
  for (std::uint64_t job = 10; job < 14; ++job) {
    Submit(0, job);
  }
  ReportCrash(9, { { 1, 0, 0 } });
  std::size_t fewest = 4;
  for (std::uint64_t number = 1; number <= 3; ++number) {
    fewest = std::min(fewest, running_[AgentOf(number)].size());
  }
  Submit(0, 1);
  std::uint64_t server = ServersOf({ 1, 0, 0 }).at(0);
  EXPECT_EQ(running_[AgentOf(server)].size(), fewest + 1);
  // The others avoid the server while another one has free capacity.
  Submit(0, 20);
  EXPECT_NE(ServersOf({ 20, 0, 0 }).at(0), server);
}

// Guards against a tight loop of orders to an agent that refuses a suspect.
TEST_F(JobDispatcherCrashTest, RefusedSuspectWaits)
{
  AddServers(1);
  ReportCrash(9, { { 1, 0, 0 } });
  Submit(0, 1);
  Finish({ 1, 0, 0 }, coordination::RunEndKind::eNoFreeCapacity);
  EXPECT_EQ(StartCount({ 1, 0, 0 }), 1u);
  Submit(0, 2);
  EXPECT_EQ(StartCount({ 2, 0, 0 }), 1u);
  RunFor(std::chrono::milliseconds(150));
  EXPECT_EQ(StartCount({ 1, 0, 0 }), 2u);
}

/** Entries with the queues "queue" and "other" of one service. */
class QueueLimitTest : public CrashFixture
{
protected:
  QueueLimitTest()
  {
    state::DispatchConfiguration configuration;
    for (const char* name : { "queue", "other" }) {
      state::WorkQueue& queue = configuration.queues.emplace_back();
      queue.name = name;
      queue.service = "pool";
    }
    for (Entry& entry : entries_) {
      entry.dispatcher->SetConfiguration(configuration);
    }
    AddServers(8);
  }

  /** Two jobs of "queue" are given up. */
  void GiveUpTwoJobs()
  {
    for (std::uint64_t job : { 901, 902 }) {
      ReportCrash(100, { { job, 0, 0 } });
      ReportCrash(101, { { job, 0, 0 } });
    }
  }

  std::set<std::uint64_t> ServersOfJobs(std::uint64_t aFirst,
                                        std::uint64_t aLast) const
  {
    std::set<std::uint64_t> servers;
    for (std::uint64_t job = aFirst; job <= aLast; ++job) {
      for (std::uint64_t server : ServersOf({ job, 0, 0 })) {
        servers.insert(server);
      }
    }
    return servers;
  }
};

// Guards against a queue whose jobs crash servers and that takes the servers of
// all other queues with it: all entries limit it to the same two of eight, and
// the other queue uses the rest first.
TEST_F(QueueLimitTest, LimitedQueueUsesOnlyItsShare)
{
  GiveUpTwoJobs();
  for (std::uint64_t job = 1; job <= 8; ++job) {
    Submit(job % 2, job);
  }
  std::set<std::uint64_t> share = ServersOfJobs(1, 8);
  EXPECT_EQ(share.size(), 2u);
  for (std::uint64_t job = 101; job <= 124; ++job) {
    Submit(0, job, 1, "other");
  }
  std::set<std::uint64_t> rest = ServersOfJobs(101, 124);
  EXPECT_EQ(rest.size(), 6u);
  for (std::uint64_t server : share) {
    EXPECT_FALSE(rest.contains(server));
  }
}

// Guards against a limit that leaves servers unused while the other queue needs
// them.
TEST_F(QueueLimitTest, OtherQueueUsesTheShareWhenTheRestIsFull)
{
  GiveUpTwoJobs();
  for (std::uint64_t job = 101; job <= 132; ++job) {
    Submit(0, job, 1, "other");
  }
  EXPECT_EQ(ServersOfJobs(101, 132).size(), 8u);
}

// Guards against callers that wait for a full share: they are rejected
// at once, and nothing has run.
TEST_F(QueueLimitTest, JobsBeyondTheShareAreRejectedAtOnce)
{
  GiveUpTwoJobs();
  for (std::uint64_t job = 1; job <= 10; ++job) {
    Submit(0, job);
  }
  EXPECT_FALSE(entries_[0].outcomes.contains(9));
  ASSERT_TRUE(entries_[0].outcomes.contains(10));
  const state::DispatchOutcome& outcome = entries_[0].outcomes.at(10);
  EXPECT_EQ(outcome.result, state::DispatchResult::eRejected);
  EXPECT_EQ(outcome.reason, state::DispatchReason::eOverload);
  EXPECT_GT(outcome.retryAfter.count(), 0);
  EXPECT_EQ(StartCount({ 10, 0, 0 }), 0u);
}

// Guards against a limit that stays after its cause has ended.
TEST_F(QueueLimitTest, LimitEndsAfterTheLastGivenUpJob)
{
  GiveUpTwoJobs();
  RunFor(std::chrono::milliseconds(10'000));
  for (std::uint64_t job = 1; job <= 32; ++job) {
    Submit(0, job);
  }
  EXPECT_EQ(ServersOfJobs(1, 32).size(), 8u);
}

}
}
