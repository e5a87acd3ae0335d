#include <gtest/gtest.h>

#include "coordination/evacuation/cold_ramp.h"
#include "coordination/evacuation/evacuation_exchange.h"
#include "coordination/evacuation/evacuation_records.h"
#include "coordination/simulation/virtual_clock.h"
#include "platform/store_client.h"

namespace greengage::testing {
namespace {

using namespace coordination;
using state::EvacuationState;
using state::ProcessId;
using std::chrono::milliseconds;

constexpr ProcessId kSelf{ 1, 1 };
constexpr ProcessId kEntry{ 2, 2 };
constexpr ProcessId kAgent{ 3, 3 };

class EvacuationExchangeTest : public ::testing::Test
{
protected:
  EvacuationExchangeTest() { exchange_.SetSelf(kSelf); }

  EvacuationExchangeHooks MakeHooks()
  {
    EvacuationExchangeHooks hooks;
    hooks.send = [this](const ProcessId& aProcess,
                        const EvacuationState& aState) {
      sent_.emplace_back(aProcess, aState);
    };
    hooks.changed = [this](const EvacuationChange& aChange) {
      changes_.push_back(aChange);
    };
    return hooks;
  }

  void Wait(milliseconds aTime)
  {
    for (milliseconds end = time_ + aTime; time_ < end;) {
      time_ += milliseconds(25);
      exchange_.Tick();
    }
  }

  std::size_t SentTo(const ProcessId& aProcess) const
  {
    return static_cast<std::size_t>(
      std::count_if(sent_.begin(), sent_.end(), [&](const auto& aItem) {
        return aItem.first == aProcess;
      }));
  }

