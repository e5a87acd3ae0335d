#include "coordination/cancellation/cancellation_exchange.h"

#include <gtest/gtest.h>

#include "cancellation/cancellation_fleet.h"

namespace greengage::testing {
namespace {

using namespace coordination;
using std::chrono::milliseconds;

/** Answers within this time on a calm day; see docs/hard-load-plan.md. */
constexpr milliseconds kCalmBound{ 250 };
/** Bound of an answer in the smaller deployments. */
constexpr milliseconds kAckBound{ 4000 };
/** Time in which all entries have found each other and caught up. */
constexpr milliseconds kWarmUp{ 1000 };

// Guards against a job that runs on, or again, at an entry that was not told
// before the cancellation was acknowledged, and against answers that are late.
TEST(CancellationExchangeTest, EveryEntryKnowsAJobBeforeTheAnswer)
{
  for (unsigned entries : { 1u, 2u, 3u, 12u, 13u, 55u }) {
    CancellationFleet fleet(entries, 1);
    fleet.RunFor(kWarmUp);
    fleet.SubmitAcknowledgedJobs();
    for (std::uint64_t job = 1; job <= 20; ++job) {
      ASSERT_TRUE(fleet.Cancel(job % entries, job));
      fleet.RunFor(milliseconds(7));
    }
    fleet.RunFor(kCalmBound);
    EXPECT_EQ(fleet.Answers().size(), 20u);
    for (const auto& [job, answer] : fleet.Answers()) {
      EXPECT_LE(answer.waited, kCalmBound);
      EXPECT_EQ(answer.result, CancellationResult::eConfirmed);
      EXPECT_EQ(fleet.Knowing(job), entries);
    }
    EXPECT_EQ(fleet.Violations(), std::vector<std::string>{});
  }
}

// Guards against an entry without others that waits for them.
TEST(CancellationExchangeTest, FleetOfOneEntryAnswersAtOnce)
{
  CancellationFleet fleet(1, 1);
  fleet.RunFor(kWarmUp);
  fleet.Cancel(0, 1);
  ASSERT_EQ(fleet.Answers().size(), 1u);
  EXPECT_EQ(fleet.Answers().at(1).waited, milliseconds(0));
  EXPECT_EQ(fleet.Messages(), 0u);
}

// Guards against a burst of cancellations that costs each entry a message for
// each of them, and against messages that go on without an end.
TEST(CancellationExchangeTest, BurstCostsABoundedNumberOfMessages)
{
  constexpr unsigned kEntries = 55;
  constexpr std::uint64_t kJobs = 2000;
  for (bool atOneEntry : { true, false }) {
    CancellationFleet fleet(kEntries, 1);
    fleet.RunFor(kWarmUp);
    std::size_t before = fleet.Messages();
    for (std::uint64_t job = 1; job <= kJobs; ++job) {
      fleet.Cancel(atOneEntry ? 0 : job % kEntries, job);
      if (!atOneEntry && job % 2 == 0) {
        fleet.RunFor(milliseconds(1));
      }
    }
    fleet.RunFor(milliseconds(1000));
    EXPECT_EQ(fleet.Answers().size(), kJobs);
    EXPECT_EQ(fleet.Knowing(kJobs), kEntries);
    // At one entry: 8 full messages, the first job and one rest, each with a
    // confirmation. Spread over a second: 10 intervals of 100 ms and a rest.
    std::size_t pairs = (atOneEntry ? 1 : kEntries) * (kEntries - 1);
    std::size_t messages = fleet.Messages() - before;
    EXPECT_LE(messages, pairs * 2 * (atOneEntry ? 10 : 12));
    RecordProperty(atOneEntry ? "one_entry" : "spread",
                   static_cast<int>(messages));
    std::size_t after = fleet.Messages();
    fleet.RunFor(milliseconds(10'000));
    EXPECT_EQ(fleet.Messages(), after);
  }
}

// Guards against a restarted entry that runs a job again that was cancelled
// before its start, at this entry or another one.
TEST(CancellationExchangeTest, RestartedEntryKnowsItsOwnCancellations)
{
  for (unsigned entries : { 2u, 3u, 13u }) {
    CancellationFleet fleet(entries, 1);
    fleet.RunFor(kWarmUp);
    for (std::uint64_t job = 1; job <= 600; ++job) {
      fleet.Cancel(0, job);
    }
    fleet.RunFor(milliseconds(60'000));
    fleet.SubmitAcknowledgedJobs();
    fleet.Inject(0, EntryFault::eRestart, milliseconds(1000));
    fleet.RunFor(milliseconds(3000));
    EXPECT_EQ(fleet.Knowing(1), entries);
    EXPECT_EQ(fleet.Knowing(600), entries);
    EXPECT_EQ(fleet.Violations(), std::vector<std::string>{});
  }
}

// Guards against a start that is slower because of the exchange: the others are
// found within 150 ms here.
TEST(CancellationExchangeTest, StartWaitsForAnswersOrAShortTime)
{
  for (unsigned entries : { 1u, 2u, 3u, 13u, 55u }) {
    CancellationFleet fleet(entries, 1);
    fleet.RunFor(kWarmUp);
    // At a start of the whole fleet no entry knows more than the others.
    EXPECT_LE(fleet.StartTime(0), milliseconds(entries == 1 ? 525 : 225));
    fleet.Inject(0, EntryFault::eRestart, milliseconds(500));
    fleet.RunFor(milliseconds(2000));
    EXPECT_LE(fleet.StartTime(0), milliseconds(entries == 1 ? 525 : 180));
  }
  CancellationFleet fleet(3, 1);
  fleet.SetPreviousVersion(1);
  fleet.SetPreviousVersion(2);
  fleet.RunFor(kWarmUp);
  fleet.Inject(0, EntryFault::eRestart, milliseconds(500));
  fleet.RunFor(milliseconds(2000));
  EXPECT_LE(fleet.StartTime(0), milliseconds(525));
}

// Guards against answers that wait for entries of the previous version, which
// confirm nothing, and against jobs of which these are not told.
TEST(CancellationExchangeTest, EntriesOfThePreviousVersionDelayOnlyOnce)
{
  CancellationFleet fleet(4, 1);
  fleet.SetPreviousVersion(2);
  fleet.SetPreviousVersion(3);
  fleet.RunFor(kWarmUp);
  fleet.Cancel(0, 1);
  fleet.RunFor(kAckBound);
  ASSERT_EQ(fleet.Answers().size(), 1u);
  EXPECT_NE(fleet.Answers().at(1).result, CancellationResult::eUnconfirmed);
  EXPECT_EQ(fleet.Knowing(1), 4u);
  fleet.Cancel(0, 2);
  fleet.RunFor(kCalmBound);
  ASSERT_EQ(fleet.Answers().size(), 2u);
  EXPECT_EQ(fleet.Knowing(2), 4u);
  // Entries that have known each other for long do not wait at all.
  fleet.Cancel(1, 3);
  fleet.RunFor(kCalmBound);
  ASSERT_EQ(fleet.Answers().size(), 3u);
  EXPECT_EQ(fleet.Knowing(3), 4u);
}

// Guards against an entry that acknowledges a cancellation although it is cut
// off and no other entry knows of it.
TEST(CancellationExchangeTest, CutOffEntryDoesNotAcknowledge)
{
  for (unsigned entries : { 2u, 13u }) {
    milliseconds time{ 1000 };
    simulation::VirtualClock clock{ time, {} };
    CancelledJobs jobs(clock);
    CancellationHooks hooks;
    hooks.send = [](const auto&, const auto&) {};
    CancellationExchange exchange(clock, jobs, hooks);
    for (std::uint64_t i = 1; i < entries; ++i) {
      exchange.OnEntry({ i, i });
      EntryNews news;
      news.catchUpPage = { 1, 0, false, true };
      exchange.OnNews({ i, i }, news);
    }
    exchange.OnHeard();
    std::vector<CancellationResult> results;
    exchange.Cancel(
      1, [&](CancellationResult aResult) { results.push_back(aResult); });
    for (milliseconds end = time + kAckBound; time < end;
         time += milliseconds(25)) {
      if (time == milliseconds(3000)) {
        for (std::uint64_t i = 1; i < entries; ++i) {
          exchange.OnEntryLost({ i, i });
        }
      }
      exchange.Tick();
    }
    ASSERT_EQ(results.size(), 1u);
    EXPECT_EQ(results[0], CancellationResult::eUnconfirmed);
  }
}

// Guards against lost messages that leave an entry uninformed or a caller
// without an answer.
TEST(CancellationExchangeTest, LostMessagesAreRepeated)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CancellationFleet fleet(5, seed);
    fleet.RunFor(kWarmUp);
    fleet.SetLossShare(0.2);
    fleet.Cancel(0, 1);
    fleet.RunFor(kAckBound);
    EXPECT_EQ(fleet.Answers().size(), 1u) << "seed " << seed;
    fleet.RunFor(milliseconds(6000));
    EXPECT_EQ(fleet.Knowing(1), 5u) << "seed " << seed;
  }
}

// Guards against pages that omit records or repeat them, and against a job that
// is not sent because another entry had told of it before.
TEST(CancelledJobsTest, PagesContainEveryRecordOnce)
{
  milliseconds time{ 1000 };
  simulation::VirtualClock clock{ time, {} };
  CancelledJobs jobs(clock);
  for (std::uint64_t job = 1; job <= 10; ++job) {
    jobs.Add(job, milliseconds(job));
  }
  EXPECT_EQ(jobs.AddOwn(3), 11u);
  EXPECT_EQ(jobs.AddOwn(3), 11u);
  auto first = jobs.After(0, 6);
  EXPECT_TRUE(first.hasMore);
  auto second = jobs.After(first.last, 6);
  EXPECT_FALSE(second.hasMore);
  EXPECT_EQ(second.last, jobs.Newest());
  std::set<state::DispatchJobId> all;
  for (const auto& page : { first, second }) {
    for (const CancelledJob& job : page.jobs) {
      EXPECT_TRUE(all.insert(job.job).second);
    }
  }
  EXPECT_EQ(all.size(), 10u);
  auto own = jobs.OwnAfter(0, 6);
  EXPECT_EQ(own.jobs, (std::vector<CancelledJob>{ { 3, 0 } }));
  time += milliseconds(120'000);
  EXPECT_TRUE(jobs.After(0, 6).jobs.empty());
}

}
}
