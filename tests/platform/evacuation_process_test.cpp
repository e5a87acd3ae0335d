#include <csignal>
#include <deque>
#include <fstream>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "platform/platform_fakes.h"
#include "support/reserved_port.h"

namespace greengage::testing_support {
namespace {

using namespace std::chrono_literals;

constexpr const char* kConfiguration =
  R"({"version":3,"routes":[{"name":"q","host":"","pathPrefix":"/p/",
      "timeoutMs":5000,"targetRuntimeMs":2000,"priority":0,"service":"portal",
      "maxAttempts":2,"stretch":1.6}]})";

/** Time within which an evacuation must be in force at every process. */
constexpr std::chrono::milliseconds kEvacuationTime{ 5000 };

/**
 * Two entries and two agents as processes, each pair in a data centre of its
 * own. The second entry uses a store that refuses it.
 */
class EvacuationProcessTest : public ::testing::Test
{
protected:
  EvacuationProcessTest()
  {
    traffic_.Start();
    refusingStore_.SetAvailable(false);
    store_.Publish(kConfiguration);
  }

  ~EvacuationProcessTest() override
  {
    isAnnouncing_ = false;
    if (announcer_.joinable()) {
      announcer_.join();
    }
    processes_.clear();
    traffic_.Stop();
    for (const std::string& path : files_) {
      std::remove(path.c_str());
    }
  }

  unsigned ReservePort() { return ports_.emplace_back().Number(); }

  static std::string Address(unsigned aPort)
  {
    return fmt::format("127.0.0.1:{}", aPort);
  }

  std::string WriteSettings(const std::string& aDataCentre,
                            const std::string& aListen,
                            const std::string& aServer,
                            const std::string& aStore)
  {
    std::string path = fmt::format(
      "/tmp/greengage_evacuation_{}_{}.json", ::getpid(), files_.size());
    files_.push_back(path);
    unsigned internalPort = ReservePort();
    std::ofstream(path) << fmt::format(
      R"({{"zone":"{}","ip":"127.0.0.1","listen":{{{}}},
          "internalPortRange":[{},{}],"seeds":["{}"],
          "bounds":{{"maxHoldMs":1000}},"app":"{}",
          "platform":{{"address":"{}"}}}})",
      aDataCentre,
      aListen,
      internalPort,
      internalPort,
      Address(seedPort_),
      aServer,
      aStore);
    return path;
  }

  void StartEntry(const std::string& aDataCentre,
                  unsigned aControlPort,
                  const std::string& aStore)
  {
    unsigned callerPort = ReservePort();
    unsigned metricsPort = ReservePort();
    std::string listen =
      fmt::format(R"("front":"{}","readyAddr":"{}","control":"{}")",
                  Address(callerPort),
                  Address(ReservePort()),
                  Address(aControlPort));
    callers_.push_back(Address(callerPort));
    metrics_.push_back(Address(metricsPort));
    Launch("greengage-platform-entry",
           { "--settings",
             WriteSettings(aDataCentre, listen, "", aStore),
             "--metrics-port",
             std::to_string(metricsPort) });
  }

  void Launch(const std::string& aProgram,
              const std::vector<std::string>& aArguments)
  {
    commands_.emplace_back(aProgram, aArguments);
    processes_.push_back(std::make_unique<ChildProcess>(aProgram, aArguments));
  }

  /** Kills a process and starts it again, without what it knew. */
  void Restart(std::size_t aNumber)
  {
    // The destructor waits for the end, after which the ports are free.
    processes_[aNumber]->Signal(SIGKILL);
    processes_[aNumber].reset();
    const auto& [program, arguments] = commands_[aNumber];
    processes_[aNumber] = std::make_unique<ChildProcess>(program, arguments);
  }

  std::string AgentSettings(const std::string& aDataCentre,
                            FakeServerProcess& aServer,
                            unsigned aAnnouncePort)
  {
    return WriteSettings(
      aDataCentre,
      fmt::format(R"("control":"{}")", Address(aAnnouncePort)),
      aServer.Start(),
      storeAddress_);
  }

  /** Starts all processes and waits until each entry serves jobs. */
  bool StartFleet()
  {
    StartEntry("bole", seedPort_, storeAddress_);
    StartEntry("mulu", ReservePort(), refusingStore_.Start());
    unsigned bolePort = ReservePort();
    unsigned muluPort = ReservePort();
    Launch("greengage-platform-agent",
           { "--settings", AgentSettings("bole", boleServer_, bolePort) });
    Launch("greengage-platform-agent",
           { "--settings", AgentSettings("mulu", muluServer_, muluPort) });
    announcer_ = std::thread([this, bolePort, muluPort] {
      while (isAnnouncing_) {
        boleServer_.Announce(Address(bolePort), false);
        muluServer_.Announce(Address(muluPort), false);
        std::this_thread::sleep_for(100ms);
      }
    });
    return WaitUntil(
      [this] {
        return Submit(0).status == 200 && Submit(1).status == 200 &&
               muluServer_.StartCount() > 0 && boleServer_.StartCount() > 0;
      },
      30s);
  }

  /** Submits a job of 4 tasks, which fill one server. */
  HttpReply Submit(std::size_t aEntry)
  {
    return CallHttp(callers_[aEntry],
                    "POST",
                    fmt::format("/p/{:016x}", ++job_),
                    R"({"spec":"x","bestEffort":true,"steps":[{"count":4,
                        "cpu":2000,"memMb":64,"estimateMs":60}]})",
                    10s);
  }

  std::string Status(std::size_t aEntry) const
  {
    return CallHttp(metrics_[aEntry], "GET", "/v1/status", "", 1s).body;
  }

  std::string Logs() const
  {
    std::string logs;
    for (const auto& process : processes_) {
      logs += process->Output();
    }
    return logs;
  }

  transport::TrafficPool traffic_{ 1 };
  FakeStore store_{ traffic_ };
  FakeStore refusingStore_{ traffic_ };
  FakeServerProcess boleServer_{ traffic_, { 60, 1000 } };
  FakeServerProcess muluServer_{ traffic_, { 60, 2000 } };
  std::string storeAddress_ = store_.Start();
  std::deque<ReservedPort> ports_;
  unsigned seedPort_ = ReservePort();
  std::vector<std::string> callers_;
  std::vector<std::string> metrics_;
  std::vector<std::string> files_;
  std::uint64_t job_ = 0;
  /** Programs and arguments of processes_: two entries, then two agents. */
  std::vector<std::pair<std::string, std::vector<std::string>>> commands_;
  std::vector<std::unique_ptr<ChildProcess>> processes_;
  std::atomic<bool> isAnnouncing_{ true };
  std::thread announcer_;
};

