#include <algorithm>
#include <map>
#include <utility>

#include <gtest/gtest.h>

#include "coordination/dispatch/job_dispatcher.h"
#include "coordination/simulation/virtual_clock.h"

// Jobs of callers that do not keep to the published limits: what the dispatcher
// keeps for them, and how much processor time it takes.
namespace greengage::testing {
namespace {

using namespace coordination;
using state::DispatchOutcome;
using state::DispatchReason;
using state::DispatchResult;
using std::chrono::milliseconds;

constexpr milliseconds kTick{ 25 };
constexpr milliseconds kDays = std::chrono::days(10);
constexpr milliseconds kOrdinaryTimeout{ 1500 };
constexpr std::size_t kMaxJobBytes = 1024 * 1024;
/** All of the server's capacity. */
constexpr state::ResourceAmount kWholeServer{ 16'000, 64, 0 };
constexpr state::ResourceAmount kOneCore{ 1000, 64, 0 };

class HostileJobsTest : public ::testing::Test
{
protected:
  HostileJobsTest()
  {
    agent_.id = state::ProcessId{ 1, 1 };
    agent_.role = ProcessRole::eAgent;
    agent_.peerAddress = "10.0.0.1:7720";
    queue_.name = "queue";
    queue_.service = "pool";
    queue_.objectiveStretch = 1.6;
    queue_.objectiveMargin = std::chrono::minutes(5);
    queue_.timeout = kOrdinaryTimeout;
    dispatcher_.OnAgent(agent_);
    ServerReport report;
    report.description =
      ServerDescription{ "server", "pool", {}, { 16'000, 32'768, 0 } };
    Report(report);
  }

  /** Returns the number of the submission. */
  SubmissionId Submit(std::uint32_t aTasks,
                      const state::ResourceAmount& aNeed,
                      milliseconds aEstimate,
                      milliseconds aTimeout,
                      std::size_t aSteps = 1)
  {
    state::DispatchJob job;
    job.id = ++lastSubmission_;
    for (std::size_t i = 0; i < aSteps; ++i) {
      job.steps.push_back({ aTasks, aNeed, aEstimate });
    }
    dispatcher_.Submit(lastSubmission_, queue_, job, aTimeout);
    return lastSubmission_;
  }

  /** Occupies one core of the server until AdvanceTo() ends its run. */
  void OccupyOneCore() { Submit(1, kOneCore, milliseconds(900), kDays); }

  void Report(ServerReport aReport)
  {
    aReport.condition = ServerCondition::eReady;
    dispatcher_.OnReport(agent_.id, aReport);
  }

  void End(const state::RunKey& aRun, RunEndKind aKind, std::uint32_t aRunTime)
  {
    running_.erase(aRun);
    ServerReport report;
    report.ends.push_back({ aRun, aKind, aRunTime });
    Report(report);
  }

  /** Ends the runs that have taken aRunTime, and those ordered to stop. */
  void AdvanceTo(milliseconds aTime, milliseconds aRunTime)
  {
    while (time_ < aTime) {
      time_ += kTick;
      for (const state::RunKey& run : std::exchange(stops_, {})) {
        if (running_.contains(run)) {
          ++stopped_;
          End(run, RunEndKind::eStopped, 0);
        }
      }
      for (const auto& [run, at] : std::map(running_)) {
        if (time_ - at >= aRunTime) {
          End(run, RunEndKind::eDone, aRunTime.count());
        }
      }
      Report({});
      dispatcher_.Tick();
    }
  }

  const DispatchOutcome* OutcomeOf(SubmissionId aSubmission) const
  {
    auto outcome = outcomes_.find(aSubmission);
    return outcome == outcomes_.end() ? nullptr : &outcome->second;
  }

  std::size_t Rejected(DispatchReason aReason) const
  {
    return static_cast<std::size_t>(
      std::count_if(outcomes_.begin(), outcomes_.end(), [&](const auto& aItem) {
        return aItem.second.result == DispatchResult::eRejected &&
               aItem.second.reason == aReason;
      }));
  }

  JobDispatcherHooks MakeHooks()
  {
    JobDispatcherHooks hooks;
    hooks.answer = [this](SubmissionId aSubmission,
                          const DispatchOutcome& aOutcome) {
      outcomes_[aSubmission] = aOutcome;
    };
    hooks.send = [this](const state::ProcessId&,
                        const DispatchOrders& aOrders) {
      for (const RunBatch& batch : aOrders.starts) {
        for (const RunOrder& order : batch.runs) {
          running_[{ { batch.job, batch.step, order.index }, order.run }] =
            time_;
        }
      }
      stops_.insert(stops_.end(), aOrders.stops.begin(), aOrders.stops.end());
    };
    hooks.jobMemoryChanged = [this](std::size_t aBytes) {
      jobBytes_ = aBytes;
      mostJobBytes_ = std::max(mostJobBytes_, aBytes);
    };
    return hooks;
  }

  static JobDispatcherSettings Settings()
  {
    JobDispatcherSettings settings;
    settings.maxJobBytes = kMaxJobBytes;
    return settings;
  }

  milliseconds time_{ 0 };
  simulation::VirtualClock clock_{ time_, {} };
  ProcessInfo agent_;
  state::WorkQueue queue_;
  SubmissionId lastSubmission_ = 0;
  std::map<state::RunKey, milliseconds> running_;
  std::vector<state::RunKey> stops_;
  std::size_t stopped_ = 0;
  std::map<SubmissionId, DispatchOutcome> outcomes_;
  std::size_t jobBytes_ = 0;
  std::size_t mostJobBytes_ = 0;
  JobDispatcher dispatcher_{ Settings(), clock_, MakeHooks() };
};

// Guards against jobs that wait and use up the memory of the host, and against
// ordinary jobs that are refused in their favour.
TEST_F(HostileJobsTest, JobsStayWithinTheirMemory)
{
  OccupyOneCore();
  for (int i = 0; i < 100; ++i) {
    Submit(4096, kWholeServer, milliseconds(0), kDays);
  }
  EXPECT_LE(mostJobBytes_, kMaxJobBytes);
  EXPECT_GE(Rejected(DispatchReason::eNoMemory), 90u);
  auto ordinary = Submit(4, kOneCore, milliseconds(60), kOrdinaryTimeout);
  auto large = Submit(1100, kOneCore, milliseconds(60), kOrdinaryTimeout);
  EXPECT_EQ(OutcomeOf(ordinary), nullptr);
  EXPECT_EQ(OutcomeOf(large), nullptr);
  AdvanceTo(milliseconds(200), milliseconds(60));
  ASSERT_NE(OutcomeOf(ordinary), nullptr);
  EXPECT_EQ(OutcomeOf(ordinary)->result, DispatchResult::eCompleted);
  EXPECT_LE(mostJobBytes_, kMaxJobBytes);
}

// Guards against a large ordinary job that is refused in favour of many small
// ones that wait.
TEST_F(HostileJobsTest, OldJobsMakeRoomForALargeOne)
{
  OccupyOneCore();
  for (int i = 0; i < 2000; ++i) {
    Submit(1, kWholeServer, milliseconds(0), kDays);
    time_ += milliseconds(1);
  }
  EXPECT_GT(Rejected(DispatchReason::eNoMemory), 1000u);
  auto large = Submit(1100, kOneCore, milliseconds(60), kOrdinaryTimeout);
  EXPECT_EQ(OutcomeOf(large), nullptr);
  EXPECT_LE(mostJobBytes_, kMaxJobBytes);
}

// Guards against jobs that were started and are given up for new ones: their
// callers would not know what has run.
TEST_F(HostileJobsTest, StartedJobsAreNotRejected)
{
  for (int i = 0; i < 8; ++i) {
    Submit(4096, kOneCore, milliseconds(900), kDays);
    AdvanceTo(time_ + kTick, milliseconds(60));
  }
  for (const auto& [submission, outcome] : outcomes_) {
    EXPECT_EQ(outcome.result, DispatchResult::eRejected);
    EXPECT_EQ(outcome.reason, DispatchReason::eNoMemory);
    EXPECT_GT(outcome.retryAfter, milliseconds(0));
    for (const auto& [run, at] : running_) {
      EXPECT_NE(run.task.job, state::DispatchJobId(submission));
    }
  }
  EXPECT_LE(mostJobBytes_, kMaxJobBytes);
}

// Guards against memory that stays counted after the jobs have ended.
TEST_F(HostileJobsTest, MemoryIsReleasedWithTheJobs)
{
  auto job = Submit(8, kOneCore, milliseconds(60), kOrdinaryTimeout);
  EXPECT_GT(jobBytes_, 0u);
  AdvanceTo(milliseconds(200), milliseconds(60));
  ASSERT_NE(OutcomeOf(job), nullptr);
  EXPECT_EQ(jobBytes_, 0u);
  dispatcher_.Abandon(Submit(1, kWholeServer, milliseconds(60), kDays));
  EXPECT_EQ(jobBytes_, 0u);
}

// Guards against a job that is held for days because its caller states so.
TEST_F(HostileJobsTest, LongDeadlineIsLimited)
{
  OccupyOneCore();
  auto job = Submit(1, kWholeServer, milliseconds(0), kDays);
  auto impossible = Submit(1, kOneCore, std::chrono::hours(1), kDays);
  ASSERT_NE(OutcomeOf(impossible), nullptr);
  EXPECT_EQ(OutcomeOf(impossible)->reason, DispatchReason::eTooLate);
  time_ += std::chrono::minutes(10) + kTick;
  dispatcher_.Tick();
  ASSERT_NE(OutcomeOf(job), nullptr);
  EXPECT_EQ(OutcomeOf(job)->result, DispatchResult::eRejected);
}

// Guards against tasks without needs, of which a server would get thousands at
// once, each with a connection of its agent.
TEST_F(HostileJobsTest, RunsOfAServerAreLimited)
{
  queue_.objectiveMargin = milliseconds(300);
  auto job = Submit(1100, {}, milliseconds(60), kDays);
  std::size_t most = 0;
  while (!OutcomeOf(job) && time_ < std::chrono::seconds(5)) {
    AdvanceTo(time_ + kTick, milliseconds(60));
    most = std::max(most, running_.size());
  }
  EXPECT_EQ(most, kMaxRunsPerServer);
  ASSERT_NE(OutcomeOf(job), nullptr);
  EXPECT_EQ(OutcomeOf(job)->result, DispatchResult::eCompleted);
}

// Guards against thousands of jobs that wait and keep the control thread busy
// with each message.
TEST_F(HostileJobsTest, SearchesOfOnePassAreLimited)
{
  constexpr std::uint64_t kMaxSearches = 3000;
  OccupyOneCore();
  for (int i = 0; i < 20; ++i) {
    std::uint64_t before = dispatcher_.PlacementSearches();
    Submit(1, kWholeServer, milliseconds(0), kDays, 256);
    EXPECT_LE(dispatcher_.PlacementSearches() - before, kMaxSearches);
  }
  std::uint64_t before = dispatcher_.PlacementSearches();
  for (int i = 0; i < 20; ++i) {
    Report({});
  }
  EXPECT_LE(dispatcher_.PlacementSearches() - before, kMaxSearches);
  before = dispatcher_.PlacementSearches();
  time_ += kTick;
  dispatcher_.Tick();
  EXPECT_LE(dispatcher_.PlacementSearches() - before, kMaxSearches);
}

// Guards against a limited pass that never reaches the jobs at the end of the
// queue, and against new jobs that wait for it.
TEST_F(HostileJobsTest, LimitedPassReachesAllJobs)
{
  OccupyOneCore();
  for (int i = 0; i < 15; ++i) {
    Submit(1, kWholeServer, milliseconds(0), kDays, 256);
  }
  // A new job is placed at once if a server has free capacity.
  Submit(15, kOneCore, milliseconds(60), kOrdinaryTimeout);
  EXPECT_EQ(running_.size(), 16u);
  // This one is the last in the queue and waits for capacity.
  queue_.priority = 9;
  auto last = Submit(15, kOneCore, milliseconds(60), kOrdinaryTimeout);
  EXPECT_EQ(running_.size(), 16u);
  const state::RunKey occupying = running_.begin()->first;
  for (int i = 0; i < 20; ++i) {
    time_ += kTick;
    for (const auto& [run, at] : std::map(running_)) {
      if (run != occupying && time_ - at >= milliseconds(60)) {
        End(run, RunEndKind::eDone, 60);
      }
    }
    dispatcher_.Tick();
  }
  ASSERT_NE(OutcomeOf(last), nullptr);
  EXPECT_EQ(OutcomeOf(last)->result, DispatchResult::eCompleted);
}

// Guards against estimates of one caller that make its server appear so fast
// that the tasks of all others are stopped as overdue, again and again.
TEST_F(HostileJobsTest, WrongEstimatesDoNotStopTheTasksOfOthers)
{
  queue_.objectiveMargin = milliseconds(60);
  for (int i = 0; i < 20; ++i) {
    Submit(1, kOneCore, milliseconds(500'000), kDays);
    AdvanceTo(time_ + milliseconds(100), milliseconds(60));
  }
  stopped_ = 0;
  auto ordinary = Submit(2, kOneCore, milliseconds(60), kOrdinaryTimeout);
  AdvanceTo(time_ + milliseconds(600), milliseconds(60));
  ASSERT_NE(OutcomeOf(ordinary), nullptr);
  EXPECT_EQ(OutcomeOf(ordinary)->result, DispatchResult::eCompleted);
  EXPECT_LE(stopped_, 4u);
}

}
}
