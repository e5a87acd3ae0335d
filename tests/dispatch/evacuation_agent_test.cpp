#include <gtest/gtest.h>

#include "coordination/dispatch/run_controller.h"
#include "coordination/simulation/virtual_clock.h"

// The agent as the last check of an evacuation; the test plays entries and
// server.
namespace greengage::testing {
namespace {

using namespace coordination;
using state::EvacuationState;
using state::ProcessId;
using state::RunKey;
using std::chrono::milliseconds;

constexpr ProcessId kInformed{ 7, 7 };
constexpr ProcessId kUninformed{ 8, 8 };
constexpr RunKey kRun{ { 1, 0, 0 }, 1 };
constexpr RunKey kLateRun{ { 2, 0, 0 }, 1 };

class EvacuationAgentTest : public ::testing::Test
{
protected:
  EvacuationAgentTest()
  {
    controller_.OnEntry(kInformed, true);
    controller_.OnEntry(kUninformed, true);
    Announce(1, milliseconds(0));
    // The agent starts nothing until the server has listed its runs.
    controller_.OnRenewAnswer(renewals_.back().number,
                              { 5000, milliseconds(90'000), {}, {} });
    Wait(150);
  }

  static RunControllerSettings Settings()
  {
    RunControllerSettings settings;
    settings.dataCentre = "bole";
    return settings;
  }

  void Announce(std::uint64_t aSequence, milliseconds aColdLeft)
  {
    ServerAnnouncement announcement;
    announcement.description = { "server", "pool", {}, { 4000, 4000, 0 } };
    announcement.born = 5000;
    announcement.sequence = aSequence;
    announcement.serverClock = milliseconds(90'000);
    announcement.coldLeft = aColdLeft;
    controller_.OnAnnouncement(announcement);
  }

  void Wait(int aMs)
  {
    for (int passed = 0; passed < aMs; passed += 25) {
      time_ += milliseconds(25);
      controller_.OnOrders(kInformed, {});
      controller_.OnOrders(kUninformed, {});
      controller_.Tick();
    }
  }

  void Order(const ProcessId& aEntry, const RunKey& aRun)
  {
    DispatchOrders orders;
    orders.starts.push_back(
      { aRun.task.job, 0, { 1000, 64, 0 }, 0, "", { { 0, aRun.run } } });
    controller_.OnOrders(aEntry, orders);
  }

  void SendEvacuation(const EvacuationState& aState)
  {
    DispatchOrders orders;
    orders.evacuation = aState;
    controller_.OnOrders(kInformed, orders);
  }

  RunControllerHooks MakeHooks()
  {
    RunControllerHooks hooks;
    hooks.start = [this](const StartRunCall& aCall) {
      starts_.push_back(aCall.run);
    };
    hooks.stop = [this](const StopRunCall& aCall) {
      stops_.push_back(aCall.run);
    };
    hooks.renew = [this](const RenewCall& aCall) {
      renewals_.push_back(aCall);
    };
    hooks.report = [this](const ProcessId& aEntry,
                          const ServerReport& aReport) {
      conditions_[aEntry] = aReport.condition;
      if (aReport.evacuation) {
        evacuations_[aEntry] = *aReport.evacuation;
      }
      ends_.insert(ends_.end(), aReport.ends.begin(), aReport.ends.end());
    };
    hooks.condition = [](ServerCondition, const std::string&) {};
    hooks.evacuationChanged = [this](const EvacuationChange& aChange) {
      changes_.push_back(aChange);
    };
    return hooks;
  }

  milliseconds time_{ 1000 };
  simulation::VirtualClock clock_{ time_, {} };
  std::vector<RunKey> starts_;
  std::vector<RunKey> stops_;
  std::vector<RenewCall> renewals_;
  std::vector<RunEnd> ends_;
  std::map<ProcessId, ServerCondition> conditions_;
  std::map<ProcessId, EvacuationState> evacuations_;
  std::vector<EvacuationChange> changes_;
  RunController controller_{ Settings(), 100, clock_, MakeHooks() };
};

// Guards against a start for an entry that does not know of the evacuation, an
// entry that goes on placing there, and a run that is stopped.
TEST_F(EvacuationAgentTest, RefusesStartsAndInformsOtherEntries)
{
  Order(kInformed, kRun);
  controller_.OnStartAnswer(kRun, StartAnswer::eStarted);
  ASSERT_EQ(starts_, (std::vector<RunKey>{ kRun }));
  SendEvacuation({ 9, { "bole" } });
  EXPECT_EQ(conditions_[kUninformed], ServerCondition::eDraining);
  EXPECT_EQ(evacuations_[kUninformed], (EvacuationState{ 9, { "bole" } }));
  Order(kUninformed, kLateRun);
  EXPECT_EQ(starts_, (std::vector<RunKey>{ kRun }));
  ASSERT_EQ(ends_.size(), 1u);
  EXPECT_EQ(ends_[0].run, kLateRun);
  EXPECT_EQ(ends_[0].kind, RunEndKind::eRefused);
  EXPECT_EQ(controller_.RunCount(), 1u);
  EXPECT_TRUE(stops_.empty());
}

// Guards against an old notice that ends an evacuation, and against an
// evacuation of another data centre that stops this one.
TEST_F(EvacuationAgentTest, IgnoresOlderNoticesAndOtherDataCentres)
{
  SendEvacuation({ 9, { "bole" } });
  SendEvacuation({ 8, {} });
  SendEvacuation({ 9, {} });
  EXPECT_EQ(controller_.Condition(), ServerCondition::eDraining);
  SendEvacuation({ 10, { "mulu" } });
  EXPECT_EQ(controller_.Condition(), ServerCondition::eReady);
  Order(kUninformed, kRun);
  EXPECT_EQ(starts_.size(), 1u);
  EXPECT_EQ(changes_.size(), 2u);
}

// Guards against a cold server that is filled at once because the agent admits
// more than it reports as free.
TEST_F(EvacuationAgentTest, AdmitsAQuarterOfAColdServerAtFirst)
{
  SendEvacuation({ 9, { "bole" } });
  Announce(2, milliseconds(60'000));
  SendEvacuation({ 10, {} });
  for (std::uint64_t job = 1; job <= 4; ++job) {
    Order(kInformed, { { job, 0, 0 }, 1 });
  }
  EXPECT_EQ(starts_.size(), 1u);
  ASSERT_EQ(ends_.size(), 3u);
  EXPECT_EQ(ends_[0].kind, RunEndKind::eNoFreeCapacity);
}

}
}