// Guards against tasks that are started in an evacuated data centre: by an
// entry that the store refuses, and through an agent that was restarted and
// does not know of the evacuation.
TEST_F(EvacuationProcessTest, EvacuatedDataCentreGetsNoStart)
{
  ASSERT_TRUE(StartFleet()) << Logs();
  store_.Put("evacuate/mulu", "{}");
  std::this_thread::sleep_for(kEvacuationTime);
  unsigned starts = muluServer_.StartCount();
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(Submit(0).status, 200);
    EXPECT_EQ(Submit(1).status, 200);
  }
  EXPECT_EQ(muluServer_.StartCount(), starts);
  EXPECT_NE(Status(1).find(R"("data_centres":["mulu"])"), std::string::npos)
    << Status(1);
  Restart(3);
  EXPECT_NE(processes_.back()->AwaitWord("name=evacuation_changed"), "none");
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(Submit(1).status, 200);
  }
  EXPECT_EQ(muluServer_.StartCount(), starts) << Logs();
  store_.Put("evacuate/mulu", "");
  EXPECT_TRUE(WaitUntil(
    [&] {
      Submit(1);
      return muluServer_.StartCount() > starts;
    },
    15s))
    << Logs();
}

// Guards against a start in an evacuated data centre after all processes were
// restarted: the entry that the store refuses gets the configuration from
// another entry and its agent knows of no evacuation either.
TEST_F(EvacuationProcessTest, RestartOfAllProcessesKeepsTheEvacuation)
{
  ASSERT_TRUE(StartFleet()) << Logs();
  store_.Put("evacuate/mulu", "{}");
  std::this_thread::sleep_for(kEvacuationTime);
  unsigned starts = muluServer_.StartCount();
  for (std::size_t i = 0; i < commands_.size(); ++i) {
    Restart(i);
  }
  unsigned served = 0;
  EXPECT_TRUE(WaitUntil(
    [&] {
      served += Submit(1).status == 200 ? 1 : 0;
      return served == 10;
    },
    20s))
    << Logs();
  EXPECT_EQ(muluServer_.StartCount(), starts) << Logs();
}

// Guards against an evacuation that is on a later page than the configuration,
// and against callers that wait although only evacuated servers could run their
// jobs.
TEST_F(EvacuationProcessTest, RejectsJobsThatOnlyEvacuatedServersCouldRun)
{
  store_.AddOtherKeys(600, "d ");
  ASSERT_TRUE(StartFleet()) << Logs();
  store_.Put("evacuate/bole", "{}");
  store_.Put("evacuate/mulu", "odd");
  std::this_thread::sleep_for(kEvacuationTime);
  unsigned starts = boleServer_.StartCount() + muluServer_.StartCount();
  for (std::size_t entry : { 0, 1 }) {
    HttpReply reply = Submit(entry);
    EXPECT_EQ(reply.status, 503) << reply.body;
    EXPECT_NE(reply.body.find("evacuated"), std::string::npos) << reply.body;
  }
  EXPECT_EQ(boleServer_.StartCount() + muluServer_.StartCount(), starts);
}

}
}
