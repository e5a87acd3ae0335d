#include <gtest/gtest.h>

#include "membership_world.h"

namespace greengage::coordination {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSecond{ 1000 };
// Section 1.8 and 2.8 of the design.
constexpr milliseconds kDetection{ 3000 };
constexpr milliseconds kLeavingKnown{ 3000 };
// Two pings and two answers in each period of 500 ms, and a margin for
// indirect probes.
constexpr double kMaxIdlePackets = 9;
// The lists of members after a cold start take this long.
constexpr milliseconds kSettling{ 60'000 };
constexpr double kMaxBytesPerSecond = 29'000;

class MembershipTest : public testing::Test
{
protected:
  void Start(unsigned aSeed, std::size_t aCount)
  {
    world = std::make_unique<MembershipWorld>(aSeed, aCount);
    world->StartAll();
    if (aCount > 100) {
      world->IntroduceAll();
    }
    world->RunUntilAll(world->Complete(), 30 * kSecond);
    // A random moment, so that a fault hits any part of a period.
    world->Run(10 * kSecond + milliseconds(world->Random(1000)));
    for (std::size_t i = 0; i < aCount; ++i) {
      ASSERT_TRUE(world->Complete()(world->At(i))) << "node " << i;
    }
  }

  void TearDown() override
  {
    EXPECT_LE(world->LargestPacket(), kMaxPacketBytes);
  }

  std::unique_ptr<MembershipWorld> world;
};

class MembershipSizeTest
  : public MembershipTest
  , public testing::WithParamInterface<std::size_t>
{};

// Guards against a dead member that others keep using.
TEST_P(MembershipSizeTest, EveryMemberDetectsADeath)
{
  milliseconds longest{ 0 };
  unsigned seeds = GetParam() > 100 ? 1 : 20;
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    Start(seed, GetParam());
    std::size_t dead = world->Random(world->Count());
    world->Kill(dead);
    auto taken = world->RunUntilAll(world->Believes(dead, MemberState::eDead),
                                    2 * kDetection);
    longest = std::max(longest, taken);
    EXPECT_EQ(world->FalseDeaths(), 0u) << "seed " << seed;
  }
  EXPECT_LE(longest, kDetection);
  std::printf("%zu members: death known everywhere after at most %ld ms\n",
              GetParam(),
              static_cast<long>(longest.count()));
}

// Guards against an agent that gets work although it is leaving.
TEST_P(MembershipSizeTest, DrainingIsKnownEverywhereInTime)
{
  Start(1, GetParam());
  auto info = world->At(1).info;
  info.draining = true;
  world->At(1).membership->SetSelf(info);
  auto taken = world->RunUntilAll(
    [&](MembershipWorld::Node& aNode) {
      return &aNode == &world->At(1) ||
             aNode.membership->Find(info.peerAddress)->process.draining;
    },
    2 * kLeavingKnown);
  EXPECT_LE(taken, kLeavingKnown);
  std::printf("%zu members: draining known everywhere after %ld ms\n",
              GetParam(),
              static_cast<long>(taken.count()));
}

// Guards against a cost that grows with the number of members, and against
// changes of all members at once that fill the network.
TEST_P(MembershipSizeTest, CostPerNodeIsBounded)
{
  Start(1, GetParam());
  world->Run(kSettling);
  for (bool changes : { false, true }) {
    if (changes) {
      for (std::size_t i = 0; i < world->Count(); ++i) {
        world->At(i).membership->SetConfigurationVersion(7);
      }
    }
    for (std::size_t i = 0; i < world->Count(); ++i) {
      auto& node = world->At(i);
      node.packetsSent = node.bytesSent = node.bytesReceived = 0;
    }
    constexpr int kSeconds = 10;
    world->Run(kSeconds * kSecond);
    double packets = 0;
    double mean = 0;
    double largest = 0;
    for (std::size_t i = 0; i < world->Count(); ++i) {
      const auto& node = world->At(i);
      double bytes = static_cast<double>(node.bytesSent + node.bytesReceived);
      mean += bytes / kSeconds / static_cast<double>(world->Count());
      largest = std::max(largest, bytes / kSeconds);
      packets += static_cast<double>(node.packetsSent) / kSeconds /
                 static_cast<double>(world->Count());
    }
    EXPECT_LE(largest, kMaxBytesPerSecond);
    if (!changes) {
      EXPECT_LE(packets, kMaxIdlePackets);
    }
    std::printf("%zu members, %s: %.1f packets/s sent, %.0f B/s sent and "
                "received (largest node %.0f)\n",
                GetParam(),
                changes ? "a new configuration" : "idle",
                packets,
                mean,
                largest);
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         MembershipSizeTest,
                         testing::Values(3, 11, 100, 1000));

// Guards against healthy members that are taken for dead on a lossy network.
TEST_F(MembershipTest, LossKillsNobody)
{
  Start(1, 100);
  world->loss = 1;
  world->Run(120 * kSecond);
  EXPECT_EQ(world->FalseDeaths(), 0u);
}

// Guards against the loss of a member that was paused for a moment.
TEST_F(MembershipTest, ShortPauseIsRefuted)
{
  for (unsigned seed = 1; seed <= 10; ++seed) {
    Start(seed, seed % 2 ? 11 : 100);
    world->At(2).paused = true;
    world->Run(kSuspicionTime - milliseconds(100));
    world->At(2).paused = false;
    world->Run(5 * kSecond);
    EXPECT_EQ(world->FalseDeaths(), 0u) << "seed " << seed;
    EXPECT_EQ(world->RunUntilAll(world->Believes(2, MemberState::eAlive), {}),
              milliseconds(0));
  }
}

// Guards against a member that is lost for good after a long pause.
TEST_F(MembershipTest, LongPauseEndsInAReturn)
{
  Start(1, 100);
  world->At(2).paused = true;
  world->Run(20 * kSecond);
  EXPECT_EQ(world->RunUntilAll(world->Believes(2, MemberState::eDead), {}),
            milliseconds(0));
  world->At(2).paused = false;
  EXPECT_LE(
    world->RunUntilAll(world->Believes(2, MemberState::eAlive), 10 * kSecond),
    kDetection);
  for (std::size_t i = 0; i < world->Count(); ++i) {
    EXPECT_EQ(world->At(i).falseDeaths, i == 2 ? 0u : 1u);
  }
}

// Guards against a restarted process that is taken for its predecessor.
TEST_F(MembershipTest, NewIdentityReplacesTheOldOne)
{
  Start(1, 11);
  world->Kill(4);
  world->Start(4, { world->At(0).info.peerAddress });
  EXPECT_LE(
    world->RunUntilAll(world->Believes(4, MemberState::eAlive), 10 * kSecond),
    kDetection);
  for (std::size_t i = 0; i < world->Count(); ++i) {
    EXPECT_EQ(world->At(i).replacements, i == 4 ? 0u : 1u);
  }
}

// Guards against a death report for a process that said it leaves.
TEST_F(MembershipTest, LeavingIsNoDeath)
{
  Start(1, 11);
  world->At(4).membership->Leave();
  world->Run(kSecond / 2);
  world->Kill(4);
  EXPECT_LE(
    world->RunUntilAll(world->Believes(4, MemberState::eLeft), 10 * kSecond),
    kLeavingKnown);
  world->Run(10 * kSecond);
  EXPECT_EQ(world->RunUntilAll(world->Believes(4, MemberState::eLeft), {}),
            milliseconds(0));
}

// Guards against hosts whose clocks differ unnoticed, and against reports
// that are caused by a pause.
TEST_F(MembershipTest, ClockDifferenceIsReported)
{
  Start(1, 11);
  world->At(3).paused = true;
  world->Run(kSecond);
  world->At(3).paused = false;
  world->Run(5 * kSecond);
  world->At(4).clock.error = milliseconds(700);
  for (std::size_t i = 0; i < world->Count(); ++i) {
    EXPECT_EQ(world->At(i).clockDifference, milliseconds(0));
  }
  world->Run(20 * kSecond);
  EXPECT_GE(world->At(5).clockDifference, milliseconds(600));
  EXPECT_LE(world->At(4).clockDifference, milliseconds(-600));
  EXPECT_EQ(world->At(3).clockDifference, world->At(5).clockDifference);
}

// Guards against a new process that its predecessor's clock, which was ahead,
// keeps out.
TEST_F(MembershipTest, ReplacementWithAnEarlierClockIsAccepted)
{
  Start(1, 11);
  world->Kill(4);
  world->At(4).clock.error = -60 * kSecond;
  world->Start(4, { world->At(0).info.peerAddress });
  EXPECT_LE(
    world->RunUntilAll(world->Believes(4, MemberState::eAlive), 10 * kSecond),
    kDetection);
}

// Guards against a process that gives up because its seeds are down.
TEST_F(MembershipTest, KeepsTryingDeadSeeds)
{
  world = std::make_unique<MembershipWorld>(1, 3);
  auto seed = world->At(0).info.peerAddress;
  world->Start(1, { seed });
  world->Start(2, { seed });
  world->Run(60 * kSecond);
  EXPECT_EQ(world->At(1).membership->LiveCount(), 0u);
  world->Start(0, { seed });
  EXPECT_LE(world->RunUntilAll(world->Complete(), 60 * kSecond), 5 * kSecond);
}

// Guards against two halves that never find each other again, and against
// deaths inside a half while they do.
TEST_F(MembershipTest, HalvesMeetAgainAfterAPartition)
{
  for (std::size_t count : { 3, 11, 100 }) {
    Start(1, count);
    for (std::size_t i = 0; i < count / 2; ++i) {
      world->At(i).side = 1;
    }
    world->Run(120 * kSecond);
    EXPECT_EQ(world->At(0).membership->LiveCount(), count / 2 - 1);
    unsigned before = world->FalseDeaths();
    for (std::size_t i = 0; i < count; ++i) {
      world->At(i).side = 0;
    }
    auto taken = world->RunUntilAll(world->Complete(), 120 * kSecond);
    std::printf("%zu members: whole again %ld ms after a partition\n",
                count,
                static_cast<long>(taken.count()));
    EXPECT_LE(taken, 30 * kSecond);
    EXPECT_EQ(world->FalseDeaths(), before);
  }
}

// Guards against a data centre's loss that stays unnoticed for long, or that
// makes the other data centres look dead.
TEST_F(MembershipTest, LossOfADataCentreIsDetected)
{
  Start(1, 100);
  for (std::size_t i = 0; i < 100; i += 3) {
    world->Kill(i);
  }
  auto taken = world->RunUntilAll(world->Complete(), 60 * kSecond);
  std::printf("34 of 100 members: deaths known everywhere after %ld ms\n",
              static_cast<long>(taken.count()));
  EXPECT_LE(taken, 10 * kSecond);
  EXPECT_EQ(world->FalseDeaths(), 0u);
}

}
}
