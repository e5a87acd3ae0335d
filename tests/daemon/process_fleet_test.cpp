#include <csignal>
#include <future>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "daemon/process_identity.h"
#include "support/fleet_load.h"
#include "support/raw_client.h"
#include "transport/endpoint.h"

namespace greengage::daemon {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;

constexpr auto kExitTimeout = 30s;
// Time from the signal to leave until the last start on the server (section 1.8
// of the design page).
constexpr auto kLeaveAllowance = 3000ms;

/** Returns a field of `GET /summary` of the backend server, or -1. */
std::int64_t
ReadSummary(const FleetAgent& aAgent, const std::string& aField)
{
  auto body = CallHttp(aAgent.backendAddress, "GET", "/summary", "", 10s).body;
  std::size_t at = body.find("\"" + aField + "\":");
  return at == std::string::npos
           ? -1
           : std::atoll(body.c_str() + at + aField.size() + 3);
}

std::int64_t
WallMilliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

// Guards against jobs that are lost or run twice without any fault, and against
// a later request for a job that runs it again or returns another answer.
TEST(ProcessFleetTest, RunsJobsOnce)
{
  ProcessFleet fleet({});
  FleetLoadOptions options;
  FleetLoad load(fleet, options);
  ASSERT_TRUE(load.AwaitAnswers(100));
  auto jobs = load.Stop();
  EXPECT_EQ(CountJobsByCode(jobs)["none"], jobs.size());
  const SubmittedJob& first = jobs.front();
  auto again = CallHttp(fleet.Entries().back().httpAddress,
                        "GET",
                        "/v1/jobs/org/" + first.id,
                        "",
                        10s);
  EXPECT_EQ(again.body, first.reply.body);
  ExpectInvariants(fleet, jobs, options);
}

// Guards against interrupted requests and further starts after an agent was
// signalled to leave.
TEST(ProcessFleetTest, AgentLeavesWithoutInterruption)
{
  ProcessFleet fleet({});
  FleetLoadOptions options;
  FleetLoad load(fleet, options);
  ASSERT_TRUE(load.AwaitAnswers(50));
  FleetAgent& leaving = fleet.Agents()[0];
  std::int64_t signalled = WallMilliseconds();
  leaving.process->Signal(SIGTERM);
  EXPECT_TRUE(leaving.process->EndsCleanly(kExitTimeout));
  ASSERT_TRUE(load.AwaitAnswers(200));
  auto jobs = load.Stop();
  EXPECT_EQ(CountJobsByCode(jobs)["none"], jobs.size());
  EXPECT_GT(ReadSummary(leaving, "starts"), 0);
  EXPECT_LE(ReadSummary(leaving, "last_start_ms"),
            signalled + kLeaveAllowance.count());
  ExpectInvariants(fleet, jobs, options);
}

// Guards against requests that are interrupted when the only entry stops.
TEST(ProcessFleetTest, EntryAnswersPendingRequestsBeforeItEnds)
{
  ProcessFleet fleet({});
  FleetLoadOptions options;
  options.threads = 4;
  options.runTimeMs = 1500;
  FleetLoad load(fleet, options);
  // From now on all callers wait for the answer to their first job.
  ASSERT_TRUE(WaitUntil(
    [&] {
      return CountStarts(fleet).size() == options.threads * options.tasks;
    },
    20s));
  fleet.Entries()[0].process->Signal(SIGTERM);
  EXPECT_TRUE(fleet.Entries()[0].process->EndsCleanly(kExitTimeout));
  auto jobs = load.Stop();
  auto codes = CountJobsByCode(jobs);
  EXPECT_EQ(codes["none"], options.threads);
  ExpectInvariants(fleet, jobs, options);
}

// Guards against a request that is refused because its entry was stopped before
// it had read the request, on a connection that it had accepted before.
TEST(ProcessFleetTest, StoppingEntryServesAcceptedConnections)
{
  ProcessFleet fleet({});
  fleet.Publish("quote", "org");
  FleetEntry& entry = fleet.Entries()[0];
  auto body = [](unsigned aRunTimeMs) {
    return fmt::format(
      R"({{"organisation":"org","template":"quote","job_id":"{}",
          "deadline_ms":20000,"tasks":[{{"run_time_ms":{}}}]}})",
      CreateJobId(std::chrono::system_clock::now()).ToString(),
      aRunTimeMs);
  };
  // The answer shows that the connection was accepted.
  RawClient caller(*transport::ParseEndpoint(entry.httpAddress));
  caller.Send("GET /v1/status HTTP/1.1\r\nHost: entry\r\n\r\n");
  ASSERT_NE(caller.ReadUntil("200 OK", 1, 10s), "");
  // The entry does not end while this job is pending.
  auto pending = std::async(std::launch::async, [&] {
    return CallHttp(entry.httpAddress, "POST", "/v1/jobs", body(5000), 20s);
  });
  ASSERT_TRUE(WaitUntil([&] { return CountStarts(fleet).size() == 1; }, 20s));
  entry.process->Signal(SIGTERM);
  ASSERT_EQ(entry.process->AwaitWord("name=process_stopping"), "");
  const std::string request = body(20);
  caller.Send(fmt::format("POST /v1/jobs HTTP/1.1\r\nHost: entry\r\n"
                          "Content-Length: {}\r\n\r\n{}",
                          request.size(),
                          request));
  std::string replies = caller.ReadAll(20s);
  EXPECT_EQ(CountOccurrences(replies, "200 OK"), 2u) << replies;
  EXPECT_TRUE(caller.IsClosed());
  EXPECT_EQ(pending.get().status, 200);
  EXPECT_TRUE(entry.process->EndsCleanly(kExitTimeout));
}

// Guards against tasks that run twice and against wrong answers to callers when
// an agent is killed with tasks in progress.
TEST(ProcessFleetTest, AgentIsKilledUnderLoad)
{
  ProcessFleet fleet({});
  FleetLoadOptions options;
  FleetLoad load(fleet, options);
  ASSERT_TRUE(load.AwaitAnswers(50));
  fleet.Agents()[0].process->Signal(SIGKILL);
  fleet.Agents()[0].process->EndsCleanly(kExitTimeout);
  ASSERT_TRUE(load.AwaitAnswers(200));
  auto jobs = load.Stop();
  auto codes = CountJobsByCode(jobs);
  EXPECT_GT(codes["none"], 0u);
  EXPECT_EQ(codes["none"] + codes["outcome_unknown"], jobs.size());
  ExpectInvariants(fleet, jobs, options);
}

// Guards against second starts and inconsistent answers when an agent is paused
// and sends its results late.
TEST(ProcessFleetTest, AgentIsPausedUnderLoad)
{
  ProcessFleet fleet({});
  FleetLoadOptions options;
  FleetLoad load(fleet, options);
  ASSERT_TRUE(load.AwaitAnswers(50));
  fleet.Agents()[0].process->Signal(SIGSTOP);
  std::this_thread::sleep_for(3s);
  fleet.Agents()[0].process->Signal(SIGCONT);
  ASSERT_TRUE(load.AwaitAnswers(200));
  auto jobs = load.Stop();
  EXPECT_GT(CountJobsByCode(jobs)["none"], 0u);
  ExpectInvariants(fleet, jobs, options);
}

}
}
