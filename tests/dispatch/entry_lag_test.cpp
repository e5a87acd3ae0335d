#include <gtest/gtest.h>

#include "coordination/dispatch/job_dispatcher.h"
#include "coordination/simulation/virtual_clock.h"

// A JobDispatcher whose process is behind; the test holds the probes and sends
// the agent's reports.
namespace greengage::testing {
namespace {

using namespace coordination;
using state::DispatchReason;
using state::DispatchResult;
using state::ProcessId;
using std::chrono::milliseconds;

constexpr ProcessId kAgent{ 2, 1 };

class EntryLagTest : public ::testing::Test
{
protected:
  EntryLagTest()
  {
    ProcessInfo agent;
    agent.id = kAgent;
    agent.role = ProcessRole::eAgent;
    agent.peerAddress = "10.0.0.1:7720";
    dispatcher_.OnAgent(agent);
    Report();
  }

  void Report()
  {
    ServerReport report;
    report.description =
      ServerDescription{ "server-1", "pool", {}, { 16'000, 32'768, 0 } };
    report.condition = ServerCondition::eReady;
    report.sentAtMs = static_cast<std::uint64_t>(time_.count());
    dispatcher_.OnReport(kAgent, report);
  }

  void Submit(std::uint64_t aJob,
              SubmissionId aSubmission,
              milliseconds aAge = milliseconds(0),
              milliseconds aEstimate = milliseconds(300))
  {
    state::WorkQueue queue;
    queue.name = "queue";
    queue.service = "pool";
    queue.maxAttempts = 3;
    queue.objectiveStretch = 1.6;
    queue.objectiveMargin = milliseconds(60);
    state::DispatchJob job;
    job.id = aJob;
    job.steps.push_back({ 1, { 1000, 64, 0 }, aEstimate });
    dispatcher_.Submit(aSubmission, queue, job, milliseconds(1500), aAge);
  }

  /** Advances the time with a tick and a report each 25 ms. */
  void RunFor(milliseconds aTime)
  {
    for (milliseconds end = time_ + aTime; time_ < end;) {
      time_ += milliseconds(25);
      dispatcher_.Tick();
      Report();
    }
  }

  void ReturnProbe()
  {
    auto probe = std::move(probes_.back());
    probes_.pop_back();
    probe();
  }

  JobDispatcherHooks MakeHooks()
  {
    JobDispatcherHooks hooks;
    hooks.answer = [this](SubmissionId aSubmission,
                          const state::DispatchOutcome& aOutcome) {
      outcomes_[aSubmission] = aOutcome;
    };
    hooks.send = [this](const ProcessId&, const DispatchOrders& aOrders) {
      starts_ += aOrders.starts.size();
      confirmedAtMs_ = aOrders.confirmedAtMs;
    };
    hooks.submitted = [this](const SubmissionRecord& aRecord) {
      submitted_.push_back(aRecord);
    };
    hooks.probe = [this](std::function<void()> aReturned) {
      probes_.push_back(std::move(aReturned));
      ++probeCount_;
    };
    hooks.lagChanged = [this](bool aIsBehind, milliseconds aLag) {
      changes_.emplace_back(aIsBehind, aLag);
    };
    return hooks;
  }

