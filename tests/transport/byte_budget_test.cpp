#include "transport/byte_budget.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "transport/connection_limits.h"

namespace greengage::transport {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

class ByteBudgetTest : public testing::Test
{
protected:
  std::unique_ptr<ByteBudget::Account> Open(const std::string& aName)
  {
    return budget_.Open(
      [this, aName](std::size_t) { evicted_.push_back(aName); });
  }

  ByteBudget budget_{ 1000, 250 };
  std::vector<std::string> evicted_;
};

// Guards against ordinary requests that are refused instead of the connections
// that hold the memory.
TEST_F(ByteBudgetTest, EvictsTheAccountsThatHoldMoreThanAnOrdinaryShare)
{
  auto small = Open("small");
  auto large = Open("large");
  auto next = Open("next");
  EXPECT_TRUE(small->Set(100));
  EXPECT_TRUE(large->Set(600));
  EXPECT_TRUE(next->Set(300));
  EXPECT_THAT(evicted_, IsEmpty());
  EXPECT_TRUE(small->Set(150));
  EXPECT_THAT(evicted_, ElementsAre("large"));
  EXPECT_FALSE(large->Set(700));
  // Bytes that are about to be released do not evict others.
  EXPECT_TRUE(next->Set(700));
  EXPECT_THAT(evicted_, ElementsAre("large"));
  large.reset();
  EXPECT_EQ(budget_.HeldBytes(), 850u);
}

// Guards against a large request that is refused in favour of many small ones
// that are withheld.
TEST_F(ByteBudgetTest, EvictsTheOldestRequestFirst)
{
  std::vector<std::unique_ptr<ByteBudget::Account>> withheld;
  for (int i = 0; i < 3; ++i) {
    withheld.push_back(Open("withheld" + std::to_string(i)));
    EXPECT_TRUE(withheld.back()->Set(300));
  }
  auto large = Open("large");
  EXPECT_TRUE(large->Set(500));
  EXPECT_THAT(evicted_, ElementsAre("withheld0", "withheld1"));
  // A connection is as old as its present request.
  withheld[2]->BeginRequest();
  EXPECT_FALSE(large->Set(701));
  EXPECT_THAT(evicted_, ElementsAre("withheld0", "withheld1", "large"));
}

// Guards against the eviction of holders that cannot release their bytes.
TEST_F(ByteBudgetTest, EvictsOnlyWhatMayBeEvicted)
{
  auto jobs = budget_.Open(nullptr);
  EXPECT_TRUE(jobs->Set(900, ByteBudget::Eviction::eNever));
  auto small = Open("small");
  EXPECT_TRUE(small->Set(50));
  EXPECT_FALSE(small->Set(101));
  EXPECT_THAT(evicted_, ElementsAre("small"));
}

// Guards against bytes that stay counted after their connection has ended: the
// budget would be used up for ever.
TEST_F(ByteBudgetTest, ReleasesTheBytesOfClosedAccounts)
{
  for (int i = 0; i < 100; ++i) {
    auto account = Open("other");
    EXPECT_TRUE(account->Set(900));
  }
  EXPECT_EQ(budget_.HeldBytes(), 0u);
  EXPECT_THAT(evicted_, IsEmpty());
  auto evicted = Open("evicted");
  EXPECT_FALSE(evicted->Set(1001));
  evicted.reset();
  auto account = Open("other");
  EXPECT_TRUE(account->Set(1000));
  EXPECT_THAT(evicted_, ElementsAre("evicted"));
}

// Guards against limits of a host that exceed its memory or descriptors, or
// leave a listener without connections.
TEST(ConnectionLimitsTest, FitTheHost)
{
  EXPECT_EQ(LimitsOfHost(0, 0), ConnectionLimits());
  constexpr std::size_t kMegabyte = 1024 * 1024;
  EXPECT_EQ(LimitsOfHost(120 * kMegabyte, 0).processBytes, 30 * kMegabyte);
  for (std::size_t descriptors : { 1u, 200u, 232u, 3075u, 10250u }) {
    ConnectionLimits limits = LimitsOfHost(0, descriptors);
    EXPECT_GT(limits.callerConnections, 0u);
    EXPECT_GT(limits.serviceConnections, 0u);
    EXPECT_GT(limits.peerConnections, 0u);
    if (descriptors >= 232) {
      EXPECT_LE(limits.callerConnections + 2 * limits.serviceConnections +
                  limits.peerConnections,
                descriptors - 200);
    }
  }
}

}
}
