#include <gtest/gtest.h>

#include "coordination/dispatch/job_dispatcher.h"
#include "coordination/simulation/virtual_clock.h"

// Admission by forecast in a JobDispatcher; the test sends the agents' reports.
namespace greengage::testing {
namespace {

using namespace coordination;
using state::DispatchResult;
using state::ProcessId;
using std::chrono::milliseconds;

constexpr state::ResourceAmount kTaskNeed{ 1000, 64, 0 };
constexpr std::uint32_t kServerCores = 4;

class JobDispatcherAdmissionTest : public ::testing::Test
{
protected:
  JobDispatcherAdmissionTest() { AddServer(1); }

  void AddServer(std::uint64_t aNumber)
  {
    ProcessInfo agent;
    agent.id = ProcessId{ aNumber, aNumber };
    agent.role = ProcessRole::eAgent;
    agent.peerAddress = "10.0.0." + std::to_string(aNumber) + ":7720";
    dispatcher_.OnAgent(agent);
    Report(agent.id, 0);
  }

  void Report(const ProcessId& aAgent, std::uint32_t aUsedByOthers)
  {
    ServerReport report;
    report.description = ServerDescription{
      "server", "pool", {}, { kServerCores * 1000, 32'768, 0 }
    };
    report.condition = ServerCondition::eReady;
    report.usedByOthers.cpuMillicores = aUsedByOthers * 1000;
    dispatcher_.OnReport(aAgent, report);
  }

  void Submit(std::uint64_t aJob,
              std::uint32_t aTasks,
              milliseconds aWork,
              std::uint32_t aPriority = 0)
  {
    state::WorkQueue queue;
    queue.name = "queue-" + std::to_string(aPriority);
    queue.service = "pool";
    queue.priority = aPriority;
    queue.maxAttempts = 3;
    queue.objectiveStretch = 1.6;
    queue.objectiveMargin = milliseconds(60);
    state::DispatchJob job;
    job.id = aJob;
    job.steps = { { aTasks, kTaskNeed, aWork } };
    dispatcher_.Submit(aJob, queue, job, milliseconds(9000));
  }

  JobDispatcherHooks MakeHooks()
  {
    JobDispatcherHooks hooks;
    hooks.answer = [this](SubmissionId aJob,
                          const state::DispatchOutcome& aOutcome) {
      outcomes_[aJob] = aOutcome;
    };
    hooks.send = [this](const ProcessId&, const DispatchOrders& aOrders) {
      for (const RunBatch& batch : aOrders.starts) {
        starts_ += batch.runs.size();
      }
    };
    hooks.admissionDecided = [this](const AdmissionRecord& aRecord) {
      records_.push_back(aRecord);
    };
    return hooks;
  }

  JobDispatcherSettings Settings() const
  {
    JobDispatcherSettings settings{ "here" };
    settings.admission.rule = AdmissionRule::eQuantile;
    return settings;
  }

  void RunFor(milliseconds aTime)
  {
    for (milliseconds end = time_ + aTime; time_ < end;) {
      time_ += milliseconds(25);
      dispatcher_.Tick();
    }
  }

  milliseconds time_{ 100'000 };
  simulation::VirtualClock clock_{ time_, {} };
  std::map<SubmissionId, state::DispatchOutcome> outcomes_;
  std::vector<AdmissionRecord> records_;
  std::size_t starts_ = 0;
  JobDispatcher dispatcher_{ Settings(), clock_, MakeHooks() };
};

// Load pattern: a calm day. No forecast is made for a job that starts at once.
TEST_F(JobDispatcherAdmissionTest, DecidesNothingWhileCapacityIsFree)
{
  Submit(1, 2, milliseconds(200));
  Submit(2, 2, milliseconds(200));
  EXPECT_EQ(starts_, 4u);
  EXPECT_TRUE(records_.empty());
  EXPECT_TRUE(outcomes_.empty());
}

// Load pattern: overload of one kind. The jobs that the work ahead delays too
// long are told at once, and the others wait.
TEST_F(JobDispatcherAdmissionTest, RejectsANewJobBehindTooMuchWork)
{
  for (std::uint64_t job = 1; job <= 10; ++job) {
    Submit(job, 4, milliseconds(200));
  }
  // 200 ms of work and 160 ms until the latest start: none of those that wait
  // can start in time, behind their own work and that of the running job.
  EXPECT_EQ(starts_, 4u);
  ASSERT_FALSE(records_.empty());
  ASSERT_TRUE(outcomes_.contains(10));
  EXPECT_EQ(outcomes_[10].result, DispatchResult::eRejected);
  EXPECT_EQ(outcomes_[10].reason, state::DispatchReason::eOverload);
  EXPECT_GE(outcomes_[10].retryAfter, milliseconds(1000));
  EXPECT_EQ(outcomes_[10].retryAfter.count() % 1000, 0);
  EXPECT_EQ(records_.back().decision, AdmissionDecision::eRejected);
  EXPECT_GT(records_.back().forecastMs, records_.back().inputs.timeLeftMs);
}

// Load pattern: a burst of urgent jobs that arrives while a job of lower
// priority waits. It is told before its latest start, and none of its tasks has
// started.
TEST_F(JobDispatcherAdmissionTest, WithdrawsAJobThatUrgentJobsOvertake)
{
  Submit(1, 4, milliseconds(3000));
  // The arrival of the first job no longer counts as a rate of urgent work.
  for (int i = 0; i < 5; ++i) {
    RunFor(milliseconds(225));
    Report({ 1, 1 }, 0);
  }
  Submit(2, 1, milliseconds(2000), 1);
  ASSERT_FALSE(outcomes_.contains(2));
  for (std::uint64_t job = 10; job < 18; ++job) {
    Submit(job, 1, milliseconds(1000));
  }
  RunFor(milliseconds(25));
  ASSERT_TRUE(outcomes_.contains(2));
  EXPECT_EQ(outcomes_[2].result, DispatchResult::eRejected);
  EXPECT_EQ(starts_, 4u);
  EXPECT_EQ(dispatcher_.JobCount(), 1 + dispatcher_.WaitingCount());
}

// Load pattern: a large job beside idle cores that are too few for all of its
// tasks. It must not be rejected while a server with room for it is idle.
TEST_F(JobDispatcherAdmissionTest, NeverRejectsWhileAServerHasRoom)
{
  Submit(1, 2, milliseconds(200));
  Submit(2, 40, milliseconds(200));
  EXPECT_FALSE(outcomes_.contains(2));
  ASSERT_EQ(records_.size(), 1u);
  EXPECT_GT(records_[0].forecastMs, records_[0].inputs.timeLeftMs);
  EXPECT_EQ(records_[0].decision, AdmissionDecision::eAccepted);
}

// Load pattern: other entries use most of the fleet. The forecast expects only
// the rest.
TEST_F(JobDispatcherAdmissionTest, ExpectsNoCapacityThatOthersUse)
{
  Report({ 1, 1 }, 3);
  Submit(1, 1, milliseconds(200));
  Submit(2, 1, milliseconds(200));
  ASSERT_EQ(records_.size(), 1u);
  EXPECT_DOUBLE_EQ(records_[0].inputs.capacity, 1000);
}

// Guards against a running process that keeps the rule of its start.
TEST_F(JobDispatcherAdmissionTest, FollowsChangedSettings)
{
  dispatcher_.SetSettings({ "here" });
  for (std::uint64_t job = 1; job <= 10; ++job) {
    Submit(job, 4, milliseconds(200));
  }
  EXPECT_TRUE(records_.empty());
  EXPECT_TRUE(outcomes_.empty());
}

}
}
