#include "transport/memory_trimmer.h"

#include <gtest/gtest.h>

namespace greengage::transport {
namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;

// Guards against a process that keeps the memory of a crowd after it has gone,
// and against a search through the free memory in each second.
TEST(MemoryTrimmerTest, ReleasesMemoryOnceAfterAPeak)
{
  ByteBudget budget(100 * kMegabyte, kMegabyte);
  unsigned releases = 0;
  MemoryTrimmer trimmer(budget, [&] { ++releases; });
  auto account = budget.Open(nullptr);
  account->Set(64 * kMegabyte);
  trimmer.Check();
  EXPECT_EQ(releases, 0u);
  account->Set(40 * kMegabyte);
  trimmer.Check();
  EXPECT_EQ(releases, 0u);
  account->Set(kMegabyte);
  trimmer.Check();
  EXPECT_EQ(releases, 1u);
  trimmer.Check();
  EXPECT_EQ(releases, 1u);
  // A peak between two checks counts too.
  account->Set(64 * kMegabyte);
  account->Set(0);
  trimmer.Check();
  EXPECT_EQ(releases, 2u);
}

// Guards against the search after small peaks, which every process has.
TEST(MemoryTrimmerTest, IgnoresSmallPeaks)
{
  ByteBudget budget(100 * kMegabyte, kMegabyte);
  unsigned releases = 0;
  MemoryTrimmer trimmer(budget, [&] { ++releases; });
  auto account = budget.Open(nullptr);
  account->Set(kMegabyte);
  account->Set(0);
  trimmer.Check();
  EXPECT_EQ(releases, 0u);
}

}
}