  milliseconds time_{ 10'000 };
  simulation::VirtualClock clock_{ time_, {} };
  std::map<SubmissionId, state::DispatchOutcome> outcomes_;
  std::vector<SubmissionRecord> submitted_;
  std::vector<std::function<void()>> probes_;
  unsigned probeCount_ = 0;
  std::vector<std::pair<bool, milliseconds>> changes_;
  std::size_t starts_ = 0;
  /** Of the last message to the agent. */
  std::uint64_t confirmedAtMs_ = 0;
  JobDispatcher dispatcher_{ { "here" }, clock_, MakeHooks() };
};

// Guards against a submission that waited in the queues of this process and is
// started after its caller has submitted it again elsewhere.
TEST_F(EntryLagTest, OldSubmissionIsRejectedWithoutAStart)
{
  Submit(1, 1, milliseconds(401));
  EXPECT_EQ(starts_, 0u);
  EXPECT_EQ(outcomes_[1].result, DispatchResult::eRejected);
  EXPECT_EQ(outcomes_[1].reason, DispatchReason::ePaused);
  EXPECT_GT(outcomes_[1].retryAfter.count(), 0);
  Submit(2, 2, milliseconds(400));
  EXPECT_EQ(starts_, 1u);
}

// Guards against answering "not run" to a late submission of a job that runs.
TEST_F(EntryLagTest, OldSubmissionJoinsAJobThatRuns)
{
  Submit(1, 1);
  Submit(1, 2, milliseconds(900));
  EXPECT_FALSE(outcomes_.contains(2));
  EXPECT_EQ(submitted_,
            (std::vector<SubmissionRecord>{ { 1, milliseconds(0), 1 },
                                            { 1, milliseconds(900), 2 } }));
}

// Guards against runs that outlive the time that their caller waits, because
// the request had waited in this process. A caller that was cut off without a
// FIN or RST cannot be noticed; it submits again 1,300 ms after that time.
TEST_F(EntryLagTest, DeadlineCountsFromTheReadOfTheRequest)
{
  Submit(1, 1, milliseconds(400), milliseconds(900));
  ASSERT_EQ(starts_, 1u);
  for (int i = 0; i < 43; ++i) {
    RunFor(milliseconds(25));
    if (!probes_.empty()) {
      ReturnProbe();
    }
  }
  EXPECT_FALSE(outcomes_.contains(1));
  RunFor(milliseconds(25));
  ASSERT_TRUE(outcomes_.contains(1));
  EXPECT_EQ(outcomes_[1].result, DispatchResult::eFailed);
  EXPECT_EQ(outcomes_[1].reason, DispatchReason::eTooLate);
}

// Guards against agents that keep the runs of an entry that learns late that
// its callers have disconnected.
TEST_F(EntryLagTest, EntryThatIsBehindConfirmsOnlyWhatAProbeProves)
{
  Submit(1, 1);
  RunFor(milliseconds(25));
  std::uint64_t provenMs = confirmedAtMs_;
  ReturnProbe();
  RunFor(milliseconds(250));
  ASSERT_EQ(probes_.size(), 1u);
  EXPECT_EQ(changes_.size(), 0u);
  RunFor(milliseconds(300));
  EXPECT_EQ(confirmedAtMs_, provenMs);
  ASSERT_EQ(changes_.size(), 1u);
  EXPECT_TRUE(changes_[0].first);
  EXPECT_GT(changes_[0].second, milliseconds(200));
}

// Guards against an entry that counts as recovered because a slow probe has
// returned, and against one that never recovers.
TEST_F(EntryLagTest, RecoversWhenAProbeReturnsInTime)
{
  Submit(1, 1);
  RunFor(milliseconds(325));
  ReturnProbe();
  Submit(2, 2);
  EXPECT_EQ(starts_, 1u);
  RunFor(milliseconds(50));
  Submit(3, 3);
  EXPECT_EQ(starts_, 1u);
  ReturnProbe();
  EXPECT_EQ(starts_, 3u);
  EXPECT_EQ(confirmedAtMs_, static_cast<std::uint64_t>(time_.count()));
  ASSERT_EQ(changes_.size(), 2u);
  EXPECT_TRUE(changes_[0].first);
  EXPECT_FALSE(changes_[1].first);
}

// Guards against an entry that wakes from a pause and starts tasks before it
// has handled the callers that disconnected meanwhile.
TEST_F(EntryLagTest, StartsNothingAfterAPauseUntilAProbeHasReturned)
{
  Submit(1, 1);
  RunFor(milliseconds(25));
  ReturnProbe();
  ASSERT_EQ(starts_, 1u);
  time_ += milliseconds(600);
  dispatcher_.Tick();
  ServerReport report;
  report.condition = ServerCondition::eReady;
  report.sentAtMs = static_cast<std::uint64_t>(time_.count());
  report.ends = { { { { 1, 0, 0 }, 1 }, RunEndKind::eStopped, 0 } };
  dispatcher_.OnReport(kAgent, report);
  EXPECT_EQ(starts_, 1u);
  EXPECT_LT(confirmedAtMs_, 10'100u);
  RunFor(milliseconds(125));
  EXPECT_EQ(starts_, 1u);
  ReturnProbe();
  EXPECT_EQ(starts_, 2u);
}

// Guards against an entry that confirms reports for more than 350 ms after it
// has fallen behind its callers: a probe that returns just in time does not
// prove anything about a caller that was lost just after it was sent.
TEST_F(EntryLagTest, ProofOfAReturnedProbeExpires)
{
  Submit(1, 1);
  RunFor(milliseconds(225));
  ReturnProbe();
  RunFor(milliseconds(150));
  EXPECT_EQ(changes_.size(), 0u);
  // The next probe is in flight for 150 ms only.
  RunFor(milliseconds(25));
  ASSERT_EQ(changes_.size(), 1u);
  EXPECT_TRUE(changes_[0].first);
  std::uint64_t confirmedMs = confirmedAtMs_;
  RunFor(milliseconds(50));
  EXPECT_LE(confirmedAtMs_, confirmedMs);
  ReturnProbe();
  ASSERT_EQ(changes_.size(), 2u);
  EXPECT_FALSE(changes_[1].first);
}

// Guards against a first job after an idle time that waits for a probe.
TEST_F(EntryLagTest, IdleTimeIsNoLag)
{
  RunFor(milliseconds(1000));
  Submit(1, 1);
  EXPECT_EQ(starts_, 1u);
  RunFor(milliseconds(25));
  EXPECT_EQ(changes_.size(), 0u);
}

// Guards against probes that wake the threads of an idle process.
TEST_F(EntryLagTest, IdleProcessSendsNoProbes)
{
  RunFor(milliseconds(1000));
  EXPECT_EQ(probeCount_, 0u);
}

}
}
