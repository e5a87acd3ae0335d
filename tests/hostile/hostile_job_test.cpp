#include <cstdlib>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "hostile/hostile_connections.h"
#include "hostile/hostile_fleet.h"

// Complete requests of clients that do not keep to the published limits: what
// a request becomes after it was read must stay within the memory of the host.
namespace greengage::testing_support {
namespace {

using namespace std::chrono_literals;
using Listener = HostileFleet::Listener;

// The number of connections and the bounds were fixed on the code without
// limits of jobs and are not changed afterwards.

/** Number of hostile connections, limits of the processes, and bounds. */
struct Crowd
{
  std::size_t connections = 96;
  /** 432 descriptors leave 174 connections to callers. */
  HostileFleetLimits limits{ 432, 1024, 96 };
  /** Growth of the resident memory while clients may use 1 MB. */
  std::size_t maxGrowthKb = 8 * 1024;
  /** Of an agent, which holds the runs of its server beside its clients. */
  std::size_t maxAgentGrowthKb = 8 * 1024;
  std::size_t maxAgentDescriptorGrowth = 232;
  /** Of an entry after the clients have gone. */
  std::size_t maxReturnedGrowthKb = 4 * 1024;
};

/**
 * Returns the small crowd, or, for a run by hand with HOSTILE_FULL=1, 2,000
 * connections to the smallest hosts of the users with the default limits.
 */
Crowd
ChosenCrowd()
{
  if (!std::getenv("HOSTILE_FULL")) {
    return {};
  }
  return { 2000, { 4100, 0, 260 }, 250 * 1024, 120 * 1024, 3900, 24 * 1024 };
}

const Crowd kCrowd = ChosenCrowd();

std::string
Repeat(const std::string& aText, std::size_t aCount)
{
  std::string text;
  for (std::size_t i = 0; i < aCount; ++i) {
    text += (i == 0 ? "" : ",") + aText;
  }
  return text;
}

std::string
Job(const std::string& aSpec, const std::string& aSteps)
{
  return fmt::format(
    R"({{"bestEffort":true,"spec":"{}","steps":[{}]}})", aSpec, aSteps);
}

/** A request with its own ID and a deadline in eleven days. */
std::string
Request(std::size_t aIndex, const std::string& aBody)
{
  return fmt::format("POST /p/{:016x} HTTP/1.1\r\nX-Deadline-Ms: 1000000000\r\n"
                     "Content-Length: {}\r\n\r\n{}",
                     0xf000000000000000 + aIndex,
                     aBody.size(),
                     aBody);
}

struct JobCase
{
  const char* name;
  std::string body;
};

/** Without it, GoogleTest prints the bytes of the value. */
void
PrintTo(const JobCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.name;
}

std::vector<JobCase>
JobCases()
{
  // The server has 8 cores, so such a task runs alone, and its job may wait for
  // days.
  const std::string large = R"("cpu":8000,"estimateMs":500000000)";
  const std::string tasks = fmt::format(R"({{"count":4096,{}}})", large);
  // Tasks without needs fit the server in any number.
  const std::string spec(200'000, 'a');
  return {
    { "ManySteps", Job("x", Repeat(tasks, 256)) },
    { "ManyTasks", Job("x", tasks) },
    { "ManyShortTasks",
      Job("x", R"({"count":4096,"cpu":8000,"estimateMs":60})") },
    { "ManyStepsWithinTheLimits",
      Job("x", Repeat(R"({"count":16,"cpu":8000,"estimateMs":60})", 256)) },
    { "LongSpec", Job(spec, fmt::format(R"({{"count":1,{}}})", large)) },
    { "LongSpecManyTasks",
      Job(spec, fmt::format(R"({{"count":1100,{}}})", large)) },
    { "LongSpecTasksWithoutNeeds", Job(spec, R"({"count":1100})") },
    { "TasksWithoutNeeds",
      Job(std::string(4000, 'a'), R"({"count":1100,"estimateMs":100})") },
    { "LongLabel",
      Job("x",
          fmt::format(R"({{"count":1,"affinity":"{}",{}}})", spec, large)) },
    { "ManyDependencies",
      Job("x",
          fmt::format(R"({{"count":1,{}}},{{"count":1,"after":[{}],{}}})",
                      large,
                      Repeat("0", 100'000),
                      large)) },
  };
}

class HostileJobTest : public ::testing::TestWithParam<JobCase>
{
protected:
  void SetUp() override { ASSERT_TRUE(fleet_.Start()) << fleet_.Output(); }

  ProcessUse Use(Listener aListener)
  {
    return MeasureProcess(fleet_.Process(aListener));
  }

  std::size_t GrowthKb(const char* aName,
                       const ProcessUse& aBefore,
                       const ProcessUse& aNow)
  {
    std::size_t peak =
      aNow.peakKb > aBefore.residentKb ? aNow.peakKb - aBefore.residentKb : 0;
    fmt::print("{}: {} kB before, peak {} kB above it, now {} kB; descriptors: "
               "{} before, {} now\n",
               aName,
               aBefore.residentKb,
               peak,
               aNow.residentKb,
               aBefore.descriptors,
               aNow.descriptors);
    return peak;
  }

  void ExpectBounded()
  {
    ProcessUse entry = Use(Listener::eCallers);
    ProcessUse agent = Use(Listener::eAgentControl);
    EXPECT_LT(GrowthKb("entry", entryBefore_, entry), kCrowd.maxGrowthKb);
    EXPECT_LT(GrowthKb("agent", agentBefore_, agent), kCrowd.maxAgentGrowthKb);
    EXPECT_LE(agent.descriptors,
              agentBefore_.descriptors + kCrowd.maxAgentDescriptorGrowth);
  }

  /** Sends the job on each connection and gives it time to have its effect. */
  static void SendJobs(HostileConnections& aClient)
  {
    aClient.SendEach(
      [](std::size_t aIndex) { return Request(aIndex, GetParam().body); });
    std::this_thread::sleep_for(1s);
  }

  void MeasureBefore()
  {
    entryBefore_ = Use(Listener::eCallers);
    agentBefore_ = Use(Listener::eAgentControl);
  }

  HostileFleet fleet_{ kCrowd.limits };
  ProcessUse entryBefore_;
  ProcessUse agentBefore_;
};

// Guards against jobs that occupy the memory of the host, or the control
// thread, although their requests are small and complete.
TEST_P(HostileJobTest, MemoryStaysBounded)
{
  MeasureBefore();
  {
    HostileConnections client(fleet_.Port(Listener::eCallers),
                              kCrowd.connections);
    SendJobs(client);
    ExpectBounded();
    // The servers may be busy, but the entry answers.
    EXPECT_NE(fleet_.SubmitJob(), 0) << fleet_.Output();
    ExpectBounded();
  }
  EXPECT_FALSE(fleet_.Process(Listener::eCallers).HasEnded());
  EXPECT_FALSE(fleet_.Process(Listener::eAgentControl).HasEnded());
  EXPECT_TRUE(fleet_.CompletesAJob()) << fleet_.Output();
  ExpectBounded();
}

// Guards against memory that stays occupied after the clients have gone.
TEST_P(HostileJobTest, MemoryIsReturned)
{
  MeasureBefore();
  {
    HostileConnections client(fleet_.Port(Listener::eCallers),
                              kCrowd.connections);
    SendJobs(client);
  }
  bool isReturned = WaitUntil(
    [this] {
      return Use(Listener::eCallers).residentKb <
             entryBefore_.residentKb + kCrowd.maxReturnedGrowthKb;
    },
    15s);
  GrowthKb("entry", entryBefore_, Use(Listener::eCallers));
  EXPECT_TRUE(isReturned);
  EXPECT_TRUE(fleet_.CompletesAJob()) << fleet_.Output();
}

INSTANTIATE_TEST_SUITE_P(All,
                         HostileJobTest,
                         ::testing::ValuesIn(JobCases()),
                         [](const auto& aInfo) { return aInfo.param.name; });

/** Bytes of a body within the configured limit of 256 KB. */
constexpr std::size_t kLargeBodyBytes = 240'000;
constexpr std::size_t kSmallBodyBytes = 16'000;

class HostileCrowdTest : public HostileJobTest
{};

// Guards against many small incomplete requests that keep an ordinary caller
// with a large body out of the memory for connections.
TEST_F(HostileCrowdTest, LargeBodyOfAnOrdinaryCallerIsServed)
{
  HostileConnections client(fleet_.Port(Listener::eCallers),
                            kCrowd.connections);
  std::string header =
    fmt::format("POST /p/00000000000000f3 HTTP/1.1\r\nContent-Length: {}\r\n"
                "\r\n",
                kSmallBodyBytes);
  client.Send(
    header, std::string(4096, 'a'), header.size() + kSmallBodyBytes - 1);
  bool isServed =
    WaitUntil([this] { return fleet_.SubmitJob(kLargeBodyBytes) == 200; }, 5s);
  EXPECT_TRUE(isServed) << fleet_.Output();
}

}
}
