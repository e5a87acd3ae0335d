#include <future>

#include "platform/platform_process_fixture.h"

// Jobs that a caller cancels, with the platform's programs as processes.
namespace greengage::testing_support {
namespace {

// Guards against a job that runs on after its cancel was acknowledged: the
// cancel reached another entry than the one that runs the job.
TEST_F(PlatformProcessTest, CancelAtAnotherEntryEndsTheJob)
{
  store_.Publish(Configuration(3, ""));
  StartEntry();
  StartAgent();
  ASSERT_TRUE(AwaitReady());
  unsigned otherPort = ReservePort();
  auto other = StartOtherEntry(otherPort);
  ASSERT_NE(other->AwaitWord("name=configuration_applied"), "none")
    << other->Output();
  // The entries exchange news as soon as they have found each other.
  std::this_thread::sleep_for(1500ms);
  constexpr unsigned kLongWorkMs = 4000;
  server_.SetWork(kLongWorkMs);
  auto job =
    std::async(std::launch::async, [this] { return Submit(7, kLongWorkMs); });
  std::this_thread::sleep_for(300ms);
  HttpReply cancelled = CallHttp(
    Address(otherPort), "DELETE", fmt::format("/p/{:016x}", 7), "", 1s);
  EXPECT_EQ(cancelled.status, 410);
  auto cancelledAt = std::chrono::steady_clock::now();
  HttpReply reply = job.get();
  EXPECT_LT(std::chrono::steady_clock::now() - cancelledAt, 3s);
  EXPECT_EQ(reply.body, R"({"state":"cancelled"})");
}

// Guards against a cancellation that is lost with the entry that acknowledged
// it, killed at once, and against a restarted entry that does not know the
// cancellations of before: both started the tasks of a late request.
TEST_F(PlatformProcessTest, CancelIsKnownAfterItsEntryIsKilledAndStartedAgain)
{
  store_.Publish(Configuration(3, ""));
  StartEntry();
  StartAgent();
  ASSERT_TRUE(AwaitReady());
  unsigned otherPort = ReservePort();
  auto other = StartOtherEntry(otherPort);
  ASSERT_NE(other->AwaitWord("name=configuration_applied"), "none")
    << other->Output();
  // The entries have found each other, and the agent both.
  std::this_thread::sleep_for(2000ms);
  constexpr std::uint64_t kFirstJob = 100;
  constexpr unsigned kJobs = 20;
  auto path = [](std::uint64_t aJob) {
    return fmt::format("/p/{:016x}", aJob);
  };
  // The last cancellation is followed by the kill as closely as possible.
  for (std::uint64_t job = kFirstJob; job < kFirstJob + kJobs; ++job) {
    auto sentAt = std::chrono::steady_clock::now();
    HttpReply reply =
      CallHttp(Address(callerPort_), "DELETE", path(job), "", 4s);
    EXPECT_EQ(reply.status, 410);
    EXPECT_LT(std::chrono::steady_clock::now() - sentAt, 4s);
  }
  entry_->Signal(SIGKILL);
  auto submit = [&](unsigned aPort, std::uint64_t aJob) {
    return CallHttp(Address(aPort),
                    "POST",
                    path(aJob),
                    R"({"spec":"x","bestEffort":true,"steps":[{"count":2,
                      "cpu":1000,"memMb":64,"estimateMs":60}]})",
                    10s)
      .body;
  };
  for (std::uint64_t job = kFirstJob; job < kFirstJob + kJobs; ++job) {
    EXPECT_EQ(submit(otherPort, job), R"({"state":"cancelled"})") << job;
  }
  StartEntry();
  ASSERT_TRUE(AwaitReady());
  for (std::uint64_t job = kFirstJob; job < kFirstJob + kJobs; ++job) {
    EXPECT_EQ(submit(callerPort_, job), R"({"state":"cancelled"})") << job;
  }
  EXPECT_EQ(server_.StartCount(), 0u);
  EXPECT_EQ(submit(callerPort_, 99), R"({"state":"completed"})");
}

}
}
