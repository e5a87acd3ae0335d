#include <gtest/gtest.h>

#include "lease_world.h"

namespace greengage::coordination {
namespace {

constexpr milliseconds kFaultPeriod{ 2000 };
constexpr int kFaults = 16;
constexpr unsigned kSeeds = 5000;

void
RunSeed(LeaseWorld& aWorld)
{
  for (int i = 0; i < kFaults; ++i) {
    aWorld.Run(milliseconds(aWorld.Random(2 * kFaultPeriod.count())));
    // Faults close together meet half-finished takeovers.
    for (unsigned burst = aWorld.Random(3); burst > 0; --burst) {
      aWorld.Disturb();
      aWorld.Run(milliseconds(aWorld.Random(400)));
    }
    aWorld.Disturb();
  }
  aWorld.Run(kFaultPeriod);
}

// Guards against two owners at once, a shard that stays without an owner
// although one is possible, and a new owner that misses agents which may hold
// start records, under combinations of faults.
TEST(OwnershipLeasePropertyTest, HoldsUnderRandomFaults)
{
  milliseconds longest{ 0 };
  unsigned takeovers = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    LeaseWorld world(seed, 2 + seed % 3, seed % 2 + 1);
    RunSeed(world);
    ASSERT_TRUE(world.Violations().empty())
      << "seed " << seed << ": " << world.Violations().front();
    longest = std::max(longest, world.LongestGap());
    for (std::size_t i = 0; i < world.Count(); ++i) {
      takeovers += world.At(i).owned;
    }
  }
  // Without takeovers the checks would hold for the wrong reason.
  EXPECT_GT(takeovers, 3 * kSeeds);
  std::printf("longest gap %ld ms, %u activations\n",
              static_cast<long>(longest.count()),
              takeovers);
}

// Guards against a property test that cannot fail: members that forget their
// promises on restart, but keep their identity, must be caught.
TEST(OwnershipLeasePropertyTest, CatchesForgottenPromises)
{
  unsigned caught = 0;
  for (unsigned seed = 1; seed <= kSeeds / 10; ++seed) {
    LeaseWorld world(seed, 2 + seed % 3, seed % 2 + 1);
    world.forgetful = true;
    RunSeed(world);
    for (const std::string& violation : world.Violations()) {
      caught += violation.find("valid leases") != std::string::npos;
    }
  }
  EXPECT_GT(caught, 0u);
}

}
}
