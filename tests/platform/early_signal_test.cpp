#include <array>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <thread>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "support/process_fleet.h"
#include "support/reserved_port.h"

namespace greengage::testing_support {
namespace {

using namespace std::chrono_literals;

/** Time after which an entry has started and handled the signal. */
constexpr std::chrono::milliseconds kStartTime{ 500 };

class EarlySignalTest : public ::testing::Test
{
protected:
  ~EarlySignalTest() override { std::remove(path_.c_str()); }

  std::string Settings() const
  {
    return fmt::format(
      R"({{"zone":"bole","ip":"127.0.0.1",
           "listen":{{"front":"127.0.0.1:{0}","readyAddr":"127.0.0.1:{1}",
                      "control":"127.0.0.1:{2}"}},
           "internalPortRange":[{3},{3}],"seeds":[],
           "bounds":{{"maxHoldMs":1000}},"app":"",
           "platform":{{"address":"127.0.0.1:1"}}}})",
      ports_[0].Number(),
      ports_[1].Number(),
      ports_[2].Number(),
      ports_[3].Number());
  }

  std::array<ReservedPort, 4> ports_;
  std::string path_ =
    fmt::format("/tmp/greengage_early_signal_{}.json", ::getpid());
};

// Guards against a process that ends when its settings change during its start:
// the platform sends SIGHUP before the process has installed its handler.
TEST_F(EarlySignalTest, ReloadDuringTheStartDoesNotEndTheProcess)
{
  std::ofstream(path_) << Settings();
  ChildProcess entry("greengage-platform-entry", { "--settings", path_ });
  entry.Signal(SIGHUP);
  std::this_thread::sleep_for(kStartTime);
  EXPECT_FALSE(entry.HasEnded()) << entry.Output();
}

// Guards against a signal that has its default effect until the process has
// started: it arrives while the program reads its settings, which are a pipe
// here so that the program waits for them.
TEST_F(EarlySignalTest, SignalsBeforeTheSettingsAreReadAreKept)
{
  ASSERT_EQ(::mkfifo(path_.c_str(), 0600), 0);
  ChildProcess entry("greengage-platform-entry", { "--settings", path_ });
  int pipe = -1;
  ASSERT_TRUE(WaitUntil(
    [&] {
      // Fails until the program has opened the pipe.
      pipe = ::open(path_.c_str(), O_WRONLY | O_NONBLOCK);
      return pipe >= 0;
    },
    10s));
  // The reload reads a regular file.
  std::string regularPath = path_ + ".new";
  std::ofstream(regularPath) << Settings();
  ASSERT_EQ(std::rename(regularPath.c_str(), path_.c_str()), 0);
  entry.Signal(SIGHUP);
  std::string settings = Settings();
  ASSERT_EQ(::write(pipe, settings.data(), settings.size()),
            static_cast<ssize_t>(settings.size()));
  ::close(pipe);
  EXPECT_EQ(entry.AwaitWord("name=settings_reloaded"), "") << entry.Output();
  entry.Signal(SIGTERM);
  EXPECT_TRUE(entry.EndsCleanly(6s)) << entry.Output();
}

}
}
