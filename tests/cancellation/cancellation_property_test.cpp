#include <cstdlib>

#include <gtest/gtest.h>

#include "cancellation/cancellation_fleet.h"

namespace greengage::testing {
namespace {

using std::chrono::milliseconds;

struct Scenario
{
  unsigned entries = 2;
  std::uint64_t seed = 1;
  ExchangeStep withoutStep = ExchangeStep::eNone;
};

/**
 * Cancels three jobs at any entries while one process is killed, restarted,
 * paused or cut off at any time from 2 s before the first cancellation to 2 s
 * after it, mostly during the exchange. Returns what went wrong.
 */
std::vector<std::string>
Play(const Scenario& aScenario)
{
  std::mt19937_64 random(aScenario.seed * 1000 + aScenario.entries);
  CancellationFleet fleet(
    aScenario.entries, aScenario.seed, aScenario.withoutStep);
  fleet.RunFor(milliseconds(2000));
  fleet.SubmitAcknowledgedJobs();
  constexpr unsigned kFaults = 5;
  auto fault = static_cast<EntryFault>(random() % kFaults);
  bool losesMemory =
    fault == EntryFault::eKill || fault == EntryFault::eRestart;
  if (aScenario.entries == 1 && losesMemory) {
    // A single entry keeps its cancellations only as long as it lives.
    fault = EntryFault::ePause;
  }
  auto faulty = static_cast<unsigned>(random() % aScenario.entries);
  bool duringExchange = random() % 3 > 0;
  milliseconds faultAt = duringExchange
                           ? milliseconds(2000 - 10 + random() % 40)
                           : milliseconds(random() % 4000);
  milliseconds length(random() % 2 == 0 ? 10 + random() % 600
                                        : 600 + random() % 5000);
  constexpr unsigned kJobs = 3;
  std::set<std::uint64_t> expected;
  std::uint64_t nextJob = 1;
  for (milliseconds time{ 0 }; time < milliseconds(10'000);
       time += milliseconds(1)) {
    if (time == faultAt) {
      fleet.Inject(faulty, fault, length);
    }
    bool isDue = time >= milliseconds(2000) &&
                 (time.count() - 2000) % 400 == 0 && nextJob <= kJobs;
    if (isDue) {
      std::uint64_t job = nextJob++;
      auto entry = static_cast<unsigned>(random() % aScenario.entries);
      if (fleet.Cancel(entry, job) && entry != faulty) {
        expected.insert(job);
      }
    }
    fleet.RunFor(milliseconds(1));
  }
  std::vector<std::string> faults = fleet.Violations();
  for (std::uint64_t job : expected) {
    auto answer = fleet.Answers().find(job);
    if (answer == fleet.Answers().end()) {
      faults.push_back("no answer for job " + std::to_string(job));
    } else if (answer->second.waited > milliseconds(4000) ||
               answer->second.result ==
                 coordination::CancellationResult::eUnconfirmed) {
      faults.push_back("late or unconfirmed: job " + std::to_string(job));
    }
  }
  if (!faults.empty()) {
    faults.push_back("fault " + std::to_string(static_cast<int>(fault)) +
                     " of entry " + std::to_string(faulty) + " at " +
                     std::to_string(faultAt.count() - 2000) + " ms for " +
                     std::to_string(length.count()) + " ms");
  }
  return faults;
}

std::uint64_t
SeedsOf(unsigned aEntries)
{
  const char* seeds = std::getenv("CANCELLATION_SEEDS");
  std::uint64_t count = seeds ? std::strtoull(seeds, nullptr, 10) : 200;
  // A fleet of 55 entries takes 50 times as long to simulate.
  return aEntries > 13 ? std::max<std::uint64_t>(1, count / 20) : count;
}

std::uint64_t
FirstSeed()
{
  const char* seed = std::getenv("CANCELLATION_FIRST_SEED");
  return seed ? std::strtoull(seed, nullptr, 10) : 1;
}

class CancellationPropertyTest : public ::testing::TestWithParam<unsigned>
{};

// Guards against a task of a job that starts after its cancellation was
// acknowledged, whichever single process has a fault, and against callers whose
// entry has none and who get no answer in time.
TEST_P(CancellationPropertyTest, NoStartAfterTheAnswer)
{
  std::uint64_t first = FirstSeed();
  for (std::uint64_t seed = first; seed < first + SeedsOf(GetParam()); ++seed) {
    auto faults = Play({ GetParam(), seed });
    ASSERT_EQ(faults, std::vector<std::string>{}) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         CancellationPropertyTest,
                         ::testing::Values(1u, 2u, 3u, 13u, 55u));

class CancellationStepTest : public ::testing::TestWithParam<ExchangeStep>
{};

// Guards against a property test that would not notice a missing step.
TEST_P(CancellationStepTest, PropertyFailsWithoutTheStep)
{
  unsigned broken = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    broken += Play({ 3, seed, GetParam() }).empty() ? 0 : 1;
  }
  EXPECT_GT(broken, 0u);
  RecordProperty("broken", static_cast<int>(broken));
}

INSTANTIATE_TEST_SUITE_P(Steps,
                         CancellationStepTest,
                         ::testing::Values(ExchangeStep::eWaitForConfirmations,
                                           ExchangeStep::eRepeat,
                                           ExchangeStep::eHoldPlacement,
                                           ExchangeStep::eAnswerCatchUp,
                                           ExchangeStep::eCatchUpAfterSilence));

}
}
