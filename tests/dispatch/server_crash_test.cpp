#include "coordination/dispatch/run_controller.h"

#include <gtest/gtest.h>

#include "coordination/simulation/virtual_clock.h"

// Crashes of a backend server as its agent detects and reports them; the test
// plays the entries and the server.
namespace greengage::testing {
namespace {

using namespace coordination;
using state::ProcessId;
using state::RunKey;
using std::chrono::milliseconds;

constexpr ProcessId kEntry{ 7, 7 };
constexpr ProcessId kOtherEntry{ 8, 8 };
constexpr ProcessId kLaterEntry{ 9, 9 };
constexpr std::uint64_t kBorn = 5000;
constexpr RunKey kRun{ { 1, 0, 0 }, 1 };
constexpr RunKey kOtherRun{ { 2, 0, 0 }, 1 };
constexpr milliseconds kServerClock{ 90'000 };

class ServerCrashTest : public ::testing::Test
{
protected:
  ServerCrashTest()
  {
    controller_.OnEntry(kEntry, true);
    controller_.OnEntry(kOtherEntry, true);
    Announce(kBorn, 1);
    AnswerRenewal(kBorn);
  }

  void Announce(std::uint64_t aBorn, std::uint64_t aSequence, bool aDrain = {})
  {
    ServerAnnouncement announcement;
    announcement.description = { "server", "pool", {}, { 4000, 4000, 0 } };
    announcement.born = aBorn;
    announcement.sequence = aSequence;
    announcement.serverClock = kServerClock;
    announcement.draining = aDrain;
    controller_.OnAnnouncement(announcement);
  }

  /** Sends the latest confirmed time as a heartbeat of the entry. */
  DispatchOrders Heartbeat(const ProcessId& aEntry)
  {
    DispatchOrders orders;
    orders.confirmedAtMs = sentAtMs_[aEntry];
    return orders;
  }

  void Wait(int aMs)
  {
    for (int passed = 0; passed < aMs; passed += 25) {
      time_ += milliseconds(25);
      controller_.OnOrders(kEntry, Heartbeat(kEntry));
      controller_.OnOrders(kOtherEntry, Heartbeat(kOtherEntry));
      controller_.Tick();
    }
  }

  void Order(const ProcessId& aEntry,
             const RunKey& aRun,
             std::uint32_t aCrashes = 0)
  {
    Wait(150);
    DispatchOrders orders = Heartbeat(aEntry);
    orders.starts.push_back({ aRun.task.job,
                              0,
                              { 1000, 64, 0 },
                              0,
                              "",
                              { { 0, aRun.run, aCrashes } },
                              "queue" + aRun.task.job.ToString() });
    controller_.OnOrders(aEntry, orders);
  }

  /** Orders a run that the server confirms and lists. */
  void StartRunning(const ProcessId& aEntry,
                    const RunKey& aRun,
                    std::uint32_t aCrashes = 0)
  {
    Order(aEntry, aRun, aCrashes);
    ASSERT_FALSE(starts_.empty());
    ASSERT_EQ(starts_.back().run, aRun);
    time_ += milliseconds(2);
    controller_.OnStartAnswer(aRun, StartAnswer::eStarted);
    running_.push_back({ aRun, 1 });
    Wait(125);
    AnswerRenewal(kBorn);
  }

  void AnswerRenewal(std::uint64_t aBorn)
  {
    time_ += milliseconds(2);
    failedUpTo_ = renewals_.size();
    controller_.OnRenewAnswer(renewals_.back().number,
                              { aBorn, kServerClock + time_, running_, {} });
  }

  /** Lets every renewal fail for this time. */
  void FailRenewals(RenewFailure aFailure, int aMs)
  {
    for (int passed = 0; passed < aMs; passed += 25) {
      while (failedUpTo_ < renewals_.size()) {
        controller_.OnRenewFailed(renewals_[failedUpTo_++].number, aFailure);
      }
      Wait(25);
    }
  }

  /** Lets the next incarnation list no runs. */
  void AnswerAsNextIncarnation()
  {
    running_.clear();
    AnswerRenewal(kBorn + 1);
  }

  static CrashSuspect SuspectOf(const RunKey& aRun)
  {
    return { aRun.task, "queue" + aRun.task.job.ToString() };
  }

  RunControllerHooks MakeHooks()
  {
    RunControllerHooks hooks;
    hooks.start = [this](const StartRunCall& aCall) {
      starts_.push_back(aCall);
    };
    hooks.stop = [](const StopRunCall&) {};
    hooks.renew = [this](const RenewCall& aCall) {
      renewals_.push_back(aCall);
    };
    hooks.report = [this](const ProcessId& aEntry,
                          const ServerReport& aReport) {
      sentAtMs_[aEntry] = aReport.sentAtMs;
      for (const ServerCrash& crash : aReport.crashes) {
        crashes_[aEntry].push_back(crash);
      }
      for (const RunEnd& end : aReport.ends) {
        crashesBeforeEnd_[end.run] = crashes_[aEntry].size();
        ends_.push_back(end);
      }
    };
    hooks.runDecision = [this](const RunDecision& aDecision) {
      reasons_.push_back(aDecision.reason);
    };
    hooks.condition = [](ServerCondition, const std::string&) {};
    hooks.serverCrashed = [this](const CrashRecord& aRecord) {
      records_.push_back(aRecord);
    };
    return hooks;
  }

  milliseconds time_{ 1000 };
  coordination::simulation::VirtualClock clock_{ time_, {} };
  std::vector<StartRunCall> starts_;
  std::vector<RenewCall> renewals_;
  std::size_t failedUpTo_ = 0;
  std::vector<ListedRun> running_;
  std::vector<RunEnd> ends_;
  std::vector<std::string> reasons_;
  std::vector<CrashRecord> records_;
  std::map<ProcessId, std::uint64_t> sentAtMs_;
  std::map<ProcessId, std::vector<ServerCrash>> crashes_;
  /** Crashes reported to the entry by the report of the end or before it. */
  std::map<RunKey, std::size_t> crashesBeforeEnd_;
  RunController controller_{ {}, 100, clock_, MakeHooks() };
};

// Guards against a task that ends server after server: the next incarnation
// answers, and the run counts as lost without a crash.
TEST_F(ServerCrashTest, AnswerOfTheNextIncarnationShowsACrash)
{
  StartRunning(kEntry, kRun);
  Wait(150);
  AnswerAsNextIncarnation();
  ASSERT_EQ(records_.size(), 1u);
  EXPECT_EQ(records_[0].evidence, CrashEvidence::eLaterIncarnation);
  EXPECT_EQ(records_[0].born, kBorn);
  EXPECT_EQ(records_[0].suspects, std::vector{ SuspectOf(kRun) });
  ASSERT_EQ(crashes_[kEntry].size(), 1u);
  EXPECT_EQ(crashes_[kEntry][0].suspects, records_[0].suspects);
  // The entry counts the crash before it places the task again.
  ASSERT_EQ(ends_.size(), 1u);
  EXPECT_EQ(ends_[0].kind, RunEndKind::eLost);
  EXPECT_EQ(crashesBeforeEnd_[kRun], 1u);
}

// Guards against a crash that is only detected with the first list of the next
// incarnation, although its announcement shows it, and against counting it
// twice.
TEST_F(ServerCrashTest, AnnouncementOfTheNextIncarnationShowsOneCrash)
{
  StartRunning(kEntry, kRun);
  Announce(kBorn + 1, 1);
  EXPECT_EQ(crashes_[kEntry].size(), 1u);
  Wait(150);
  AnswerAsNextIncarnation();
  EXPECT_EQ(controller_.RunCount(), 0u);
  Wait(500);
  EXPECT_EQ(records_.size(), 1u);
  EXPECT_EQ(crashes_[kEntry].size(), 1u);
}

// Guards against a task that is placed again before the server is back, while
// its crash is not yet counted.
TEST_F(ServerCrashTest, RefusedConnectionsUntilTheLeaseEndShowACrash)
{
  StartRunning(kEntry, kRun);
  FailRenewals(RenewFailure::eConnectionRefused, 300);
  EXPECT_EQ(records_.size(), 0u);
  FailRenewals(RenewFailure::eConnectionRefused, 1200);
  EXPECT_EQ(controller_.RunCount(), 0u);
  ASSERT_EQ(records_.size(), 1u);
  EXPECT_EQ(records_[0].evidence, CrashEvidence::eRefusedUntilLeaseEnd);
  EXPECT_GT(records_[0].age, milliseconds(300));
  EXPECT_EQ(crashesBeforeEnd_[kRun], 1u);
  Announce(kBorn + 1, 1);
  Wait(150);
  AnswerAsNextIncarnation();
  EXPECT_EQ(records_.size(), 1u);
}

// Guards against a crash that is counted after the next attempts of the task: a
// long poll of the idle server was in flight, and the next incarnation might
// still have received it.
TEST_F(ServerCrashTest, CallInFlightDoesNotDelayTheCrash)
{
  Order(kEntry, kRun);
  ASSERT_GT(renewals_.back().wait, milliseconds(1000));
  controller_.OnStartAnswer(kRun, StartAnswer::eStarted);
  failedUpTo_ = renewals_.size();
  FailRenewals(RenewFailure::eConnectionRefused, 800);
  EXPECT_EQ(controller_.RunCount(), 1u);
  ASSERT_EQ(records_.size(), 1u);
  EXPECT_EQ(records_[0].suspects, std::vector{ SuspectOf(kRun) });
  EXPECT_EQ(crashes_[kOtherEntry].size(), 1u);
}

// Guards against innocent tasks that fail because a cut, or an agent that gets
// no answers, is counted as a crash of the server.
TEST_F(ServerCrashTest, CallsWithoutAnswerAreNoCrash)
{
  StartRunning(kEntry, kRun);
  FailRenewals(RenewFailure::eNoAnswer, 1500);
  FailRenewals(RenewFailure::eNotSent, 1500);
  EXPECT_EQ(controller_.RunCount(), 0u);
  ASSERT_FALSE(ends_.empty());
  EXPECT_EQ(ends_.back().kind, RunEndKind::eLost);
  EXPECT_TRUE(records_.empty());
}

// Guards against innocent tasks that fail because a listener refused one
// connection and the agent was paused until the leases had expired.
TEST_F(ServerCrashTest, PausedAgentIsNoCrash)
{
  StartRunning(kEntry, kRun);
  FailRenewals(RenewFailure::eConnectionRefused, 250);
  time_ += milliseconds(1500);
  controller_.Tick();
  EXPECT_EQ(controller_.RunCount(), 0u);
  EXPECT_TRUE(records_.empty());
}

// Guards against innocent tasks that fail because a planned end of a server is
// counted as a crash.
TEST_F(ServerCrashTest, AnnouncedEndIsNoCrash)
{
  StartRunning(kEntry, kRun);
  controller_.OnServerLeft("server", kBorn);
  FailRenewals(RenewFailure::eConnectionRefused, 1500);
  Announce(kBorn + 1, 1);
  ASSERT_FALSE(ends_.empty());
  EXPECT_EQ(ends_.back().kind, RunEndKind::eLost);
  EXPECT_TRUE(records_.empty());
}

// Guards against the same for a server that ends while it drains.
TEST_F(ServerCrashTest, EndOfADrainIsNoCrash)
{
  StartRunning(kEntry, kRun);
  Announce(kBorn, 2, true);
  Announce(kBorn + 1, 1);
  EXPECT_TRUE(records_.empty());
}

// Guards against a count that begins anew when a job is submitted again: only
// the entry of a lost run would count the crash, and its restart would lose it.
TEST_F(ServerCrashTest, AllEntriesGetTheSuspectsOfAllEntries)
{
  StartRunning(kEntry, kRun);
  StartRunning(kOtherEntry, kOtherRun);
  Announce(kBorn + 1, 1);
  std::vector suspects{ SuspectOf(kRun), SuspectOf(kOtherRun) };
  for (const ProcessId& entry : { kEntry, kOtherEntry }) {
    ASSERT_EQ(crashes_[entry].size(), 1u);
    EXPECT_EQ(crashes_[entry][0].suspects, suspects);
  }
  Wait(1000);
  controller_.OnEntry(kLaterEntry, false);
  ASSERT_EQ(crashes_[kLaterEntry].size(), 1u);
  EXPECT_EQ(crashes_[kLaterEntry][0].suspects, suspects);
  EXPECT_GE(crashes_[kLaterEntry][0].ageMs, 1000u);
  EXPECT_EQ(crashes_[kLaterEntry][0].number, crashes_[kEntry][0].number);
}

// Guards against a count that is lost with a connection, and against reports
// of crashes that no longer matter.
TEST_F(ServerCrashTest, CrashesAreSentAgainWhileTheyAreRetained)
{
  StartRunning(kEntry, kRun);
  Announce(kBorn + 1, 1);
  controller_.OnEntryDisconnected(kEntry);
  EXPECT_EQ(crashes_[kEntry].size(), 1u);
  Wait(25);
  EXPECT_EQ(crashes_[kEntry].size(), 2u);
  Wait(31'000);
  EXPECT_EQ(crashes_[kEntry].size(), 2u);
  controller_.OnEntry(kLaterEntry, false);
  EXPECT_TRUE(crashes_[kLaterEntry].empty());
}

// Guards against innocent tasks that fail: a start sent after the server had
// gone cannot have caused its crash, while an unanswered one before may have.
TEST_F(ServerCrashTest, OnlyStartsBeforeTheRefusedConnectionsAreSuspects)
{
  StartRunning(kEntry, kRun);
  Order(kOtherEntry, kOtherRun);
  time_ += milliseconds(2);
  controller_.OnStartAnswer(kOtherRun, StartAnswer::eNoAnswer);
  time_ += milliseconds(2);
  auto refused = renewals_.back().number;
  RunKey lateRun{ { 3, 0, 0 }, 1 };
  DispatchOrders orders = Heartbeat(kEntry);
  orders.starts.push_back(
    { lateRun.task.job, 0, { 1000, 64, 0 }, 0, "", { { 0, 1 } }, "queue3" });
  controller_.OnOrders(kEntry, orders);
  ASSERT_EQ(starts_.back().run, lateRun);
  controller_.OnRenewFailed(refused, RenewFailure::eConnectionRefused);
  controller_.OnStartAnswer(lateRun, StartAnswer::eNoAnswer);
  Announce(kBorn + 1, 1);
  ASSERT_EQ(records_.size(), 1u);
  std::vector suspects{ SuspectOf(kRun), SuspectOf(kOtherRun) };
  EXPECT_EQ(records_[0].suspects, suspects);
}

// Guards against two suspects that share a second crash, after which both jobs
// would fail although one is innocent.
TEST_F(ServerCrashTest, SecondSuspectIsRefusedBesideTheFirst)
{
  StartRunning(kEntry, kRun, 1);
  Order(kOtherEntry, kOtherRun, 1);
  EXPECT_EQ(starts_.back().run, kRun);
  ASSERT_FALSE(ends_.empty());
  EXPECT_EQ(ends_.back().run, kOtherRun);
  EXPECT_EQ(ends_.back().kind, RunEndKind::eNoFreeCapacity);
  EXPECT_EQ(reasons_.back(), "suspect_runs_here");
}

// Guards against a server that stands idle because it has a suspect: tasks
// without a crash run beside it.
TEST_F(ServerCrashTest, TaskWithoutCrashesRunsBesideASuspect)
{
  StartRunning(kEntry, kRun, 1);
  StartRunning(kOtherEntry, kOtherRun);
  EXPECT_EQ(controller_.RunCount(), 2u);
}

}
}
