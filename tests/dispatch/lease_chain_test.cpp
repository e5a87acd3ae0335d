#include <fmt/format.h>
#include <gtest/gtest.h>

#include "dispatch/dispatch_fault_scenario.h"

// The longest chain of waits before the runs of a broken attempt end, against
// the time after which the caller submits the job again.
namespace greengage::testing {
namespace {

constexpr std::uint64_t kJob = 7;
constexpr unsigned kTasks = 4;
/** Longer than the test, so that only a stop or a lease ends the runs. */
constexpr double kEndlessWorkMs = 20'000;
constexpr double kEstimateMs = 1000;
constexpr double kShortEstimateMs = 60;
constexpr std::uint64_t kFirstOtherJob = 1000;
constexpr Milliseconds kOtherJobPeriod = 25;
constexpr Milliseconds kTestDuration = 2500;
/** Time after which an entry that is behind confirms no newer reports. */
constexpr Milliseconds kFrozenAfter = 400;

DispatchSimulationSettings
ChainSettings()
{
  DispatchSimulationSettings settings = FaultSimulationSettings(2);
  settings.entries = 3;
  settings.servers = 2;
  settings.speeds = { 1 };
  settings.maxRenewDelay = 0;
  settings.lostAnswerShare = 0;
  settings.lateCallShare = 0;
  settings.serverClockRate = 0.98;
  return settings;
}

/** Entries 0 and 2 get reports of server 0 only, entry 1 those of server 1. */
void
UseOneServerEach(DispatchSimulation& aSimulation)
{
  for (unsigned entry = 0; entry < 3; ++entry) {
    unsigned hidden = entry == 1 ? 0 : 1;
    aSimulation.SilenceDirection(
      entry, hidden, LinkDirection::eToEntry, 2 * kTestDuration);
    aSimulation.RediscoverAgent(entry, hidden);
  }
}

/**
 * Submits short jobs to entry 2 until the end of the test, so that the agent of
 * server 0 reports each change of its free capacity to entry 0.
 */
void
KeepServerBusy(DispatchSimulation& aSimulation)
{
  for (Milliseconds time = 0; time < kTestDuration; time += kOtherJobPeriod) {
    auto job = static_cast<std::uint64_t>(kFirstOtherJob + time);
    aSimulation.ScheduleAt(aSimulation.Now() + time, [&aSimulation, job] {
      aSimulation.Submit(2, job, 1, kShortEstimateMs);
    });
  }
}

/** Adds a violation if the server has a run of the job. */
void
CheckServer(DispatchSimulation& aSimulation, std::string& aViolations)
{
  auto list = aSimulation.Server(0).ListRuns(aSimulation.Now());
  for (const coordination::ListedRun& run : list.running) {
    if (run.run.task.job == kJob) {
      aViolations = "a run continues when the caller submits again\n";
    }
  }
}

/** Returns the violations with the trace of the job; empty if there are none.
 */
std::string
Describe(const DispatchSimulation& aSimulation, std::string aViolations)
{
  std::string violations = std::move(aViolations);
  for (const std::string& violation : aSimulation.Violations()) {
    violations += violation + "\n";
  }
  if (aSimulation.StartCount(0) < kTasks || aSimulation.StartCount(1) == 0) {
    violations += "not all runs were started\n";
  }
  return violations.empty() ? violations : violations + aSimulation.Trace(kJob);
}

/** One chain of faults; times in ms. */
struct Chain
{
  /** Lag of the entry's connections to callers before the break. */
  Milliseconds lagBefore = 0;
  /** From the submission to the break of the caller's connection. */
  Milliseconds breakAfter = 0;
  /** From the break to the end of the agent. */
  Milliseconds agentEndsAfter = 0;
};

/**
 * An entry falls behind its callers' connections when one of them breaks, goes
 * on confirming reports for a while and freezes; then the agent ends. The
 * caller submits the job again to another entry, which uses another server.
 * Returns the violations.
 */
std::string
Violations(const Chain& aChain)
{
  DispatchSimulation simulation(ChainSettings());
  UseOneServerEach(simulation);
  simulation.RunFor(500);
  KeepServerBusy(simulation);
  simulation.SetCallerLag(0, aChain.lagBefore);
  auto number = simulation.Submit(0, kJob, kTasks, kEstimateMs);
  simulation.SetWork(kJob, kEndlessWorkMs);
  simulation.RunFor(aChain.breakAfter);
  simulation.SetCallerLag(0, kTestDuration);
  simulation.BreakCaller(number);
  Milliseconds brokenAt = simulation.Now();
  simulation.ScheduleAt(brokenAt + kFrozenAfter, [&simulation] {
    simulation.FreezeEntry(0, kTestDuration);
  });
  simulation.ScheduleAt(brokenAt + aChain.agentEndsAfter, [&simulation] {
    simulation.KillAgent(0, 2 * kTestDuration);
  });
  std::string violations;
  simulation.ScheduleAt(brokenAt + kResubmitDelay, [&] {
    CheckServer(simulation, violations);
    simulation.Submit(1, kJob, kTasks, kEstimateMs);
  });
  simulation.RunFor(kTestDuration);
  return Describe(simulation, violations);
}

/** Tries every phase of the probes and every time at which the agent ends. */
void
ExpectNoOverlap(Milliseconds aLagBefore)
{
  unsigned failed = 0;
  unsigned count = 0;
  for (Milliseconds phase = 0; phase < 250; phase += 25) {
    for (Milliseconds end = kFrozenAfter + 100; end < 1300; end += 10) {
      ++count;
      Chain chain{ aLagBefore, aLagBefore + 20 + phase, end };
      std::string violations = Violations(chain);
      if (!violations.empty() && ++failed == 1) {
        ADD_FAILURE() << "break after " << chain.breakAfter
                      << " ms, agent ends " << end << " ms later:\n"
                      << violations;
      }
    }
  }
  EXPECT_EQ(failed, 0u) << "of " << count << " chains";
}

// Guards against three faults at once that keep the runs of a broken attempt
// until its caller submits the job again: an entry that is behind, falls
// silent, and an agent that ends just before it would stop the runs.
TEST(LeaseChainTest, EntryBehindThenSilentAndAgentEnds)
{
  ExpectNoOverlap(0);
}

// Guards against the same chain with an entry that was almost behind before: a
// probe that was sent before the break returns in time, so that the entry goes
// on confirming reports for longer.
TEST(LeaseChainTest, EntryAlmostBehindBeforeTheBreak)
{
  ExpectNoOverlap(190);
}

}
}
