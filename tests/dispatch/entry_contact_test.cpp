#include <algorithm>

#include <gtest/gtest.h>

#include "coordination/dispatch/run_controller.h"
#include "coordination/simulation/virtual_clock.h"

// How a RunController treats delayed orders and heartbeats of entries; the test
// delivers the orders and reads the reports.
namespace greengage::testing {
namespace {

using namespace coordination;
using state::ProcessId;
using state::RunKey;
using std::chrono::milliseconds;

constexpr ProcessId kEntry{ 1, 1 };
constexpr ProcessId kOtherEntry{ 1, 2 };
constexpr RunKey kRun{ { 5, 0, 0 }, 1 };

class EntryContactTest : public ::testing::Test
{
protected:
  EntryContactTest()
  {
    ServerAnnouncement announcement;
    announcement.description = {
      "server-1", "pool", {}, { 16'000, 32'768, 0 }
    };
    announcement.born = 1;
    announcement.sequence = 1;
    controller_.OnAnnouncement(announcement);
    controller_.OnEntry(kEntry, true);
    controller_.OnEntry(kOtherEntry, true);
    controller_.OnRenewAnswer(lastRenewal_, { 1, time_, {}, {} });
  }

  /** Returns a start order of kRun that confirms the newest report. */
  DispatchOrders StartOrder(const ProcessId& aEntry = kEntry) const
  {
    DispatchOrders orders;
    orders.starts.push_back({ kRun.task.job,
                              kRun.task.step,
                              { 1000, 64, 0 },
                              0,
                              "text",
                              { { kRun.task.index, kRun.run } } });
    orders.confirmedAtMs = reports_.at(aEntry).back().sentAtMs;
    return orders;
  }

  /** Returns a heartbeat that confirms the newest report. */
  DispatchOrders Heartbeat() const
  {
    DispatchOrders orders;
    orders.confirmedAtMs = reports_.at(kEntry).back().sentAtMs;
    return orders;
  }

  void RunFor(milliseconds aTime)
  {
    for (milliseconds end = time_ + aTime; time_ < end;) {
      time_ += std::min(milliseconds(25), end - time_);
      controller_.Tick();
    }
  }

  /** Returns the ends that were reported to an entry. */
  std::vector<RunEnd> Ends(const ProcessId& aEntry = kEntry) const
  {
    std::vector<RunEnd> ends;
    for (const ServerReport& report : reports_.at(aEntry)) {
      ends.insert(ends.end(), report.ends.begin(), report.ends.end());
    }
    return ends;
  }

  RunControllerHooks MakeHooks()
  {
    RunControllerHooks hooks;
    hooks.start = [this](const StartRunCall& aCall) {
      started_.push_back(aCall.run);
    };
    hooks.stop = [this](const StopRunCall& aCall) {
      stopped_.push_back(aCall.run);
    };
    hooks.renew = [this](const RenewCall& aCall) {
      lastRenewal_ = aCall.number;
    };
    hooks.report = [this](const ProcessId& aEntry,
                          const ServerReport& aReport) {
      reports_[aEntry].push_back(aReport);
    };
    hooks.runDecision = [this](const RunDecision& aDecision) {
      decisions_.push_back(aDecision);
    };
    hooks.condition = [](ServerCondition, const std::string&) {};
    return hooks;
  }

