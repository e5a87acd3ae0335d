#include <array>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <thread>

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

// Guards against a process that ends when its settings change during its start:
// the platform sends SIGHUP before the process has installed its handler.
TEST(EarlySignalTest, ReloadDuringTheStartDoesNotEndTheProcess)
{
  std::array<ReservedPort, 4> ports;
  std::string path =
    fmt::format("/tmp/greengage_early_signal_{}.json", ::getpid());
  std::ofstream(path) << fmt::format(
    R"({{"zone":"bole","ip":"127.0.0.1",
         "listen":{{"front":"127.0.0.1:{0}","readyAddr":"127.0.0.1:{1}",
                    "control":"127.0.0.1:{2}"}},
         "internalPortRange":[{3},{3}],"seeds":[],
         "bounds":{{"maxHoldMs":1000}},"app":"",
         "platform":{{"address":"127.0.0.1:1"}}}})",
    ports[0].Number(),
    ports[1].Number(),
    ports[2].Number(),
    ports[3].Number());
  {
    ChildProcess entry("greengage-platform-entry", { "--settings", path });
    entry.Signal(SIGHUP);
    std::this_thread::sleep_for(kStartTime);
    EXPECT_FALSE(entry.HasEnded()) << entry.Output();
  }
  std::remove(path.c_str());
}

}
}
