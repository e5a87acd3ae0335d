#include <gtest/gtest.h>

#include <limits>

#include "coordination/dispatch/job_dispatcher.h"
#include "coordination/dispatch/run_controller.h"
#include "coordination/simulation/virtual_clock.h"

// Servers whose announced capacity shrinks and grows while they run.
namespace greengage::testing {
namespace {

using namespace coordination;
using state::DispatchReason;
using state::ProcessId;
using state::ResourceAmount;
using state::RunKey;
using std::chrono::milliseconds;

constexpr ResourceAmount kTaskNeed{ 1000, 64, 0 };
constexpr ResourceAmount kLarge{ 4000, 4000, 0 };
constexpr ResourceAmount kSmall{ 2000, 4000, 0 };

class AgentCapacityTest : public ::testing::Test
{
protected:
  static constexpr ProcessId kEntry{ 7, 7 };
  static constexpr std::uint64_t kBorn = 5000;

  AgentCapacityTest()
  {
    controller_.OnEntry(kEntry, true);
    Announce(1, kLarge);
    AnswerNewestRenewal();
    Wait(150);
  }

  bool Announce(std::uint64_t aSequence, const ResourceAmount& aCapacity)
  {
    ServerAnnouncement announcement;
    announcement.description = { "server", "pool", {}, aCapacity };
    announcement.born = kBorn;
    announcement.sequence = aSequence;
    announcement.serverClock = milliseconds(90'000);
    return controller_.OnAnnouncement(announcement);
  }

  /** Advances the time in ticks, while the entry sends heartbeats. */
  void Wait(int aMs)
  {
    for (int passed = 0; passed < aMs; passed += 25) {
      time_ += milliseconds(25);
      controller_.OnOrders(kEntry, {});
      controller_.Tick();
    }
  }

  /** Orders one task; returns true if the agent sent it to the server. */
  bool Order(std::uint64_t aJob, const ResourceAmount& aNeed = kTaskNeed)
  {
    std::size_t before = starts_.size();
    DispatchOrders orders;
    orders.starts.push_back({ aJob, 0, aNeed, 0, "", { { 0, 1 } } });
    controller_.OnOrders(kEntry, orders);
    return starts_.size() > before;
  }

  /** Starts the jobs 1 to aCount, one run each. */
  void StartRuns(std::uint64_t aCount)
  {
    for (std::uint64_t job = 1; job <= aCount; ++job) {
      ASSERT_TRUE(Order(job));
      controller_.OnStartAnswer({ { job, 0, 0 }, 1 }, StartAnswer::eStarted);
      running_.push_back({ { { job, 0, 0 }, 1 }, 1 });
    }
  }

  /** Answers the newest renewal with the runs of the server. */
  void AnswerRenewal()
  {
    Wait(100);
    time_ += milliseconds(2);
    AnswerNewestRenewal();
  }

  void AnswerNewestRenewal()
  {
    controller_.OnRenewAnswer(renewals_.back().number,
                              { kBorn, milliseconds(90'000), running_, {} });
  }

  RunControllerHooks MakeHooks()
  {
    RunControllerHooks hooks;
    hooks.start = [this](const StartRunCall& aCall) {
      starts_.push_back(aCall);
    };
    hooks.stop = [this](const StopRunCall& aCall) { stops_.push_back(aCall); };
    hooks.renew = [this](const RenewCall& aCall) {
      renewals_.push_back(aCall);
    };
    hooks.report = [this](const ProcessId&, const ServerReport& aReport) {
      ends_.insert(ends_.end(), aReport.ends.begin(), aReport.ends.end());
      lastReport_ = aReport;
      if (aReport.description) {
        reported_ = aReport.description->capacity;
      }
    };
    hooks.condition = [](ServerCondition, const std::string&) {};
    return hooks;
  }

  milliseconds time_{ 1000 };
  simulation::VirtualClock clock_{ time_, {} };
  std::vector<StartRunCall> starts_;
  std::vector<StopRunCall> stops_;
  std::vector<RenewCall> renewals_;
  std::vector<ListedRun> running_;
  std::vector<RunEnd> ends_;
  ServerReport lastReport_;
  /** Capacity in the newest report that contained a description. */
  ResourceAmount reported_;
  RunController controller_{ {}, 100, clock_, MakeHooks() };
};

// Guards against a start on a server whose capacity has shrunk below what it
// runs, and against stopping the runs that it still has.
TEST_F(AgentCapacityTest, ShrinkBelowUseRefusesStartsAndKeepsRuns)
{
  StartRuns(3);
  ASSERT_TRUE(Announce(2, { 2000, 100, 0 }));
  EXPECT_FALSE(Order(10));
  EXPECT_FALSE(Order(11, { 1, 1, 0 }));
  ASSERT_FALSE(ends_.empty());
  EXPECT_EQ(ends_.back().kind, RunEndKind::eNoFreeCapacity);
  EXPECT_EQ(controller_.RunCount(), 3u);
  EXPECT_TRUE(stops_.empty());
  Announce(3, kLarge);
  EXPECT_TRUE(Order(12));
  EXPECT_FALSE(Order(13));
}

// Guards against a capacity that an overtaken announcement brings back.
TEST_F(AgentCapacityTest, OlderAnnouncementDoesNotRestoreTheCapacity)
{
  ASSERT_TRUE(Announce(5, { 1000, 4000, 0 }));
  EXPECT_FALSE(Announce(4, kLarge));
  EXPECT_TRUE(Order(1));
  EXPECT_FALSE(Order(2));
}

// Guards against counting the capacity of a run as free before its end is
// listed, also after a shrink.
TEST_F(AgentCapacityTest, RunThatIsBeingStoppedStillCounts)
{
  StartRuns(2);
  AnswerRenewal();
  Announce(2, kSmall);
  DispatchOrders orders;
  orders.stops = { { { 1, 0, 0 }, 1 } };
  controller_.OnOrders(kEntry, orders);
  ASSERT_EQ(stops_.size(), 1u);
  EXPECT_FALSE(Order(10));
  controller_.OnStopAnswer({ { 1, 0, 0 }, 1 }, true);
  EXPECT_FALSE(Order(11));
  running_.erase(running_.begin());
  AnswerRenewal();
  EXPECT_TRUE(Order(12));
}

// Guards against a start at a server that announces no capacity or the largest
// value, and against sums that wrap around.
TEST_F(AgentCapacityTest, ExtremeCapacities)
{
  constexpr auto kMax = std::numeric_limits<std::uint32_t>::max();
  Announce(2, {});
  EXPECT_FALSE(Order(1));
  Announce(3, { kMax, kMax, kMax });
  EXPECT_TRUE(Order(2, { kMax, 1, 0 }));
  EXPECT_FALSE(Order(3, { kMax, 1, 0 }));
  EXPECT_FALSE(Order(4));
  Announce(4, {});
  EXPECT_FALSE(Order(5));
}

// Guards against entries that use an outdated capacity for a report period,
// which is up to 250 ms, and several times that in other data centres.
TEST_F(AgentCapacityTest, ChangedCapacityIsReportedAtOnce)
{
  DispatchOrders orders;
  orders.reportPeriodMs = 250;
  controller_.OnOrders(kEntry, orders);
  Wait(150);
  Announce(2, kSmall);
  EXPECT_EQ(reported_, kSmall);
  Announce(3, kLarge);
  EXPECT_EQ(reported_, kLarge);
}

// Guards against an entry that missed the report of a smaller capacity and
// sends starts until the description is repeated, 3 s later.
TEST_F(AgentCapacityTest, RefusalForWantOfCapacityRepeatsTheCapacity)
{
  Announce(2, {});
  Wait(100);
  lastReport_ = {};
  ASSERT_FALSE(Order(1));
  ASSERT_FALSE(lastReport_.ends.empty());
  ASSERT_TRUE(lastReport_.description);
  EXPECT_EQ(lastReport_.description->capacity, ResourceAmount{});
}

class EntryCapacityTest : public ::testing::Test
{
protected:
  static constexpr ProcessId kAgent{ 1, 1 };

  EntryCapacityTest()
  {
    ProcessInfo agent;
    agent.id = kAgent;
    agent.role = ProcessRole::eAgent;
    agent.peerAddress = "10.0.0.1:7720";
    dispatcher_.OnAgent(agent);
    Report(kLarge);
  }

  void Report(std::optional<ResourceAmount> aCapacity,
              std::vector<RunEnd> aEnds = {},
              ServerCondition aCondition = ServerCondition::eReady)
  {
    ServerReport report;
    if (aCapacity) {
      report.description =
        ServerDescription{ "server", "pool", {}, *aCapacity };
    }
    report.condition = aCondition;
    report.ends = std::move(aEnds);
    dispatcher_.OnReport(kAgent, report);
  }

  void Submit(std::uint64_t aJob, const ResourceAmount& aNeed = kTaskNeed)
  {
    state::WorkQueue queue;
    queue.name = "queue";
    queue.service = "pool";
    queue.maxAttempts = 3;
    queue.objectiveStretch = 1.6;
    queue.objectiveMargin = milliseconds(60);
    state::DispatchJob job;
    job.id = aJob;
    job.steps.assign(1, { 1, aNeed, milliseconds(100) });
    dispatcher_.Submit(aJob, queue, job, milliseconds(1500));
  }

  void Wait(int aMs)
  {
    for (int passed = 0; passed < aMs; passed += 25) {
      time_ += milliseconds(25);
      Report(std::nullopt);
      dispatcher_.Tick();
    }
  }

  JobDispatcherHooks MakeHooks()
  {
    JobDispatcherHooks hooks;
    hooks.answer = [this](SubmissionId aSubmission,
                          const state::DispatchOutcome& aOutcome) {
      answers_[aSubmission] = aOutcome;
    };
    hooks.send = [this](const ProcessId&, const DispatchOrders& aOrders) {
      for (const RunBatch& batch : aOrders.starts) {
        for (const RunOrder& order : batch.runs) {
          started_.push_back(
            { { batch.job, batch.step, order.index }, order.run });
        }
      }
    };
    return hooks;
  }

  milliseconds time_{ 1000 };
  simulation::VirtualClock clock_{ time_, {} };
  std::vector<RunKey> started_;
  std::map<SubmissionId, state::DispatchOutcome> answers_;
  JobDispatcher dispatcher_{ { "here" }, clock_, MakeHooks() };
};

// Guards against rejecting a job as impossible while the capacity of a server
// is smaller for some time.
TEST_F(EntryCapacityTest, JobWaitsForACapacityThatGrowsAgain)
{
  Report(ResourceAmount{ 500, 4000, 0 });
  Submit(1);
  EXPECT_TRUE(answers_.empty());
  Wait(100);
  EXPECT_TRUE(started_.empty());
  Report(kLarge);
  EXPECT_EQ(started_.size(), 1u);
}

// Guards against holding such a job beyond the time at which it can start.
TEST_F(EntryCapacityTest, WaitingJobIsRejectedAsOverloadIfTheCapacityStaysSmall)
{
  Report(ResourceAmount{});
  Submit(1);
  Wait(1500);
  EXPECT_TRUE(started_.empty());
  ASSERT_TRUE(answers_.contains(1));
  EXPECT_EQ(answers_[1].result, state::DispatchResult::eRejected);
  EXPECT_EQ(answers_[1].reason, DispatchReason::eOverload);
  EXPECT_GT(answers_[1].retryAfter.count(), 0);
}

// Guards against holding a job that no server has ever had the capacity for.
TEST_F(EntryCapacityTest, JobLargerThanAnyFormerCapacityIsRejectedAtOnce)
{
  Report(kSmall);
  Submit(1, { 4001, 64, 0 });
  ASSERT_TRUE(answers_.contains(1));
  EXPECT_EQ(answers_[1].reason, DispatchReason::eImpossible);
}

// Guards against a capacity of an earlier server of the agent that makes a job
// wait for the present one.
TEST_F(EntryCapacityTest, FormerServerOfTheAgentDoesNotCount)
{
  ServerReport report;
  report.description = ServerDescription{ "other", "pool", {}, kSmall };
  report.condition = ServerCondition::eReady;
  dispatcher_.OnReport(kAgent, report);
  Submit(1, { 3000, 64, 0 });
  ASSERT_TRUE(answers_.contains(1));
  EXPECT_EQ(answers_[1].reason, DispatchReason::eImpossible);
}

// Guards against starts on a server whose capacity is below what it runs.
TEST_F(EntryCapacityTest, ShrinkBelowUsePlacesNothing)
{
  Submit(1);
  Submit(2);
  Submit(3);
  ASSERT_EQ(started_.size(), 3u);
  Report(kSmall);
  Submit(4);
  EXPECT_EQ(started_.size(), 3u);
  Report(std::nullopt, { { started_[0], RunEndKind::eDone, 100 } });
  EXPECT_EQ(started_.size(), 3u);
  Report(std::nullopt, { { started_[1], RunEndKind::eDone, 100 } });
  EXPECT_EQ(started_.size(), 4u);
}

// Guards against a loop of starts and refusals, one per round trip, while the
// server has less capacity than it announced last.
TEST_F(EntryCapacityTest, RefusedStartIsNotRepeatedAtOnce)
{
  Submit(1);
  for (int round = 0; round < 20; ++round) {
    time_ += milliseconds(4);
    Report(std::nullopt,
           { { started_.back(), RunEndKind::eNoFreeCapacity, 0 } });
  }
  EXPECT_LE(started_.size(), 2u);
  EXPECT_TRUE(answers_.empty());
  Wait(100);
  EXPECT_LE(started_.size(), 3u);
}

}
}
