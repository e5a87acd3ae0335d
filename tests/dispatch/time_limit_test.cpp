#include <gtest/gtest.h>

#include "coordination/dispatch/job_dispatcher.h"
#include "coordination/simulation/virtual_clock.h"

// Time limits of jobs whose callers wait longer than the timeout of the queue.
namespace greengage::testing {
namespace {

using namespace coordination;
using state::DispatchReason;
using state::DispatchResult;
using std::chrono::milliseconds;

constexpr milliseconds kQueueTimeout{ 1500 };
constexpr milliseconds kCallerTimeout{ 9000 };
/** The caller's estimate, and the run time that the forecast shows. */
constexpr milliseconds kEstimate{ 900 };
constexpr std::uint32_t kLongRunMs = 4000;
constexpr milliseconds kTick{ 25 };

class TimeLimitTest : public ::testing::Test
{
protected:
  TimeLimitTest()
  {
    agent_.id = state::ProcessId{ 1, 1 };
    agent_.role = ProcessRole::eAgent;
    agent_.peerAddress = "10.0.0.1:7720";
    queue_.name = "queue";
    queue_.service = "pool";
    queue_.objectiveStretch = 1.6;
    queue_.objectiveMargin = milliseconds(60);
    queue_.timeout = kQueueTimeout;
    dispatcher_.OnAgent(agent_);
    ServerReport report;
    report.description =
      ServerDescription{ "server", "pool", {}, { 16'000, 32'768, 0 } };
    Report(report);
  }

  void Submit(std::optional<milliseconds> aCallerTimeout)
  {
    state::DispatchJob job;
    job.id = 1;
    job.steps.push_back({ 1, { 1000, 64, 0 }, kEstimate });
    dispatcher_.Submit(1, queue_, job, aCallerTimeout);
  }

  void Report(ServerReport aReport)
  {
    aReport.condition = ServerCondition::eReady;
    dispatcher_.OnReport(agent_.id, aReport);
  }

  /** Reports that the run of the job needs kLongRunMs. */
  void ReportForecast()
  {
    ServerReport report;
    report.forecasts.push_back({ started_.at(0), kLongRunMs });
    Report(report);
  }

  void AdvanceTo(milliseconds aTime)
  {
    while (time_ < aTime) {
      time_ += kTick;
      Report({});
      dispatcher_.Tick();
    }
  }

  JobDispatcherHooks MakeHooks()
  {
    JobDispatcherHooks hooks;
    hooks.answer = [this](SubmissionId,
                          const state::DispatchOutcome& aOutcome) {
      outcomes_.push_back(aOutcome);
    };
    hooks.send = [this](const state::ProcessId&,
                        const DispatchOrders& aOrders) {
      for (const RunBatch& batch : aOrders.starts) {
        for (const RunOrder& order : batch.runs) {
          started_.push_back(
            { { batch.job, batch.step, order.index }, order.run });
        }
      }
    };
    return hooks;
  }

  milliseconds time_{ 0 };
  simulation::VirtualClock clock_{ time_, {} };
  ProcessInfo agent_;
  state::WorkQueue queue_;
  std::vector<state::RunKey> started_;
  std::vector<state::DispatchOutcome> outcomes_;
  JobDispatcher dispatcher_{ {}, clock_, MakeHooks() };
};

// Guards against long jobs on idle servers that are failed at the timeout of
// their queue, 1.5 s, although their callers wait for 9 s.
TEST_F(TimeLimitTest, CallerThatWaitsLongerThanTheQueueTimeoutIsServed)
{
  Submit(kCallerTimeout);
  AdvanceTo(milliseconds(500));
  ReportForecast();
  AdvanceTo(milliseconds(kLongRunMs));
  EXPECT_TRUE(outcomes_.empty());
  ServerReport report;
  report.ends.push_back({ started_.at(0), RunEndKind::eDone, kLongRunMs });
  Report(report);
  ASSERT_EQ(outcomes_.size(), 1u);
  EXPECT_EQ(outcomes_[0].result, DispatchResult::eCompleted);
}

// Guards against a job without any limit if the caller states none.
TEST_F(TimeLimitTest, QueueTimeoutAppliesToCallersThatStateNone)
{
  Submit(std::nullopt);
  AdvanceTo(kQueueTimeout + kTick);
  ASSERT_EQ(outcomes_.size(), 1u);
  EXPECT_EQ(outcomes_[0].result, DispatchResult::eFailed);
  EXPECT_EQ(outcomes_[0].reason, DispatchReason::eTooLate);
}

// Guards against runs that go on after the time that the caller waits.
TEST_F(TimeLimitTest, CallerThatWaitsLessThanTheQueueTimeoutEndsItsJob)
{
  queue_.timeout = 2 * kCallerTimeout;
  Submit(kCallerTimeout);
  AdvanceTo(kCallerTimeout + kTick);
  ASSERT_EQ(outcomes_.size(), 1u);
  EXPECT_EQ(outcomes_[0].reason, DispatchReason::eTooLate);
}

}
}
