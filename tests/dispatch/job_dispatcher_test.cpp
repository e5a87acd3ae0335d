#include <gtest/gtest.h>

#include "coordination/dispatch/job_dispatcher.h"
#include "coordination/simulation/virtual_clock.h"

// Single decisions of a JobDispatcher; the test sends the agents' reports.
namespace greengage::testing {
namespace {

using namespace coordination;
using state::ProcessId;
using state::RunKey;
using std::chrono::milliseconds;

constexpr state::ResourceAmount kTaskNeed{ 1000, 64, 0 };
constexpr std::uint32_t kTimeoutMs = 1500;
constexpr std::uint32_t kWorkMs = 300;

class JobDispatcherTest : public ::testing::Test
{
protected:
  ProcessId AddServer(std::uint64_t aNumber)
  {
    ProcessInfo agent;
    agent.id = ProcessId{ aNumber, aNumber };
    agent.role = ProcessRole::eAgent;
    agent.peerAddress = "10.0.0." + std::to_string(aNumber) + ":7720";
    dispatcher_.OnAgent(agent);
    ServerReport report;
    report.description = ServerDescription{
      "server-" + std::to_string(aNumber), "pool", {}, { 16'000, 32'768, 0 }
    };
    report.condition = ServerCondition::eReady;
    dispatcher_.OnReport(agent.id, report);
    return agent.id;
  }

  void Submit(std::uint64_t aJob, std::uint32_t aTasks)
  {
    SubmitSteps(aJob, 1, aTasks);
  }

  void SubmitSteps(std::uint64_t aJob,
                   std::size_t aSteps,
                   std::uint32_t aTasksPerStep)
  {
    state::WorkQueue queue;
    queue.name = "queue";
    queue.service = "pool";
    queue.maxAttempts = 3;
    queue.objectiveStretch = 1.6;
    queue.objectiveMargin = milliseconds(60);
    state::DispatchJob job;
    job.id = aJob;
    job.steps.assign(aSteps,
                     { aTasksPerStep, kTaskNeed, milliseconds(kWorkMs) });
    dispatcher_.Submit(aJob, queue, job, milliseconds(kTimeoutMs));
  }

  void Report(const ProcessId& aAgent,
              std::vector<RunEnd> aEnds,
              std::vector<RunForecast> aForecasts = {},
              state::ResourceAmount aUsedByOthers = {})
  {
    ServerReport report;
    report.condition = ServerCondition::eReady;
    report.ends = std::move(aEnds);
    report.forecasts = std::move(aForecasts);
    report.usedByOthers = aUsedByOthers;
    dispatcher_.OnReport(aAgent, report);
  }

  void ReportUncertain(const ProcessId& aAgent, const UncertainStart& aStart)
  {
    ServerReport report;
    report.condition = ServerCondition::eUnreachable;
    report.uncertainStarts = { aStart };
    dispatcher_.OnReport(aAgent, report);
  }

  /** Returns the runs that the agent was ordered to start so far. */
  std::vector<RunKey> Started(const ProcessId& aAgent) const
  {
    auto found = started_.find(aAgent);
    return found == started_.end() ? std::vector<RunKey>() : found->second;
  }

  JobDispatcherHooks MakeHooks()
  {
    JobDispatcherHooks hooks;
    hooks.jobCancelled = [this](const CancelledJob& aJob, bool) {
      cancelled_.push_back(aJob.job.Number());
    };
    hooks.answer = [this](SubmissionId,
                          const state::DispatchOutcome& aOutcome) {
      outcomes_.push_back(aOutcome);
    };
    hooks.send = [this](const ProcessId& aAgent,
                        const DispatchOrders& aOrders) {
      stopped_.insert(
        stopped_.end(), aOrders.stops.begin(), aOrders.stops.end());
      checked_.insert(
        checked_.end(), aOrders.checks.begin(), aOrders.checks.end());
      confirmedAtMs_ = aOrders.confirmedAtMs;
      for (const RunBatch& batch : aOrders.starts) {
        for (const RunOrder& order : batch.runs) {
          started_[aAgent].push_back(
            { { batch.job, batch.step, order.index }, order.run });
        }
      }
    };
    return hooks;
  }

