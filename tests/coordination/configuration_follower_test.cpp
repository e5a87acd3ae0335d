#include "coordination/configuration/configuration_follower.h"

#include "coordination/configuration_world.h"

namespace greengage::coordination {
namespace {

using namespace std::chrono_literals;
using state::RefusalCode;
using state::RunState;

// Guards against a refusal without the version to start from, against a
// second creation of a live key, and against a deleted key that stays.
TEST(ConfigurationFollowerTest, ChecksTheBaseVersion)
{
  ConfigurationWorld world(1);
  auto& a = world.Add();
  auto& b = world.Add();
  world.Run(1s);
  world.Publish(a, MakePut("1", "t", 0));
  world.Run(1s);
  world.Publish(b, MakePut("2", "t", 0));
  world.Publish(b, MakePut("3", "t", 7));
  world.Publish(b, MakeDelete("4", "t", 1));
  world.Publish(a, MakePut("5", "u", 3));
  world.Run(1s);
  EXPECT_EQ(world.outcomes["1"],
            (PublishOutcome{ .run = RunState::eRan, .version = 1 }));
  for (const char* id : { "2", "3" }) {
    EXPECT_EQ(world.outcomes[id].code, RefusalCode::eVersionConflict);
    EXPECT_EQ(world.outcomes[id].version, 1u);
  }
  EXPECT_EQ(world.outcomes["4"].code, RefusalCode::eNone);
  EXPECT_EQ(world.outcomes["5"].code, RefusalCode::eVersionConflict);
  world.Publish(a, MakePut("6", "t", 0));
  world.Run(1s);
  EXPECT_EQ(world.outcomes["6"].code, RefusalCode::eNone);
  world.ExpectSameEverywhere();
}

// Guards against a refusal by a process that has not read the version yet from
// which the operator made the change.
TEST(ConfigurationFollowerTest, ReadsBeforeItRefuses)
{
  ConfigurationWorld world(1);
  auto& a = world.Add();
  ConfigurationFollowerSettings slow;
  slow.pollPeriod = 60s;
  auto& b = world.Add(slow);
  world.Run(1s);
  world.Publish(a, MakePut("1", "t", 0));
  while (!world.outcomes.contains("1")) {
    world.Run(10ms);
  }
  ASSERT_EQ(b.follower->Version(), 0u);
  world.Publish(b, MakePut("2", "t", 1));
  world.Run(300ms);
  EXPECT_EQ(world.outcomes["2"].code, RefusalCode::eNone);
}

// Guards against a reversion when the log comes back without its newest
// records while a process has them from peers.
TEST(ConfigurationFollowerTest, KeepsItsVersionWhenTheLogLosesRecords)
{
  ConfigurationWorld world(1);
  auto& a = world.Add();
  world.Run(1s);
  world.Publish(a, MakePut("1", "t", 0));
  world.Publish(a, MakePut("2", "t", 1));
  world.Run(1s);
  world.faults.outage = true;
  world.Run(3s);
  auto& b = world.Add();
  world.Run(5s);
  ASSERT_EQ(b.follower->Version(), 2u);
  world.LoseRecords(1);
  world.faults.outage = false;
  world.Run(5s);
  EXPECT_EQ(b.follower->Version(), 2u);
  EXPECT_EQ(b.follower->Fold().Documents().KeyVersion(TemplateKey("t")), 2u);
}

// Guards against a process cut off from the log that falls behind, or that
// differs from the others once it reads the log again.
TEST(ConfigurationFollowerTest, FollowsPeersWhileCutOffFromTheLog)
{
  ConfigurationWorld world(1);
  auto& a = world.Add();
  auto& b = world.Add();
  world.Run(1s);
  b.logCutOff = true;
  world.Run(3s);
  world.Publish(a, MakePut("1", "t", 0));
  world.Publish(a, MakeDelete("2", "t", 1));
  world.Publish(a, MakePut("3", "u", 0));
  world.Run(4s);
  world.ExpectSameEverywhere();
  b.logCutOff = false;
  world.Run(5s);
  EXPECT_EQ(b.follower->Fold().RecordsFrom(0),
            a.follower->Fold().RecordsFrom(0));
  EXPECT_EQ(b.follower->Fold().Documents().VersionOfChange("1"), 1u);
}

// Guards against an agent that learns a new version from gossip only at its
// next regular pull, and against a pull for every gossip message.
TEST(ConfigurationFollowerTest, PullsOnceWhenGossipShowsAVersion)
{
  ConfigurationWorld world(1);
  auto& a = world.Add();
  auto& agent = world.AddAgent();
  world.Run(100ms);
  world.Publish(a, MakePut("1", "t", 0));
  world.Run(500ms);
  ASSERT_EQ(agent.follower->Version(), 0u);
  for (int i = 0; i < 10; ++i) {
    agent.follower->OnPeerVersion(a.id, 1);
  }
  EXPECT_EQ(agent.pulls, 2u);
  world.Run(100ms);
  EXPECT_EQ(agent.follower->Version(), 1u);
}

/** Operators that change a few keys at all processes at the same time. */
void
RunRacingOperators(ConfigurationWorld& aWorld, unsigned aRounds)
{
  for (unsigned i = 0; i < aRounds; ++i) {
    auto& process = *aWorld.processes[aWorld.Random() % 3];
    std::string name = "t" + std::to_string(aWorld.Random() % 3);
    std::string id = "c" + std::to_string(i);
    auto& documents = process.follower->Fold().Documents();
    const auto* entry = documents.Find(TemplateKey(name));
    bool live = entry && !entry->change.IsDeletion();
    std::uint64_t base = live ? entry->version : 0;
    auto change = live && aWorld.Random() % 4 == 0
                    ? MakeDelete(id, name, base)
                    : MakePut(id, name, base, i + 1);
    aWorld.Publish(process, change);
    aWorld.Run(milliseconds(aWorld.Random() % 150));
    if (aWorld.Random() % 10 == 0) {
      aWorld.faults.outage = !aWorld.faults.outage;
    }
  }
  aWorld.faults.outage = false;
  aWorld.faults.lostPercent = aWorld.faults.latePercent = 0;
  aWorld.Run(15s);
}

// Guards against a second append of a change whose first record was dropped by
// the log before this process could read it.
TEST(ConfigurationFollowerTest, ExpiredAttemptIsUnknown)
{
  ConfigurationWorld world(1);
  auto& a = world.Add();
  auto& b = world.Add();
  world.Run(1s);
  world.faults.lostPercent = 100;
  a.logCutOff = true;
  world.Publish(a, MakePut("1", "t", 0));
  world.Run(100ms);
  ASSERT_EQ(world.AppendsOf("1"), 1u);
  world.faults.lostPercent = 0;
  world.Publish(b, MakeDelete("2", "t", 1));
  world.Publish(b, MakePut("3", "u", 0));
  world.faults.retentionRecords = 1;
  world.Run(1s);
  ASSERT_EQ(world.FirstOffset(), 2u);
  a.logCutOff = false;
  world.Run(3s);
  EXPECT_EQ(world.AppendsOf("1"), 1u);
  EXPECT_EQ(world.outcomes["1"].run, RunState::eUnknown);
}

class RacingOperatorsTest : public testing::TestWithParam<unsigned>
{};

// Guards against readers that end with different configurations, changes that
// apply twice, and refusals of changes that took effect, under slow, lost
// and late answers and outages of the log.
TEST_P(RacingOperatorsTest, EndWithOneConfigurationAndTrueAnswers)
{
  ConfigurationWorld world(GetParam());
  world.faults.lostPercent = 20;
  world.faults.latePercent = 5;
  // An append and a read of 600 ms each leave time for one more attempt.
  world.faults.slow = milliseconds(GetParam() % 3 * 300);
  // Two carriers at a time, as during a change of the owner.
  ConfigurationFollowerSettings settings;
  settings.retentionRecords = world.faults.retentionRecords =
    GetParam() % 2 == 0 ? 0 : 30;
  for (int i = 0; i < 3; ++i) {
    world.Add(settings).follower->SetCarrier(i < 2);
  }
  world.AddAgent();
  world.Run(1s);
  constexpr unsigned kRounds = 60;
  RunRacingOperators(world, kRounds);
  world.ExpectSameEverywhere();
  ASSERT_EQ(world.outcomes.size(), kRounds);
  world.Publish(*world.processes[1], MakePut("last", "last", 0));
  world.Run(5s);
  EXPECT_EQ(world.outcomes["last"].code, RefusalCode::eNone);
  world.ExpectSameEverywhere();
  for (const auto& [id, outcome] : world.outcomes) {
    EXPECT_LE(world.AppendsOf(id), 1u) << id;
    if (outcome.code == RefusalCode::eNone) {
      EXPECT_EQ(world.AppendsOf(id), 1u) << id;
    } else if (outcome.run == RunState::eNotRun) {
      EXPECT_EQ(world.AppendsOf(id), 0u) << id;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RacingOperatorsTest, testing::Range(1u, 101u));

// Guards against a change that is in force later than 4 s after its answer.
TEST(ConfigurationFollowerTest, IsInForceEverywhereWithinFourSeconds)
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    ConfigurationWorld world(seed);
    for (int i = 0; i < 3; ++i) {
      world.Add();
    }
    auto& agent = world.AddAgent();
    world.faults.outage = true;
    world.Run(30s);
    world.faults.outage = false;
    world.Run(3s);
    world.Publish(*world.processes[0], MakePut("1", "t", 0));
    while (!world.outcomes.contains("1")) {
      world.Run(10ms);
    }
    ASSERT_EQ(world.outcomes["1"].code, RefusalCode::eNone);
    world.Run(4s);
    world.ExpectSameEverywhere();
    EXPECT_EQ(agent.follower->Version(), 1u);
  }
}

// Guards against an outage in which a change is dropped without an answer or
// is called refused although nobody can know.
TEST(ConfigurationFollowerTest, RefusesPublicationsInAnOutage)
{
  ConfigurationWorld world(1);
  auto& a = world.Add();
  world.Run(1s);
  world.faults.outage = true;
  world.Run(1s);
  world.Publish(a, MakePut("1", "t", 0));
  world.Run(4s);
  EXPECT_EQ(world.outcomes["1"].code, RefusalCode::eLogUnavailable);
  EXPECT_EQ(world.outcomes["1"].run, RunState::eNotRun);
}

// Guards against live keys, or the absence of deleted ones, that are lost when
// the log drops old records while a reader is cut off or starts anew.
TEST(ConfigurationFollowerTest, CarriesLiveRecordsPastTheRetention)
{
  ConfigurationWorld world(3);
  world.faults.retention = 60s;
  ConfigurationFollowerSettings settings;
  settings.retention = 60s;
  auto& a = world.Add(settings);
  auto& agent = world.AddAgent();
  a.follower->SetCarrier(true);
  world.Run(1s);
  OwnershipRecord group{ 0, 1, { {} }, false };
  group.members[0].dataCentre = group.members[0].rack = "x";
  world.Publish(a, MakePut("1", "kept", 0));
  world.Publish(a, MakePut("2", "deleted", 0));
  a.follower->ProposeOwnership(group);
  a.follower->ProposeActivated({ 0, 1 });
  world.Run(3s);
  auto& late = world.Add(settings);
  world.Run(3s);
  world.ExpectSameEverywhere();
  // The agent and the late reader are cut off while a key is deleted.
  late.follower->OnLogReadFailed();
  auto cutOff = std::move(world.processes[2]->follower);
  world.processes.pop_back();
  agent.follower->SetPeers({});
  world.Publish(a, MakeDelete("3", "deleted", 2));
  world.Run(400s);
  EXPECT_GT(world.FirstOffset(), 4u);
  EXPECT_EQ(agent.follower->Fold().LiveDocumentKeys().size(), 2u);
  agent.follower->SetPeers({ a.id });
  auto& fresh = world.Add(settings);
  world.Run(8s);
  world.ExpectSameEverywhere();
  EXPECT_EQ(fresh.follower->Fold().Documents().KeyVersion(TemplateKey("kept")),
            1u);
  EXPECT_EQ(fresh.follower->Fold().LiveDocumentKeys().size(), 1u);
  EXPECT_EQ(fresh.groups, std::vector{ group });
  EXPECT_EQ(fresh.activated.size(), 1u);
  // The records are the same as those of a reader that was there all along.
  EXPECT_EQ(a.groups, std::vector{ group });
}

// Guards against a process without configuration when it starts in an outage,
// and against older peers that overwrite newer state.
TEST(ConfigurationFollowerTest, StartsFromPeersInAnOutage)
{
  ConfigurationWorld world(5);
  auto& a = world.Add();
  auto& b = world.Add();
  world.Run(1s);
  // Enough for several messages.
  std::string prefix(60, 'n');
  for (unsigned i = 0; i < 600; ++i) {
    auto id = std::to_string(i);
    world.Publish(*world.processes[i % 2], MakePut(id, prefix + id, 0));
    world.Run(150ms);
  }
  world.Run(2s);
  ASSERT_EQ(a.follower->Version(), 600u);
  EXPECT_GT(a.follower->OnPull({ 0 }).records.size(), 100u);
  EXPECT_LT(a.follower->OnPull({ 0 }).records.size(), 600u);
  world.faults.outage = true;
  world.Run(3s);
  auto& c = world.Add();
  world.Run(8s);
  EXPECT_EQ(c.follower->Version(), 600u);
  world.ExpectSameEverywhere();
  c.follower->OnRecords(b.id, { 3, {} });
  EXPECT_EQ(c.follower->Version(), 600u);
  auto changes = c.changes;
  world.faults.outage = false;
  world.Run(5s);
  world.Publish(c, MakePut("x", "x", 0));
  world.Run(3s);
  EXPECT_EQ(world.outcomes["x"].code, RefusalCode::eNone);
  EXPECT_EQ(c.follower->Fold().RecordsFrom(0),
            a.follower->Fold().RecordsFrom(0));
  // The fold of the log found nothing that peers had not passed on.
  EXPECT_EQ(c.changes, changes + 1);
  world.ExpectSameEverywhere();
}

// Guards against readers that stop at, or differ about, a malformed record.
TEST(ConfigurationFollowerTest, SkipsBadRecordsEverywhere)
{
  ConfigurationWorld world(1);
  auto& a = world.Add();
  auto& b = world.Add();
  world.Run(1s);
  world.AppendRaw("{\"type\":\"put_template\"}");
  world.AppendRaw("no JSON");
  world.Run(1s);
  world.Publish(a, MakePut("1", "t", 0));
  world.Run(1s);
  EXPECT_EQ(a.follower->BadRecords(), 2u);
  EXPECT_EQ(b.follower->BadRecords(), 2u);
  EXPECT_EQ(b.follower->Version(), 3u);
  world.ExpectSameEverywhere();
}

// Guards against two groups in one epoch when several processes propose.
TEST(ConfigurationFollowerTest, LetsOneOwnershipRecordWinAnEpoch)
{
  ConfigurationWorld world(2);
  world.faults.lostPercent = 50;
  for (int i = 0; i < 3; ++i) {
    world.Add();
  }
  world.Run(1s);
  unsigned won = 0;
  unsigned lost = 0;
  for (const auto& process : world.processes) {
    OwnershipRecord group{ 0, 1, { {} }, false };
    group.members[0].id = process->id;
    group.members[0].dataCentre = group.members[0].rack = "x";
    process->follower->ProposeOwnership(group, [&](const auto& aOutcome) {
      ++(aOutcome.code == RefusalCode::eNone ? won : lost);
    });
  }
  world.Run(3s);
  EXPECT_EQ(won, 1u);
  EXPECT_EQ(lost, 2u);
  for (const auto& process : world.processes) {
    ASSERT_EQ(process->groups.size(), 1u);
    EXPECT_EQ(process->groups, world.processes[0]->groups);
  }
}

}
}