  milliseconds time_{ 1000 };
  simulation::VirtualClock clock_{ time_, {} };
  std::vector<std::pair<ProcessId, EvacuationState>> sent_;
  std::vector<EvacuationChange> changes_;
  EvacuationExchange exchange_{ clock_, MakeHooks() };
};

// Guards against a process that the store refuses and that never learns of an
// evacuation, because the message to it was lost.
TEST_F(EvacuationExchangeTest, SendsAChangeAtOnceAndRepeatsItSomeTimes)
{
  exchange_.OnEntry(kEntry);
  exchange_.OnAgent(kAgent);
  exchange_.OnLogState({ 7, { "bole" } });
  EXPECT_EQ(SentTo(kEntry), 1u);
  EXPECT_EQ(SentTo(kAgent), 1u);
  Wait(milliseconds(60'000));
  EXPECT_EQ(SentTo(kAgent), 6u);
  EXPECT_EQ(sent_.back().second, (EvacuationState{ 7, { "bole" } }));
}

// Guards against a process that returns to an earlier state: an old notice
// would start tasks in a data centre that is evacuated.
TEST_F(EvacuationExchangeTest, NeverReturnsToAnEarlierState)
{
  exchange_.OnProcessState(kEntry, { 9, { "bole" } });
  exchange_.OnLogState({ 8, {} });
  exchange_.OnProcessState(kEntry, { 9, {} });
  EXPECT_EQ(exchange_.State(), (EvacuationState{ 9, { "bole" } }));
  exchange_.OnLogState({ 10, {} });
  EXPECT_TRUE(exchange_.State().dataCentres.empty());
  ASSERT_EQ(changes_.size(), 2u);
  EXPECT_EQ(changes_[0].from, kEntry);
  EXPECT_EQ(changes_[1].from, std::nullopt);
}

// Guards against an agent or entry that keeps an outdated state: it was cut off
// while the state changed and all repetitions were lost.
TEST_F(EvacuationExchangeTest, AnswersAnOutdatedState)
{
  exchange_.OnAgent(kAgent);
  exchange_.OnLogState({ 7, { "bole" } });
  exchange_.OnLogState({ 9, {} });
  Wait(milliseconds(60'000));
  sent_.clear();
  exchange_.OnProcessState(kAgent, { 7, { "bole" } });
  Wait(milliseconds(50));
  ASSERT_EQ(sent_.size(), 1u);
  EXPECT_EQ(sent_[0].second, (EvacuationState{ 9, {} }));
  sent_.clear();
  exchange_.OnDisconnected(kAgent);
  Wait(milliseconds(50));
  EXPECT_EQ(sent_.size(), 1u);
}

// Guards against an agent that refuses all runs after the end of an evacuation,
// of which no entry that is running has known.
TEST_F(EvacuationExchangeTest, CorrectsAnAgentThatOutlivedTheEntries)
{
  exchange_.OnLogState({ 9, {} });
  exchange_.OnAgent(kAgent);
  exchange_.OnProcessState(kAgent, { 7, { "bole" } });
  ASSERT_EQ(SentTo(kAgent), 1u);
  EXPECT_EQ(sent_.back().second, (EvacuationState{ 9, {} }));
  exchange_.OnProcessState(kAgent, { 7, { "bole" } });
  EXPECT_EQ(SentTo(kAgent), 1u);
}

// Guards against messages without end after an evacuation, each time that the
// configuration changes.
TEST_F(EvacuationExchangeTest, SendsANewRevisionOnce)
{
  exchange_.OnAgent(kAgent);
  exchange_.OnLogState({ 7, { "bole" } });
  Wait(milliseconds(60'000));
  sent_.clear();
  exchange_.OnLogState({ 8, { "bole" } });
  EXPECT_EQ(SentTo(kAgent), 0u);
  Wait(milliseconds(60'000));
  EXPECT_EQ(SentTo(kAgent), 1u);
}

// Guards against messages to every process on a site without evacuations, each
// time that the configuration changes.
TEST_F(EvacuationExchangeTest, SendsLittleWhereNothingIsEvacuated)
{
  exchange_.OnEntry(kEntry);
  exchange_.OnAgent(kAgent);
  for (std::uint64_t revision = 1; revision <= 20; ++revision) {
    exchange_.OnLogState({ revision, {} });
    Wait(milliseconds(2000));
  }
  EXPECT_EQ(SentTo(kEntry), 1u);
  EXPECT_EQ(SentTo(kAgent), 0u);
}

// Guards against records that name no data centre, and against a removal that
// is not applied.
TEST(EvacuationRecordsTest, AppliesRecordsInTheirOrder)
{
  EvacuationState state =
    WithRecords({}, { { "a", true }, { "b", true }, { "", true } }, 4);
  EXPECT_EQ(state, (EvacuationState{ 4, { "a", "b" } }));
  state = WithRecords(
    state,
    { { "a", false }, { "c", false }, { "b", false }, { "b", true } },
    8);
  EXPECT_EQ(state, (EvacuationState{ 8, { "b" } }));
  EvacuationState many{ 9, {} };
  for (unsigned i = 0; i < 1000; ++i) {
    many.dataCentres.insert(std::to_string(i));
  }
  EXPECT_EQ(Limited(many).dataCentres.size(), kMaxEvacuatedDataCentres);
}

// Guards against evacuations that are missed in a listing or in the log, and
// against values and names that are not those of a request.
TEST(EvacuationRecordsTest, DecodesRecordsOfTheStore)
{
  using platform::DecodeEvacuation;
  EXPECT_EQ(DecodeEvacuation({ "evacuate/bole", "{}" }),
            (EvacuationRecord{ "bole", true }));
  EXPECT_EQ(DecodeEvacuation({ "evacuate/bole", "[" }),
            (EvacuationRecord{ "bole", true }));
  EXPECT_EQ(DecodeEvacuation({ "evacuate/bole", "" }),
            (EvacuationRecord{ "bole", false }));
  EXPECT_FALSE(DecodeEvacuation({ "evacuate/", "{}" }));
  EXPECT_FALSE(DecodeEvacuation({ "evacuat", "{}" }));
  EXPECT_FALSE(DecodeEvacuation({ "", "" }));
  auto listing = platform::DecodeNewest(
    R"({"items":[{"key":"config","value":"e30="},{"key":"evacuate/a","value":
        "e30="},{"key":"evacuate/b","value":""},{"key":"evacuate/c"},
        {"key":"evacuate/d","value":7},{"key":"evacuate/","value":"e30="},
        {"key":"evacuate/e","value":"!!!"}],"hasMore":false,"end":9})",
    "config");
  ASSERT_TRUE(listing);
  EXPECT_EQ(WithRecords({}, listing->newest.evacuations, 9),
            (EvacuationState{ 9, { "a" } }));
}

// Guards against a cold server that gets its whole load at once, and against a
// warm one that gets it late.
TEST(ColdRampTest, GivesAColdServerItsCapacityInSteps)
{
  state::MonotonicTime now{ std::chrono::seconds(100) };
  EXPECT_FALSE(RampOf(milliseconds(0), now));
  EXPECT_FALSE(RampOf(milliseconds(-5), now));
  auto ramp = RampOf(milliseconds(4000), now);
  ASSERT_TRUE(ramp);
  const state::ResourceAmount capacity{ 16'000, 64, 1 };
  auto withheld = [&](int aMs) {
    return WithheldCapacity(*ramp, capacity, now + milliseconds(aMs))
      .cpuMillicores;
  };
  EXPECT_EQ(withheld(0), 12'000u);
  EXPECT_EQ(withheld(2000), 6000u);
  EXPECT_EQ(withheld(4000), 0u);
  EXPECT_EQ(withheld(9000), 0u);
}

}
}
