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
constexpr std::uint64_t kBorn = 5000;
constexpr RunKey kRun{ { 1, 0, 0 }, 1 };

class RunControllerTest : public ::testing::Test
{
protected:
  RunControllerTest()
  {
    controller_.OnEntry(kEntry, true);
    Announce(kBorn, 1);
  }

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

  void Order(const RunKey& aRun)
  {
    Wait(150);
    DispatchOrders orders;
    orders.starts.push_back(
      { aRun.task.job, 0, { 1000, 64, 0 }, 0, "", { { 0, aRun.run } } });
    controller_.OnOrders(kEntry, orders);
    ASSERT_FALSE(starts_.empty());
    ASSERT_EQ(starts_.back().run, aRun);
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

  /** Answers the newest renewal. */
  void AnswerRenewal(std::uint64_t aBorn)
  {
    Wait(100);
    time_ += milliseconds(2);
    answeredLeaseEnd_ =
      renewals_.back().leaseEnd - milliseconds(90'000) + kStart;
    controller_.OnRenewAnswer(renewals_.back().number, List(aBorn));
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
      for (const RunEnd& end : aReport.ends) {
        ends_.push_back(end);
        endTimes_[end.run] = time_;
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
  std::vector<ListedRun> running_;
  std::vector<ListedEnd> ended_;
  std::vector<RunEnd> ends_;
  std::map<RunKey, milliseconds> endTimes_;
  /** End of the lease of the last answered renewal, on the agent's clock. */
  milliseconds answeredLeaseEnd_{ 0 };
  std::vector<std::string> reasons_;
  std::vector<std::string> conditions_;
  RunController controller_{ {}, 100, clock_, MakeHooks() };
};

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

}
}
