#include "dispatch/crash_fixture.h"

// Decisions of a JobDispatcher about tasks that crash their servers.
namespace greengage::testing {
namespace {

using state::TaskKey;

class JobDispatcherCrashTest : public CrashFixture
{};

// Guards against one task that ends server after server: it must not be started
// again after servers have crashed under it.
TEST_F(JobDispatcherCrashTest, TaskThatCrashesItsServersIsGivenUp)
{
  AddServers(6);
  Submit(0, 1);
  TaskKey task{ 1, 0, 0 };
  constexpr unsigned kRounds = 10;
  for (unsigned round = 0; round < kRounds; ++round) {
    for (std::uint64_t server : ServersOf(task)) {
      Crash(server);
    }
    RunFor(std::chrono::milliseconds(500));
  }
  // The third crash, at the latest, is the last.
  EXPECT_LE(StartCount(task), 3u);
  ASSERT_TRUE(entries_[0].outcomes.contains(1));
  EXPECT_EQ(entries_[0].outcomes[1].result, state::DispatchResult::eFailed);
}

}
}