  milliseconds time_{ 1000 };
  simulation::VirtualClock clock_{ time_, {} };
  std::map<ProcessId, std::vector<RunKey>> started_;
  std::vector<RunKey> stopped_;
  std::vector<state::DispatchOutcome> outcomes_;
  std::vector<RunKey> checked_;
  /** Of the last message to any agent. */
  std::uint64_t confirmedAtMs_ = 0;
  std::vector<std::uint64_t> cancelled_;
  JobDispatcher dispatcher_{ { "here" }, clock_, MakeHooks() };
};

// Guards against a task that waits because another task of its step, which
// takes longer than estimated, needs a faster server than those with free
// capacity.
TEST_F(JobDispatcherTest, LongTaskDoesNotDelayTheOthersOfItsStep)
{
  ProcessId slow = AddServer(1);
  Submit(1, 2);
  ASSERT_EQ(Started(slow).size(), 2u);
  ProcessId fast = AddServer(2);
  // The first task has half a second of work left; the second fails below.
  RunKey longRun = Started(slow)[0];
  RunKey shortRun = Started(slow)[1];
  // These run times show that the second server is twice as fast.
  for (std::uint64_t job = 100; job < 130; ++job) {
    Submit(job, 1);
    for (const ProcessId& agent : { slow, fast }) {
      auto runs = Started(agent);
      if (!runs.empty() && runs.back().task.job == job) {
        std::uint32_t runTimeMs = agent == fast ? kWorkMs / 2 : kWorkMs;
        Report(agent, { { runs.back(), RunEndKind::eDone, runTimeMs } });
      }
    }
  }
  time_ += milliseconds(300);
  Report(slow, {}, { { longRun, 1600 } });
  Report(fast, {}, {}, { 16'000, 32'768, 0 });
  Report(slow,
         { { longRun, RunEndKind::eStopped, 300 },
           { shortRun, RunEndKind::eFailed, 300 } });
  EXPECT_EQ(Started(slow).back().task.index, shortRun.task.index);
  EXPECT_EQ(Started(slow).back().run, shortRun.run + 1);
}

// Guards against a crash when the caller of a job disconnects and submits it
// again with fewer steps or tasks, while an agent still reports runs of the
// first submission.
TEST_F(JobDispatcherTest, ReportsOnTasksThatAJobNoLongerHasAreIgnored)
{
  ProcessId agent = AddServer(1);
  SubmitSteps(1, 8, 2);
  auto first = Started(agent);
  ASSERT_EQ(first.size(), 16u);
  dispatcher_.Abandon(1);
  ASSERT_FALSE(dispatcher_.IsKnown(1));
  SubmitSteps(1, 1, 1);
  std::vector<RunEnd> ends;
  std::vector<RunForecast> forecasts;
  for (const RunKey& run : first) {
    if (run.task != state::TaskKey{ 1, 0, 0 }) {
      ends.push_back({ run, RunEndKind::eStopped, 10 });
      forecasts.push_back({ run, 1600 });
    }
  }
  forecasts.push_back({ { { 1, 4'000'000'000, 0 }, 1 }, 1600 });
  forecasts.push_back({ { { 1, 0, 4'000'000'000 }, 1 }, 1600 });
  Report(agent, ends, forecasts);
  EXPECT_TRUE(dispatcher_.IsKnown(1));
}

// Guards against a run that misses its deadline on a slow server because the
// fast one had no free capacity when the forecast arrived.
TEST_F(JobDispatcherTest, RunIsMovedWhenCapacityBecomesFreeLater)
{
  ProcessId slow = AddServer(1);
  Submit(1, 1);
  ASSERT_EQ(Started(slow).size(), 1u);
  ProcessId other = AddServer(2);
  Report(other, {}, {}, { 16'000, 32'768, 0 });
  time_ += milliseconds(300);
  Report(slow, {}, { { Started(slow)[0], 1600 } });
  EXPECT_TRUE(stopped_.empty());
  Report(other, {});
  time_ += milliseconds(25);
  dispatcher_.Tick();
  EXPECT_EQ(stopped_, Started(slow));
}

// Guards against a caller that waits until the deadline for a run that no
// server can complete in time.
TEST_F(JobDispatcherTest, JobFailsOnceItsRunCannotBeMovedInTime)
{
  ProcessId slow = AddServer(1);
  Submit(1, 1);
  ProcessId other = AddServer(2);
  Report(other, {}, {}, { 16'000, 32'768, 0 });
  time_ += milliseconds(300);
  Report(slow, {}, { { Started(slow)[0], 1600 } });
  for (int i = 0; i < 30; ++i) {
    time_ += milliseconds(25);
    dispatcher_.Tick();
  }
  EXPECT_FALSE(dispatcher_.IsKnown(1));
}

// Guards against orders that seem older or newer than they are: they carry the
// newest report time of their agent, also if reports arrive in another order.
TEST_F(JobDispatcherTest, OrdersConfirmTheNewestReport)
{
  ProcessId agent = AddServer(1);
  Submit(1, 1);
  // An agent of the previous version sends no times.
  EXPECT_EQ(confirmedAtMs_, 0u);
  for (std::uint64_t sentAtMs : { 700, 900, 800 }) {
    ServerReport report;
    report.condition = ServerCondition::eReady;
    report.sentAtMs = sentAtMs;
    dispatcher_.OnReport(agent, report);
  }
  Submit(2, 1);
  EXPECT_EQ(confirmedAtMs_, 900u);
  confirmedAtMs_ = 0;
  time_ += milliseconds(175);
  dispatcher_.Tick();
  EXPECT_EQ(confirmedAtMs_, 900u);
}

// Guards against a stop that is lost with its connection: the run of an ended
// job would go on while its caller submits the job again.
TEST_F(JobDispatcherTest, StopIsRepeatedUntilTheEndIsReported)
{
  ProcessId agent = AddServer(1);
  Submit(1, 1);
  RunKey run = Started(agent)[0];
  dispatcher_.Abandon(1);
  EXPECT_EQ(stopped_.size(), 1u);
  time_ += milliseconds(75);
  dispatcher_.Tick();
  EXPECT_EQ(stopped_.size(), 1u);
  time_ += milliseconds(25);
  dispatcher_.Tick();
  EXPECT_EQ(stopped_, (std::vector<RunKey>{ run, run }));
  Report(agent, { { run, RunEndKind::eStopped, 0 } });
  time_ += milliseconds(100);
  dispatcher_.Tick();
  EXPECT_EQ(stopped_.size(), 2u);
}

// Guards against a check that keeps the run of an ended job after a lost
// connection, and against a stop of a run that should go on.
TEST_F(JobDispatcherTest, NewConnectionStopsEndedRunsAndChecksOthers)
{
  ProcessId agent = AddServer(1);
  Submit(1, 1);
  Submit(2, 1);
  RunKey ended = Started(agent)[0];
  RunKey other = Started(agent)[1];
  dispatcher_.Abandon(1);
  stopped_.clear();
  dispatcher_.OnAgentDisconnected(agent);
  EXPECT_EQ(stopped_, std::vector<RunKey>{ ended });
  EXPECT_EQ(checked_, std::vector<RunKey>{ other });
}

// Guards against an agent that is lost by mistake and goes on with the runs of
// jobs that have failed for it, while their callers submit them again.
TEST_F(JobDispatcherTest, LostAgentThatReturnsIsOrderedToStopItsRuns)
{
  ProcessId agent = AddServer(1);
  Submit(1, 1);
  RunKey run = Started(agent)[0];
  dispatcher_.OnAgentLost(agent);
  time_ += milliseconds(100);
  dispatcher_.Tick();
  EXPECT_TRUE(stopped_.empty());
  AddServer(1);
  dispatcher_.Tick();
  EXPECT_EQ(stopped_, std::vector<RunKey>{ run });
}

// Guards against a job that is submitted to the same entry again while a run of
// its first submission has no reported end: the two runs would overlap, and
// with the same key a stop or an end of one would count for the other.
TEST_F(JobDispatcherTest, NewSubmissionWaitsForTheEndOfEarlierRuns)
{
  ProcessId agent = AddServer(1);
  Submit(1, 1);
  RunKey first = Started(agent)[0];
  dispatcher_.Abandon(1);
  Submit(1, 1);
  dispatcher_.Tick();
  ASSERT_EQ(Started(agent).size(), 1u);
  Report(agent, { { first, RunEndKind::eStopped, 0 } });
  ASSERT_EQ(Started(agent).size(), 2u);
  EXPECT_GT(Started(agent)[1].run, first.run);
}

// Guards against times that overflow: a long estimate or stretch must give an
// objective far in the future, not one in the past.
TEST(DispatchedJobTest, LongEstimatesDoNotOverflow)
{
  milliseconds time{ 1000 };
  simulation::VirtualClock clock{ time, {} };
  RunTimeModel model(clock);
  state::WorkQueue queue;
  state::DispatchJob spec;
  spec.steps.push_back({ 1, kTaskNeed, milliseconds(UINT32_MAX) });
  spec.steps.push_back({ 1, kTaskNeed, milliseconds(UINT32_MAX) });
  spec.steps.back().after = { 0 };
  for (double stretch : { 1.0, 10.0, 1500.0, 1e19, 1e308 }) {
    queue.objectiveStretch = stretch;
    queue.objectiveMargin = milliseconds(UINT32_MAX);
    DispatchedJob job = MakeDispatchedJob(
      spec, queue, model, clock.MonotonicNow(), milliseconds(UINT32_MAX));
    EXPECT_GT(job.objectiveAt, clock.MonotonicNow()) << stretch;
    EXPECT_EQ(job.usefulUntil, job.deadline) << stretch;
    EXPECT_LT(job.latestStart, job.deadline) << stretch;
  }
}

// Guards against a sum of capacities that wraps around, so that a full server
// counts as empty.
TEST(ResourceAmountTest, SumsDoNotWrapAround)
{
  constexpr std::uint32_t kMax = UINT32_MAX;
  state::ResourceAmount most{ kMax, kMax, kMax };
  EXPECT_EQ(most + (state::ResourceAmount{ 1, 2, kMax }), most);
  EXPECT_EQ(
    (state::ResourceAmount{ 1, 2, 3 } + state::ResourceAmount{ 4, 5, 6 }),
    (state::ResourceAmount{ 5, 7, 9 }));
}

// Guards against a second run of a task whose server may still carry out the
// first start order: the job ends instead.
TEST_F(JobDispatcherTest, UnknownOutcomeOfARunEndsTheJobAsFailed)
{
  ProcessId agent = AddServer(1);
  Submit(7, 1);
  ASSERT_EQ(Started(agent).size(), 1u);
  RunKey run = Started(agent)[0];
  ReportUncertain(agent, { run, false });
  EXPECT_TRUE(outcomes_.empty());
  ReportUncertain(agent, { run, true });
  ASSERT_EQ(outcomes_.size(), 1u);
  EXPECT_EQ(outcomes_[0],
            state::FailedOutcome(state::DispatchReason::eOutcomeUnknown));
  EXPECT_EQ(stopped_, std::vector<RunKey>{ run });
  // The run keeps its place until there is evidence of its end.
  EXPECT_EQ(dispatcher_.Servers().RunsOn(agent), std::vector<RunKey>{ run });
  Report(agent, { { run, RunEndKind::eUnanswered, 0 } });
  EXPECT_TRUE(dispatcher_.Servers().RunsOn(agent).empty());
  EXPECT_EQ(Started(agent).size(), 1u);
}

// Guards against an answer that hides that a server may still carry out a start
// order: at the deadline, and when the agent is lost.
TEST_F(JobDispatcherTest, JobWithAnUncertainStartIsNotAnsweredAsBroken)
{
  ProcessId agent = AddServer(1);
  Submit(7, 1);
  ReportUncertain(agent, { Started(agent)[0], false });
  dispatcher_.OnAgentLost(agent);
  ProcessId other = AddServer(2);
  Submit(8, 1);
  ReportUncertain(other, { Started(other)[0], false });
  time_ += milliseconds(kTimeoutMs + 1);
  dispatcher_.Tick();
  ASSERT_EQ(outcomes_.size(), 2u);
  for (const state::DispatchOutcome& outcome : outcomes_) {
    EXPECT_EQ(outcome,
              state::FailedOutcome(state::DispatchReason::eOutcomeUnknown));
  }
}

// Guards against an answer that hides that the next incarnation of a server may
// carry out a start whose stop an earlier one has answered, and against a job
// that ends because of a run that was replaced.
TEST_F(JobDispatcherTest, WithdrawnStartPreventsAnAnswerAsBroken)
{
  ProcessId agent = AddServer(1);
  Submit(7, 1);
  RunKey run = Started(agent)[0];
  ReportUncertain(agent, { run, false });
  Report(agent, { { run, RunEndKind::eUnanswered, 0 } });
  ASSERT_EQ(Started(agent).size(), 2u);
  ReportUncertain(agent, { run, true });
  EXPECT_TRUE(outcomes_.empty());
  dispatcher_.OnAgentLost(agent);
  ASSERT_EQ(outcomes_.size(), 1u);
  EXPECT_EQ(outcomes_[0],
            state::FailedOutcome(state::DispatchReason::eOutcomeUnknown));
}

// Guards against a cancelled job that runs again: its request arrived once more
// seconds after the cancel was acknowledged.
TEST_F(JobDispatcherTest, LateRequestOfACancelledJobStartsNothing)
{
  auto agent = AddServer(1);
  Submit(1, 2);
  ASSERT_EQ(Started(agent).size(), 2u);
  EXPECT_TRUE(dispatcher_.Cancel(1));
  for (int i = 0; i < 30; ++i) {
    time_ += milliseconds(4000);
    Report(agent, {});
    if (i < 29) {
      Submit(1, 2);
      EXPECT_EQ(outcomes_.back().reason, state::DispatchReason::eCancelled);
    }
  }
  EXPECT_EQ(Started(agent).size(), 2u);
  EXPECT_EQ(cancelled_, std::vector<std::uint64_t>{ 1 });
}

// Guards against a job that runs although its cancel, which another entry or a
// faster connection delivered, was acknowledged before its request arrived.
TEST_F(JobDispatcherTest, CancelBeforeTheRequestStartsNothing)
{
  auto agent = AddServer(1);
  EXPECT_FALSE(dispatcher_.Cancel(1));
  Submit(1, 2);
  ASSERT_FALSE(outcomes_.empty());
  EXPECT_EQ(outcomes_.back().reason, state::DispatchReason::eCancelled);
  EXPECT_TRUE(Started(agent).empty());
  EXPECT_FALSE(dispatcher_.IsKnown(1));
}

// Guards against a job that runs on after its cancel was acknowledged by an
// entry that does not have it: the caller had submitted it to another entry.
TEST_F(JobDispatcherTest, CancelAtAnotherEntryStopsTheRuns)
{
  auto agent = AddServer(1);
  Submit(1, 2);
  Submit(2, 1);
  ASSERT_EQ(Started(agent).size(), 3u);
  dispatcher_.OnEntryNews({ {}, { { 1, 20 } } });
  EXPECT_EQ(outcomes_.back().reason, state::DispatchReason::eCancelled);
  EXPECT_EQ(stopped_.size(), 2u);
  EXPECT_TRUE(dispatcher_.IsKnown(2));
  // The news are passed on once.
  dispatcher_.OnEntryNews({ {}, { { 1, 45 } } });
  EXPECT_EQ(cancelled_, std::vector<std::uint64_t>{ 1 });
}

// Guards against memory that grows with each cancelled job, and against one
// that is forgotten before the time for which its state is kept.
TEST(CancelledJobsTest, ForgetsJobsAfterTheirRetention)
{
  milliseconds time{ 1000 };
  simulation::VirtualClock clock{ time, {} };
  CancelledJobs jobs(clock);
  EXPECT_TRUE(jobs.Add(1, milliseconds(0)));
  EXPECT_FALSE(jobs.Add(1, milliseconds(0)));
  time += milliseconds(119'000);
  EXPECT_TRUE(jobs.Contains(1));
  time += milliseconds(1000);
  EXPECT_FALSE(jobs.Contains(1));
  jobs.Add(2, milliseconds(0));
  EXPECT_EQ(jobs.Count(), 1u);
  for (std::uint64_t job = 10; job < 100'000; ++job) {
    jobs.Add(job, milliseconds(0));
  }
  EXPECT_LE(jobs.Count(), 65'536u);
  EXPECT_TRUE(jobs.Contains(99'999));
}

}
}
