#include "coordination/dispatch/run_controller.h"

#include <gtest/gtest.h>

#include "coordination/simulation/virtual_clock.h"

// Single decisions of a RunController; the test plays entry and server.
namespace greengage::testing {
namespace {

using namespace coordination;
using state::ProcessId;
using state::RunKey;
using std::chrono::milliseconds;

constexpr ProcessId kEntry{ 7, 7 };
constexpr ProcessId kSilentEntry{ 8, 8 };
constexpr std::uint64_t kBorn = 5000;
constexpr RunKey kRun{ { 1, 0, 0 }, 1 };
constexpr RunKey kOtherRun{ { 2, 0, 0 }, 1 };

class RunControllerTest : public ::testing::Test
{
protected:
  RunControllerTest()
  {
    controller_.OnEntry(kEntry, true);
    Announce(kBorn, 1);
  }

  void SetUp() override { AnswerList(kBorn); }

  static ServerAnnouncement Announcement(std::uint64_t aBorn,
                                         std::uint64_t aSequence)
  {
    ServerAnnouncement announcement;
    announcement.description = { "server", "pool", {}, { 4000, 4000, 0 } };
    announcement.born = aBorn;
    announcement.sequence = aSequence;
    announcement.serverClock = milliseconds(90'000);
    return announcement;
  }

  void Announce(std::uint64_t aBorn, std::uint64_t aSequence)
  {
    controller_.OnAnnouncement(Announcement(aBorn, aSequence));
  }

  /** Advances the time in ticks, while the entry sends heartbeats. */
  void Wait(int aMs)
  {
    for (int passed = 0; passed < aMs; passed += 25) {
      time_ += milliseconds(25);
      if (isEntryAlive_) {
        controller_.OnOrders(kEntry, {});
      }
      controller_.Tick();
    }
  }

  /** Returns the order of one run that needs a quarter of the server. */
  static DispatchOrders StartOrder(const RunKey& aRun)
  {
    DispatchOrders orders;
    orders.starts.push_back(
      { aRun.task.job, 0, { 1000, 64, 0 }, 0, "", { { 0, aRun.run } } });
    return orders;
  }

  void Order(const RunKey& aRun)
  {
    Wait(150);
    controller_.OnOrders(kEntry, StartOrder(aRun));
    ASSERT_FALSE(starts_.empty());
    ASSERT_EQ(starts_.back().run, aRun);
  }

  /** Orders a run for an entry that sends nothing afterwards. */
  void OrderForSilentEntry(const RunKey& aRun)
  {
    controller_.OnEntry(kSilentEntry, true);
    Wait(150);
    controller_.OnOrders(kSilentEntry, StartOrder(aRun));
    time_ += milliseconds(2);
    controller_.OnStartAnswer(aRun, StartAnswer::eStarted);
    running_.push_back({ aRun, 1 });
    AnswerRenewal(kBorn);
  }

  /** Waits in ticks, while the server answers every renewal. */
  void WaitWithRenewals(int aMs)
  {
    for (int passed = 0; passed < aMs; passed += 25) {
      Wait(25);
      // An answer may start the next long poll, which waits.
      for (auto sent = renewals_.size(); answeredUpTo_ < sent;) {
        controller_.OnRenewAnswer(renewals_[answeredUpTo_++].number,
                                  List(kBorn));
      }
    }
  }

  /** Orders a run that the server confirms and lists. */
  void StartRunning(const RunKey& aRun)
  {
    Order(aRun);
    time_ += milliseconds(2);
    controller_.OnStartAnswer(aRun, StartAnswer::eStarted);
    running_.push_back({ aRun, 1 });
    AnswerRenewal(kBorn);
  }

  RenewAnswer List(std::uint64_t aBorn) const
  {
    return { aBorn, milliseconds(90'000) + (time_ - kStart), running_, ended_ };
  }

  /** Answers the newest renewal at once. */
  void AnswerList(std::uint64_t aBorn)
  {
    controller_.OnRenewAnswer(renewals_.back().number, List(aBorn));
  }

  /** Answers the newest renewal. */
  void AnswerRenewal(std::uint64_t aBorn)
  {
    Wait(100);
    time_ += milliseconds(2);
    answeredLeaseEnd_ =
      renewals_.back().leaseEnd - milliseconds(90'000) + kStart;
    controller_.OnRenewAnswer(renewals_.back().number, List(aBorn));
  }

  /** Lets every renewal fail for this time. */
  void FailRenewals(RenewFailure aFailure, int aMs)
  {
    for (int passed = 0; passed < aMs; passed += 25) {
      FailOpenRenewals(aFailure);
      Wait(25);
    }
  }

  void FailOpenRenewals(RenewFailure aFailure)
  {
    while (failedUpTo_ < renewals_.size()) {
      controller_.OnRenewFailed(renewals_[failedUpTo_++].number, aFailure);
    }
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
      lastReport_ = aReport;
      for (const RunEnd& end : aReport.ends) {
        ends_.push_back(end);
        endTimes_[end.run] = time_;
      }
      for (const UncertainStart& start : aReport.uncertainStarts) {
        uncertain_.push_back(start);
        uncertainTimes_.push_back(time_);
      }
    };
    hooks.runDecision = [this](const RunDecision& aDecision) {
      reasons_.push_back(aDecision.reason);
    };
    hooks.condition = [this](ServerCondition, const std::string& aReason) {
      conditions_.push_back(aReason);
    };
    return hooks;
  }

  static constexpr milliseconds kStart{ 1000 };
  milliseconds time_ = kStart;
  coordination::simulation::VirtualClock clock_{ time_, {} };
  bool isEntryAlive_ = true;
  std::vector<StartRunCall> starts_;
  std::vector<StopRunCall> stops_;
  std::vector<RenewCall> renewals_;
  std::size_t failedUpTo_ = 0;
  std::size_t answeredUpTo_ = 0;
  std::vector<ListedRun> running_;
  std::vector<ListedEnd> ended_;
  ServerReport lastReport_;
  std::vector<RunEnd> ends_;
  std::map<RunKey, milliseconds> endTimes_;
  std::vector<UncertainStart> uncertain_;
  std::vector<milliseconds> uncertainTimes_;
  /** End of the lease of the last answered renewal, on the agent's clock. */
  milliseconds answeredLeaseEnd_{ 0 };
  std::vector<std::string> reasons_;
  std::vector<std::string> conditions_;
  RunController controller_{ {}, 100, clock_, MakeHooks() };
};

// Guards against two runs of one task: the server refused a connection, and the
// task was given out again while its run continued to the end of its lease.
TEST_F(RunControllerTest, RefusedConnectionDoesNotReleaseRuns)
{
  StartRunning(kRun);
  FailOpenRenewals(RenewFailure::eConnectionRefused);
  EXPECT_EQ(controller_.Condition(), ServerCondition::eUnreachable);
  EXPECT_EQ(conditions_.back(), "connection refused");
  EXPECT_EQ(controller_.RunCount(), 1u);
  FailRenewals(RenewFailure::eConnectionRefused, 1000);
  EXPECT_EQ(controller_.RunCount(), 0u);
  ASSERT_EQ(ends_.size(), 1u);
  EXPECT_EQ(ends_[0].kind, RunEndKind::eLost);
  EXPECT_EQ(reasons_.back(), "lease_expired: lost");
  EXPECT_GT(endTimes_[kRun], answeredLeaseEnd_);
}

// Guards against two runs of one task: the agent, slowed or out of descriptors,
// could not connect and treated its own failure as the end of the server.
TEST_F(RunControllerTest, UnsentRenewalsDoNotReleaseRuns)
{
  StartRunning(kRun);
  controller_.OnRenewFailed(renewals_.back().number, RenewFailure::eNotSent);
  EXPECT_EQ(controller_.RunCount(), 1u);
  EXPECT_EQ(controller_.Condition(), ServerCondition::eReady);
  FailRenewals(RenewFailure::eNotSent, 300);
  EXPECT_EQ(controller_.Condition(), ServerCondition::eUnreachable);
  EXPECT_EQ(controller_.RunCount(), 1u);
}

// Guards against two runs of one task: a start order sent after the last
// renewal extends the leases of all runs.
TEST_F(RunControllerTest, UnansweredStartExtendsTheLeases)
{
  StartRunning(kRun);
  Order(kOtherRun);
  auto startedAt = time_;
  controller_.OnStartAnswer(kOtherRun, StartAnswer::eNoAnswer);
  FailRenewals(RenewFailure::eConnectionRefused, 1500);
  ASSERT_TRUE(endTimes_.contains(kRun));
  EXPECT_GT(endTimes_[kRun], startedAt + milliseconds(600));
}

// Guards against two runs of one task: the server ended and left a start order
// unanswered, and the task was given out again when the leases had expired,
// seconds before the next incarnation carried out the order.
TEST_F(RunControllerTest, ExpiredLeasesDoNotReleaseAnUnansweredStart)
{
  StartRunning(kRun);
  Order(kOtherRun);
  auto startedAt = time_;
  controller_.OnStartAnswer(kOtherRun, StartAnswer::eNoAnswer);
  FailRenewals(RenewFailure::eConnectionRefused, 15'000);
  EXPECT_EQ(controller_.RunCount(), 1u);
  EXPECT_FALSE(endTimes_.contains(kOtherRun));
  // The entry can end the job as soon as the server cannot be asked any more.
  ASSERT_EQ(uncertain_.size(), 2u);
  EXPECT_EQ(uncertain_[0], (UncertainStart{ kOtherRun, false }));
  EXPECT_EQ(uncertain_[1], (UncertainStart{ kOtherRun, true }));
  EXPECT_LT(uncertainTimes_[0], startedAt + milliseconds(100));
  // The order may have reached an incarnation with another clock.
  EXPECT_GT(uncertainTimes_[1], startedAt + milliseconds(1000));
  EXPECT_LT(uncertainTimes_[1], startedAt + milliseconds(1200));
  // The run is released once the next incarnation refuses the late order.
  running_.clear();
  auto calls = renewals_.size();
  Announce(kBorn + 1, 1);
  ASSERT_EQ(renewals_.size(), calls + 1) << "the fencing call waits";
  EXPECT_GT(renewals_.back().fencingToken, starts_.back().fencingToken);
  time_ += milliseconds(2);
  controller_.OnRenewAnswer(renewals_.back().number, List(kBorn + 1));
  EXPECT_EQ(controller_.RunCount(), 0u);
  EXPECT_EQ(reasons_.back(), "later_incarnation: unanswered");
}

// Guards against a run that continues although its job has ended: the next
// incarnation carried out the late start order before the fencing call.
TEST_F(RunControllerTest, LateStartInTheNextIncarnationIsStopped)
{
  Order(kRun);
  controller_.OnStartAnswer(kRun, StartAnswer::eNoAnswer);
  FailRenewals(RenewFailure::eConnectionRefused, 3000);
  running_.push_back({ kRun, 1 });
  Announce(kBorn + 1, 1);
  auto stops = stops_.size();
  AnswerRenewal(kBorn + 1);
  Wait(100);
  EXPECT_EQ(controller_.RunCount(), 1u);
  EXPECT_GT(stops_.size(), stops);
}

// Guards against two runs of one task: a server that announces its end still
// runs its tasks for a while.
TEST_F(RunControllerTest, LeaveNoticeDoesNotReleaseRuns)
{
  StartRunning(kRun);
  controller_.OnServerLeft("server", kBorn);
  EXPECT_EQ(controller_.Condition(), ServerCondition::eUnreachable);
  EXPECT_EQ(controller_.RunCount(), 1u);
  ended_.push_back({ 1, kRun, RunEndKind::eDone });
  running_.clear();
  AnswerRenewal(kBorn);
  EXPECT_EQ(controller_.RunCount(), 0u);
  ASSERT_EQ(ends_.size(), 1u);
  EXPECT_EQ(ends_[0].kind, RunEndKind::eDone);
  EXPECT_EQ(controller_.Condition(), ServerCondition::eUnreachable);
  Announce(kBorn + 1, 1);
  EXPECT_EQ(controller_.Condition(), ServerCondition::eReady);
}

// Guards against a late leave notice of an earlier incarnation that takes the
// present one, under the same ID, out of use and ends its runs.
TEST_F(RunControllerTest, LeaveNoticeOfAnotherIncarnationIsIgnored)
{
  StartRunning(kRun);
  controller_.OnServerLeft("server", kBorn - 1);
  EXPECT_EQ(controller_.Condition(), ServerCondition::eReady);
  EXPECT_EQ(controller_.RunCount(), 1u);
  EXPECT_EQ(conditions_.back(), "ignored the leave of another incarnation");
}

// Guards against two runs of one task: the next incarnation of a server, under
// the same ID, carries out the late start order of an earlier one.
TEST_F(RunControllerTest, NextIncarnationRefusesEarlierOrders)
{
  Order(kRun);
  controller_.OnStartAnswer(kRun, StartAnswer::eNoAnswer);
  auto early = renewals_.back().number;
  time_ += milliseconds(2);
  controller_.OnRenewAnswer(early, List(kBorn + 1));
  EXPECT_EQ(controller_.RunCount(), 1u);
  EXPECT_GT(renewals_.back().fencingToken, starts_.back().fencingToken);
  time_ += milliseconds(2);
  controller_.OnRenewAnswer(renewals_.back().number, List(kBorn + 1));
  EXPECT_EQ(controller_.RunCount(), 0u);
  EXPECT_EQ(reasons_.back(), "later_incarnation: unanswered");
}

// Guards against two runs of one task: the stop of an unanswered start proves
// nothing while the start call is in progress, since it may still be carried
// out by the time the list is made.
TEST_F(RunControllerTest, StoppedStartIsReleasedOnlyAfterItsCall)
{
  Order(kRun);
  isEntryAlive_ = false;
  controller_.OnEntryLost(kEntry);
  controller_.OnEntry(kEntry, true);
  ASSERT_EQ(stops_.size(), 1u);
  controller_.OnStopAnswer(kRun, true);
  time_ += milliseconds(2);
  controller_.OnRenewAnswer(renewals_.back().number, List(kBorn));
  EXPECT_EQ(controller_.RunCount(), 1u);
  controller_.OnStartAnswer(kRun, StartAnswer::eNoAnswer);
  EXPECT_EQ(controller_.RunCount(), 1u);
  time_ += milliseconds(2);
  controller_.OnRenewAnswer(renewals_.back().number, List(kBorn));
  EXPECT_EQ(controller_.RunCount(), 0u);
  EXPECT_EQ(reasons_.back(), "not_listed_after_stop: unanswered");
}

// Guards against a job that its callers submit again while the next incarnation
// may carry out the late start: the answered stop is a fence in one only.
TEST_F(RunControllerTest, StoppedStartIsReportedAsUncertain)
{
  Order(kRun);
  controller_.OnStartAnswer(kRun, StartAnswer::eNoAnswer);
  Wait(125);
  ASSERT_FALSE(stops_.empty());
  controller_.OnStopAnswer(kRun, true);
  AnswerRenewal(kBorn);
  EXPECT_EQ(controller_.RunCount(), 0u);
  ASSERT_EQ(uncertain_.size(), 1u);
  EXPECT_EQ(uncertain_[0], (UncertainStart{ kRun, false }));
}

// Guards against a job that its callers submit again: the report that its start
// is uncertain was lost with the connection to the entry.
TEST_F(RunControllerTest, CheckRepeatsThatAStartIsUncertain)
{
  Order(kRun);
  controller_.OnStartAnswer(kRun, StartAnswer::eNoAnswer);
  FailRenewals(RenewFailure::eConnectionRefused, 50);
  ASSERT_EQ(uncertain_.size(), 1u);
  DispatchOrders orders;
  orders.checks.push_back(kRun);
  controller_.OnOrders(kEntry, orders);
  ASSERT_EQ(uncertain_.size(), 2u);
  EXPECT_EQ(uncertain_[1], uncertain_[0]);
}

// Guards against runs of healthy entries that lapse: the stop of a run of an
// entry without contact is answered, but its end is listed late.
TEST_F(RunControllerTest, AnsweredStopNoLongerLimitsTheLeases)
{
  OrderForSilentEntry(kOtherRun);
  WaitWithRenewals(750);
  ASSERT_FALSE(stops_.empty());
  controller_.OnStopAnswer(kOtherRun, true);
  Order(kRun);
  EXPECT_EQ(starts_.back().leaseEnd,
            milliseconds(90'000) + (time_ - kStart) +
              RunControllerSettings().lease);
}

// Guards against starts that the server refuses as late, again and again: the
// run of an entry without contact limits all leases until it is stopped.
TEST_F(RunControllerTest, RefusesStartsWhoseLeaseWouldBeTooShort)
{
  OrderForSilentEntry(kOtherRun);
  WaitWithRenewals(650);
  auto starts = starts_.size();
  controller_.OnOrders(kEntry, StartOrder(kRun));
  EXPECT_EQ(starts_.size(), starts);
  ASSERT_FALSE(ends_.empty());
  EXPECT_EQ(ends_.back(), (RunEnd{ kRun, RunEndKind::eRefused, 0 }));
}

// Guards against runs that are never stopped: the incarnation that answered the
// stop order has ended, and the next one runs the task.
TEST_F(RunControllerTest, StopIsRepeatedForALaterIncarnation)
{
  Order(kRun);
  controller_.OnEntryLost(kEntry);
  controller_.OnStopAnswer(kRun, true);
  controller_.OnStartAnswer(kRun, StartAnswer::eNoAnswer);
  running_.push_back({ kRun, 1 });
  Announce(kBorn + 1, 1);
  AnswerRenewal(kBorn + 1);
  auto stops = stops_.size();
  Wait(100);
  EXPECT_GT(stops_.size(), stops);
}

// Guards against a server that cannot be reached for a moment and stays unused
// for the length of a long poll.
TEST_F(RunControllerTest, UnreachableServerIsAskedWithoutALongPoll)
{
  FailRenewals(RenewFailure::eNoAnswer, 400);
  ASSERT_EQ(controller_.Condition(), ServerCondition::eUnreachable);
  EXPECT_EQ(renewals_.back().wait, milliseconds(0));
  controller_.OnRenewAnswer(renewals_.back().number, List(kBorn));
  EXPECT_NE(controller_.Condition(), ServerCondition::eUnreachable);
}

// Guards against a server that is not used again: its wall clock was set back,
// so its new incarnation states an earlier start than the one before.
TEST_F(RunControllerTest, IncarnationWithAnEarlierClockIsUsed)
{
  ASSERT_FALSE(controller_.OnAnnouncement(Announcement(kBorn - 2000, 1)));
  AnswerRenewal(kBorn - 2000);
  AnswerList(kBorn - 2000);
  EXPECT_TRUE(controller_.OnAnnouncement(Announcement(kBorn - 2000, 1)));
  Order(kRun);
  EXPECT_EQ(starts_.back().serverId, "server");
}

// Guards against an agent that cannot give orders: its wall clock was set back,
// so its fencing token is lower than that of the agent before it.
TEST_F(RunControllerTest, TokenOfAnEarlierClockIsRaisedUntilItIsAccepted)
{
  constexpr std::uint64_t kSeenByServer = 200'000;
  for (int i = 0; i < 50 && renewals_.back().fencingToken < kSeenByServer;
       ++i) {
    FailOpenRenewals(RenewFailure::eFenced);
    Wait(125);
  }
  EXPECT_GE(renewals_.back().fencingToken, kSeenByServer);
  controller_.OnRenewAnswer(renewals_.back().number, List(kBorn));
  Order(kRun);
  EXPECT_GE(starts_.back().fencingToken, kSeenByServer);
}

// Guards against a fencing token that falls while the clock of the agent's host
// jumps forward and back: it is read once, at the start of the agent.
TEST_F(RunControllerTest, TokenDoesNotFollowTheWallClock)
{
  auto before = renewals_.back().fencingToken;
  Wait(5000);
  AnswerRenewal(kBorn);
  EXPECT_EQ(renewals_.back().fencingToken, before);
}

// Guards against starts on a server of another kind: its next incarnation,
// under the same ID, answered a renewal before it announced its labels, and
// tasks were started by those of the former incarnation.
TEST_F(RunControllerTest, NothingStartsBeforeTheNextIncarnationIsAnnounced)
{
  AnswerRenewal(kBorn + 1);
  AnswerList(kBorn + 1);
  EXPECT_EQ(controller_.Condition(), ServerCondition::eUnreachable);
  EXPECT_EQ(lastReport_.condition, ServerCondition::eUnreachable);
  Wait(150);
  controller_.OnOrders(kEntry, StartOrder(kRun));
  EXPECT_TRUE(starts_.empty());
  ASSERT_EQ(ends_.size(), 1u);
  EXPECT_EQ(ends_[0].kind, RunEndKind::eRefused);
  auto announcement = Announcement(kBorn + 1, 1);
  announcement.description.labels = { "b" };
  controller_.OnAnnouncement(announcement);
  EXPECT_EQ(lastReport_.condition, ServerCondition::eReady);
  ASSERT_TRUE(lastReport_.description);
  EXPECT_EQ(lastReport_.description->labels, announcement.description.labels);
  Order(kOtherRun);
}

// Guards against a server that is never used again: it left while it ran tasks,
// and its next incarnation, under the same ID, answered a renewal before it
// announced itself.
TEST_F(RunControllerTest, LeaveDoesNotConcernTheNextIncarnation)
{
  StartRunning(kRun);
  controller_.OnServerLeft("server", kBorn);
  running_.clear();
  AnswerRenewal(kBorn + 1);
  AnswerList(kBorn + 1);
  Announce(kBorn + 1, 1);
  EXPECT_EQ(controller_.Condition(), ServerCondition::eReady);
  Order(kOtherRun);
}

/** An agent beside a server that runs tasks which an earlier agent started. */
class RestartedAgentTest : public RunControllerTest
{
protected:
  RestartedAgentTest() { running_.push_back({ kRun, 1 }); }

  void SetUp() override {}

  /** Orders one task; returns true if the agent sent it to the server. */
  bool TryOrder(std::uint64_t aJob)
  {
    auto before = starts_.size();
    controller_.OnOrders(kEntry, StartOrder({ { aJob, 0, 0 }, 1 }));
    return starts_.size() > before;
  }
};

// Guards against starts beside the runs of an earlier agent before the server
// has listed these: their capacity counted as free.
TEST_F(RestartedAgentTest, NothingStartsBeforeTheFirstList)
{
  Wait(150);
  EXPECT_FALSE(TryOrder(10));
  ASSERT_EQ(ends_.size(), 1u);
  EXPECT_EQ(ends_[0].kind, RunEndKind::eNoFreeCapacity);
  running_.clear();
  AnswerList(kBorn);
  EXPECT_TRUE(TryOrder(11));
}

// Guards against the same while the server stops these runs: their capacity is
// in use until it lists their end.
TEST_F(RestartedAgentTest, UnknownRunsCountUntilTheirEndIsListed)
{
  Wait(150);
  AnswerList(kBorn);
  ASSERT_EQ(stops_.size(), 1u);
  EXPECT_EQ(stops_[0].run, kRun);
  EXPECT_FALSE(TryOrder(10));
  controller_.OnStopAnswer(kRun, true);
  EXPECT_FALSE(TryOrder(11));
  Wait(100);
  AnswerList(kBorn);
  EXPECT_FALSE(TryOrder(12));
  running_.clear();
  ended_.push_back({ 1, kRun, RunEndKind::eStopped });
  Wait(100);
  AnswerList(kBorn);
  EXPECT_TRUE(TryOrder(13));
}

// Guards against two runs of one task: a new agent prolonged the leases of the
// runs of an earlier agent until the callers had submitted their jobs again.
TEST_F(RestartedAgentTest, LeasesOfUnknownRunsAreNotExtended)
{
  for (int i = 0; i < 5; ++i) {
    auto clock = milliseconds(90'000) + (time_ - kStart);
    EXPECT_LE(renewals_.back().leaseEnd, clock) << "renewal " << i;
    Wait(150);
    AnswerList(kBorn);
  }
  running_.clear();
  Wait(150);
  AnswerList(kBorn);
  Wait(150);
  ASSERT_TRUE(TryOrder(10));
  EXPECT_EQ(starts_.back().leaseEnd,
            milliseconds(90'000) + (time_ - kStart) + milliseconds(600));
}

// Guards against the same while stop orders are lost.
TEST_F(RestartedAgentTest, LostStopOfAnUnknownRunIsRepeatedAtOnce)
{
  Wait(150);
  AnswerList(kBorn);
  ASSERT_EQ(stops_.size(), 1u);
  controller_.OnStopAnswer(kRun, false);
  Wait(25);
  EXPECT_EQ(stops_.size(), 2u);
  // A stop takes up to 50 ms, so an answered one is not repeated before.
  controller_.OnStopAnswer(kRun, true);
  Wait(50);
  EXPECT_EQ(stops_.size(), 2u);
}

// Guards against endless stop orders and log lines for the runs of a server
// that has gone, which end with their leases.
TEST_F(RestartedAgentTest, UnknownRunsOfAnUnreachableServerAreNotStopped)
{
  Wait(150);
  AnswerList(kBorn);
  FailRenewals(RenewFailure::eConnectionRefused, 100);
  auto sent = stops_.size();
  FailRenewals(RenewFailure::eConnectionRefused, 1000);
  EXPECT_EQ(stops_.size(), sent);
}

// Guards against entries that place jobs at a server whose capacity is unknown,
// and that learn late that it is free.
TEST_F(RestartedAgentTest, CapacityIsReportedOnceItIsKnown)
{
  Wait(150);
  EXPECT_EQ(lastReport_.usedByOthers, (state::ResourceAmount{ 4000, 4000, 0 }));
  AnswerList(kBorn);
  running_.clear();
  Wait(100);
  EXPECT_EQ(lastReport_.usedByOthers, (state::ResourceAmount{ 4000, 4000, 0 }));
  AnswerList(kBorn);
  EXPECT_EQ(lastReport_.usedByOthers, state::ResourceAmount{});
}

// Guards against a server that stays unused for the length of a long poll,
// because its first list was lost or a run is being stopped.
TEST_F(RestartedAgentTest, UnknownRunsAreAskedForWithoutALongPoll)
{
  controller_.OnRenewFailed(renewals_.back().number, RenewFailure::eNoAnswer);
  Wait(125);
  EXPECT_EQ(renewals_.back().wait, milliseconds(0));
  AnswerList(kBorn);
  auto sent = renewals_.size();
  Wait(125);
  ASSERT_GT(renewals_.size(), sent);
  EXPECT_EQ(renewals_.back().wait, milliseconds(0));
}

// Guards against two runs of one task: an answer of an earlier incarnation,
// overtaken by one of the present incarnation, lists neither its runs nor ends
// that concern them.
TEST_F(RestartedAgentTest, OvertakenAnswerOfAnEarlierIncarnationIsIgnored)
{
  running_.clear();
  auto early = renewals_.back().number;
  Wait(150);
  ASSERT_NE(renewals_.back().number, early);
  controller_.OnRenewAnswer(renewals_.back().number, List(kBorn + 9));
  AnswerList(kBorn + 9);
  Announce(kBorn + 9, 1);
  Order(kRun);
  time_ += milliseconds(1);
  controller_.OnStartAnswer(kRun, StartAnswer::eStarted);
  ended_.push_back({ 1, kRun, RunEndKind::eLost });
  controller_.OnRenewAnswer(early, List(kBorn));
  EXPECT_EQ(controller_.RunCount(), 1u);
  EXPECT_EQ(conditions_.back(), "ignored a list of an earlier incarnation");
}

// Guards against a free server that counts as full: an answer that another one
// overtook still lists a run that has ended since.
TEST_F(RunControllerTest, OvertakenListDoesNotMakeAnEndedRunUnknown)
{
  StartRunning(kRun);
  Wait(150);
  auto early = renewals_.back().number;
  auto list = List(kBorn);
  Wait(150);
  ASSERT_NE(renewals_.back().number, early);
  running_.clear();
  ended_.push_back({ 1, kRun, RunEndKind::eDone });
  AnswerList(kBorn);
  ASSERT_EQ(controller_.RunCount(), 0u);
  controller_.OnRenewAnswer(early, list);
  EXPECT_TRUE(stops_.empty());
  Order(kOtherRun);
}

}
}