  milliseconds time_{ 10'000 };
  simulation::VirtualClock clock_{ time_, {} };
  std::uint64_t lastRenewal_ = 0;
  std::vector<RunKey> started_;
  std::vector<RunKey> stopped_;
  std::map<ProcessId, std::vector<ServerReport>> reports_;
  std::vector<RunDecision> decisions_;
  RunController controller_{ {}, 1, clock_, MakeHooks() };
};

// Guards against a start order that was delayed on its way and is carried out
// after the caller has submitted the job again elsewhere.
TEST_F(EntryContactTest, DelayedStartIsRefusedWithItsAgeAndANewReport)
{
  DispatchOrders late = StartOrder();
  time_ += milliseconds(301);
  controller_.OnOrders(kEntry, late);
  EXPECT_TRUE(started_.empty());
  ASSERT_EQ(Ends().size(), 1u);
  EXPECT_EQ(Ends()[0], (RunEnd{ kRun, RunEndKind::eUnanswered, 0 }));
  ASSERT_FALSE(decisions_.empty());
  EXPECT_EQ(decisions_.back().reason, "stale_order");
  EXPECT_EQ(decisions_.back().age, milliseconds(301));
  // The refusal allows the entry to place the task again a round trip later.
  controller_.OnOrders(kEntry, StartOrder());
  EXPECT_EQ(started_, std::vector<RunKey>{ kRun });
}

// Guards against a log that does not show which entry ordered a run and how old
// the order was.
TEST_F(EntryContactTest, AcceptedStartIsRecordedWithItsAge)
{
  DispatchOrders order = StartOrder();
  time_ += milliseconds(120);
  controller_.OnOrders(kEntry, order);
  ASSERT_EQ(decisions_.size(), 1u);
  EXPECT_STREQ(decisions_[0].decision, "start");
  EXPECT_EQ(decisions_[0].entry, kEntry);
  EXPECT_EQ(decisions_[0].age, milliseconds(120));
}

// Guards against refusing orders that are only as old as heartbeats, ticks and
// the transfer make them.
TEST_F(EntryContactTest, StartWithinTheBoundIsAccepted)
{
  DispatchOrders order = StartOrder();
  time_ += milliseconds(300);
  controller_.OnOrders(kEntry, order);
  EXPECT_EQ(started_, std::vector<RunKey>{ kRun });
}

// Guards against runs of a dead entry that go on because its last heartbeats
// arrive late.
TEST_F(EntryContactTest, DelayedHeartbeatsDoNotKeepRuns)
{
  controller_.OnOrders(kEntry, StartOrder());
  DispatchOrders delayed = Heartbeat();
  for (int i = 0; i < 6; ++i) {
    RunFor(milliseconds(100));
    controller_.OnOrders(kEntry, delayed);
  }
  EXPECT_TRUE(stopped_.empty());
  RunFor(milliseconds(50));
  controller_.OnOrders(kEntry, delayed);
  EXPECT_EQ(stopped_, std::vector<RunKey>{ kRun });
}

// Guards against stopping the runs of an entry that confirms each report.
TEST_F(EntryContactTest, CurrentHeartbeatsKeepRuns)
{
  controller_.OnOrders(kEntry, StartOrder());
  for (int i = 0; i < 30; ++i) {
    DispatchOrders heartbeat = Heartbeat();
    RunFor(milliseconds(150));
    controller_.OnOrders(kEntry, heartbeat);
  }
  EXPECT_TRUE(stopped_.empty());
}

// Guards against orders that were buffered while the agent was paused, when
// they are read later than the time needed to read the sockets.
TEST_F(EntryContactTest, OrdersFromBeforeAPauseAreRefused)
{
  DispatchOrders buffered = StartOrder();
  time_ += milliseconds(450);
  controller_.Tick();
  RunFor(milliseconds(125));
  controller_.OnOrders(kEntry, buffered);
  EXPECT_TRUE(started_.empty());
  controller_.OnOrders(kEntry, StartOrder());
  EXPECT_EQ(started_, std::vector<RunKey>{ kRun });
}

// Guards against refusing work for a fixed time after a pause although the
// order proves that it was sent after the pause.
TEST_F(EntryContactTest, OrderThatConfirmsAReportAfterAPauseIsAccepted)
{
  time_ += milliseconds(450);
  controller_.Tick();
  time_ += milliseconds(50);
  controller_.OnOrders(kEntry, Heartbeat());
  controller_.OnOrders(kEntry, StartOrder());
  EXPECT_EQ(started_, std::vector<RunKey>{ kRun });
}

// Guards against an agent that refuses or stops all runs of an entry of the
// previous version, which confirms no reports: arrival counts for it.
TEST_F(EntryContactTest, EntryOfThePreviousVersionCountsFromArrival)
{
  DispatchOrders order = StartOrder();
  order.confirmedAtMs = 0;
  RunFor(milliseconds(1000));
  controller_.OnOrders(kEntry, order);
  EXPECT_EQ(started_, std::vector<RunKey>{ kRun });
  for (int i = 0; i < 10; ++i) {
    RunFor(milliseconds(150));
    controller_.OnOrders(kEntry, DispatchOrders{});
  }
  EXPECT_TRUE(stopped_.empty());
  RunFor(milliseconds(650));
  EXPECT_EQ(stopped_, std::vector<RunKey>{ kRun });
}

// Guards against a first order to an idle server that is refused although the
// entry placed work there a second before, and against the reports that prevent
// it going on for long or to entries that place nothing.
TEST_F(EntryContactTest, ReportsAreRefreshedOnlyForRecentWork)
{
  RunFor(milliseconds(300));
  auto before = reports_[kEntry].size();
  auto otherBefore = reports_[kOtherEntry].size();
  controller_.OnOrders(kEntry, StartOrder());
  controller_.OnStartAnswer(kRun, StartAnswer::eNoFreeCapacity);
  for (int i = 0; i < 28; ++i) {
    RunFor(milliseconds(100));
    OrderContact contact = ContactOf(StartOrder(), clock_.MonotonicNow());
    EXPECT_LE(contact.Age(clock_.MonotonicNow()), milliseconds(225));
  }
  RunFor(milliseconds(7200));
  // 14 refreshes in 3 s, three descriptions in 10 s, and those of the start.
  EXPECT_LE(reports_[kEntry].size() - before, 20u);
  EXPECT_LE(reports_[kOtherEntry].size() - otherBefore, 5u);
}

// Guards against a late stop of an earlier submission that ends the run of a
// later one through another entry; run numbers start at 1 in both.
TEST_F(EntryContactTest, StopOfAnotherEntryDoesNotStopARun)
{
  controller_.OnOrders(kEntry, StartOrder());
  DispatchOrders stop;
  stop.stops = { kRun };
  controller_.OnOrders(kOtherEntry, stop);
  EXPECT_TRUE(stopped_.empty());
  EXPECT_TRUE(Ends().empty());
  // Without an end, the sender would count the capacity of the run for ever.
  EXPECT_EQ(Ends(kOtherEntry),
            (std::vector<RunEnd>{ { kRun, RunEndKind::eStopped, 0 } }));
  controller_.OnOrders(kEntry, stop);
  EXPECT_EQ(stopped_, std::vector<RunKey>{ kRun });
}

// Guards against an entry that waits for the end of a run that it does not have
// here, because another entry has a run with the same key.
TEST_F(EntryContactTest, CheckOfAnotherEntryIsAnsweredAsLost)
{
  controller_.OnOrders(kEntry, StartOrder());
  DispatchOrders check;
  check.checks = { kRun };
  controller_.OnOrders(kEntry, check);
  EXPECT_TRUE(Ends().empty());
  controller_.OnOrders(kOtherEntry, check);
  EXPECT_EQ(Ends(kOtherEntry),
            (std::vector<RunEnd>{ { kRun, RunEndKind::eLost, 0 } }));
  EXPECT_TRUE(stopped_.empty());
}

// Guards against a withdrawal by one entry that refuses the run of another, and
// against a stop that arrives before its start and does not prevent it.
TEST_F(EntryContactTest, WithdrawalConcernsOnlyItsEntry)
{
  DispatchOrders stop;
  stop.stops = { kRun };
  controller_.OnOrders(kOtherEntry, stop);
  controller_.OnOrders(kEntry, StartOrder());
  EXPECT_EQ(started_, std::vector<RunKey>{ kRun });
  controller_.OnOrders(kOtherEntry, StartOrder(kOtherEntry));
  EXPECT_EQ(started_.size(), 1u);
}

// Guards against a repeated stop that gets no answer because the end that
// answered the first one was lost with the connection.
TEST_F(EntryContactTest, EachStopOfAnAbsentRunIsAnswered)
{
  DispatchOrders stop;
  stop.stops = { kRun };
  controller_.OnOrders(kEntry, stop);
  controller_.OnOrders(kEntry, stop);
  EXPECT_EQ(Ends().size(), 2u);
}

}
}
