#pragma once

#include <csignal>
#include <deque>
#include <fstream>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "platform/platform_fakes.h"
#include "support/reserved_port.h"

namespace greengage::testing_support {

using namespace std::chrono_literals;

/** The test's requests have no Host header, so their host is "". */
inline std::string
Configuration(unsigned aVersion, const std::string& aHost)
{
  return fmt::format(
    R"({{"version":{},"routes":[{{"name":"q","host":"{}","pathPrefix":"/p/",
        "timeoutMs":5000,"targetRuntimeMs":2000,"priority":0,"service":"portal",
        "maxAttempts":2,"stretch":1.6}}],"limits":{{"maxBodyBytes":400}}}})",
    aVersion,
    aHost);
}

/** One entry and one agent as processes, with a fake store and server. */
class PlatformProcessTest : public ::testing::Test
{
protected:
  PlatformProcessTest() { traffic_.Start(); }

  ~PlatformProcessTest() override
  {
    entry_.reset();
    agent_.reset();
    traffic_.Stop();
    for (const std::string& path : files_) {
      std::remove(path.c_str());
    }
  }

  unsigned ReservePort() { return ports_.emplace_back().Number(); }

  std::string Address(unsigned aPort)
  {
    return fmt::format("127.0.0.1:{}", aPort);
  }

  std::string WriteSettings(const std::string& aListen,
                            const std::string& aServer)
  {
    std::string path = fmt::format(
      "/tmp/greengage_settings_{}_{}.json", ::getpid(), files_.size());
    files_.push_back(path);
    WriteSettingsTo(path, aListen, aServer);
    return path;
  }

  void WriteSettingsTo(const std::string& aPath,
                       const std::string& aListen,
                       const std::string& aServer)
  {
    // Renamed into place, so that no process reads an incomplete file.
    std::string temporaryPath = aPath + ".new";
    std::ofstream(temporaryPath) << fmt::format(
      R"({{"zone":"bole","ip":"127.0.0.1","listen":{{{}}},
          "internalPortRange":[{},{}],"seeds":["{}"],
          "bounds":{{"maxHoldMs":1000,"farFactor":1.5}},"app":"{}",
          "platform":{{"address":"{}"}}}})",
      aListen,
      internalPort_,
      internalPort_,
      Address(seedPort_),
      aServer,
      storeAddress_);
    std::rename(temporaryPath.c_str(), aPath.c_str());
  }

  std::string EntryListen()
  {
    return fmt::format(R"("front":"{}","readyAddr":"{}","control":"{}")",
                       Address(callerPort_),
                       Address(readyPort_),
                       Address(controlPort_));
  }

  std::string AgentListen()
  {
    return fmt::format(R"("control":"{}")", Address(announcePort_));
  }

  void StartEntry()
  {
    entry_ = std::make_unique<ChildProcess>(
      "greengage-platform-entry",
      std::vector<std::string>{ "--settings",
                                WriteSettings(EntryListen(), ""),
                                "--metrics-port",
                                std::to_string(metricsPort_) });
  }

  /** Starts another entry, with a listener for callers of its own. */
  std::unique_ptr<ChildProcess> StartOtherEntry(unsigned aCallerPort)
  {
    std::string settings = WriteSettings(
      fmt::format(R"("front":"{}","readyAddr":"{}","control":"{}")",
                  Address(aCallerPort),
                  Address(ReservePort()),
                  Address(ReservePort())),
      "");
    return std::make_unique<ChildProcess>(
      "greengage-platform-entry",
      std::vector<std::string>{ "--settings", settings });
  }

  void StartAgent()
  {
    agent_ = std::make_unique<ChildProcess>(
      "greengage-platform-agent",
      std::vector<std::string>{ "--settings",
                                WriteSettings(AgentListen(), serverAddress_) });
  }

  /** Announces the server until the entry is ready; reports why it is not. */
  ::testing::AssertionResult AwaitReady()
  {
    bool isAnnounced = false;
    unsigned status = 0;
    for (int i = 0; i < 300; ++i) {
      isAnnounced = server_.Announce(Address(announcePort_), false);
      status = CallHttp(Address(readyPort_), "GET", "/-/ready", "", 1s).status;
      if (status == 200) {
        return ::testing::AssertionSuccess();
      }
      std::this_thread::sleep_for(50ms);
    }
    return ::testing::AssertionFailure()
           << "last announcement accepted: " << isAnnounced
           << ", readiness status: " << status
           << "\nentry (ended: " << entry_->HasEnded() << "):\n"
           << entry_->Output() << "agent (ended: " << agent_->HasEnded()
           << "):\n"
           << agent_->Output() << "status page: "
           << CallHttp(Address(metricsPort_), "GET", "/v1/status", "", 1s).body;
  }

  HttpReply Submit(std::uint64_t aJob, unsigned aEstimateMs = 60)
  {
    return CallHttp(
      Address(callerPort_),
      "POST",
      fmt::format("/p/{:016x}", aJob),
      fmt::format(
        R"({{"spec":"x","bestEffort":true,"steps":[{{"count":4,"cpu":1000,
          "memMb":64,"estimateMs":{}}}]}})",
        aEstimateMs),
      10s);
  }

  /** Submits a job of two tasks; the spec is given as the text in its JSON. */
  HttpReply SubmitSpec(const std::string& aJob, const std::string& aSpec)
  {
    return CallHttp(Address(callerPort_),
                    "POST",
                    "/p/" + aJob,
                    fmt::format(R"({{"spec":"{}","bestEffort":true,"steps":[{{
                      "count":2,"cpu":1000,"memMb":64,"estimateMs":60}}]}})",
                                aSpec),
                    10s);
  }

  transport::TrafficPool traffic_{ 1 };
  FakeStore store_{ traffic_ };
  FakeServerProcess server_{ traffic_, {} };
  std::string storeAddress_ = store_.Start();
  std::string serverAddress_ = server_.Start();
  std::deque<ReservedPort> ports_;
  unsigned callerPort_ = ReservePort();
  unsigned readyPort_ = ReservePort();
  unsigned controlPort_ = ReservePort();
  unsigned seedPort_ = controlPort_;
  unsigned announcePort_ = ReservePort();
  unsigned internalPort_ = ReservePort();
  unsigned metricsPort_ = ReservePort();
  std::vector<std::string> files_;
  std::unique_ptr<ChildProcess> entry_;
  std::unique_ptr<ChildProcess> agent_;
};

}
