#include <gtest/gtest.h>

#include "daemon/loopback_process.h"

namespace greengage::daemon {
namespace {

/** fake-log, two entries and an agent with its backend server. */
class ConfigurationProcessTest : public testing::Test
{
protected:
  void SetUp() override
  {
    logAddress_ = log_.WaitFor("listening on (\\S+)");
    ASSERT_FALSE(logAddress_.empty());
    StartEntry();
    StartEntry();
    std::string server = backend_.WaitFor("listening on (\\S+)");
    agent_ = std::make_unique<LoopbackProcess>(
      "greengage-agent",
      std::vector<std::string>{
        "--backend-address", server, "--seeds", peers_[0] + "," + peers_[1] });
    ASSERT_FALSE(agent_->WaitFor("(process_started)").empty());
  }

  void StartEntry()
  {
    std::vector<std::string> arguments{
      "--http-address", "127.0.0.1:0", "--log-address", logAddress_
    };
    if (!peers_.empty()) {
      arguments.insert(arguments.end(), { "--seeds", peers_[0] });
    }
    entries_.push_back(
      std::make_unique<LoopbackProcess>("greengage-entry", arguments));
    http_.push_back(entries_.back()->WaitFor(" http=(\\S+)"));
    peers_.push_back(entries_.back()->WaitFor(" peer=(\\S+)"));
    ASSERT_FALSE(peers_.back().empty());
  }

  void SetLog(const std::string& aBehaviour)
  {
    auto result = client_.Send(logAddress_, "POST", "/admin", aBehaviour);
    ASSERT_TRUE(result && result->status == 200);
  }

  transport::HttpResponse Put(std::size_t aEntry,
                              const std::string& aName,
                              const std::string& aBody)
  {
    auto result =
      client_.Send(http_[aEntry], "PUT", "/v1/templates/" + aName, aBody);
    return result ? *result : transport::HttpResponse{ 0 };
  }

  std::string Show(std::size_t aEntry)
  {
    auto result = client_.Send(http_[aEntry], "GET", "/v1/configuration");
    return result ? result->body : "";
  }

  /** Waits until the text shows in the configuration at an entry. */
  bool WaitForShow(std::size_t aEntry, const std::string& aText)
  {
    for (int i = 0; i < 600; ++i) {
      if (Show(aEntry).find(aText) != std::string::npos) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
  }

  LoopbackProcess log_{ "fake-log", { "--address", "127.0.0.1:0" } };
  LoopbackProcess backend_{ "fake-backend", { "--address", "127.0.0.1:0" } };
  std::string logAddress_;
  std::vector<std::unique_ptr<LoopbackProcess>> entries_;
  std::unique_ptr<LoopbackProcess> agent_;
  std::vector<std::string> http_;
  std::vector<std::string> peers_;
  LoopbackClient client_;
};

// Guards against a change that is answered as accepted but does not reach the
// other entry and the agent. The bound of 4 s is checked in virtual time; here
// the time is only reported.
TEST_F(ConfigurationProcessTest, ChangeReachesEveryProcess)
{
  SetLog(R"({"lose_answers":1})");
  auto start = std::chrono::steady_clock::now();
  auto answer = Put(0, "quote", R"({"memory_mb":64})");
  EXPECT_EQ(answer.status, 200u) << answer.body;
  EXPECT_TRUE(WaitForShow(1, R"("name":"quote","version":1)"));
  EXPECT_FALSE(
    agent_->WaitFor("(configuration_changed).* name=quote ").empty());
  auto taken = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::steady_clock::now() - start);
  RecordProperty("milliseconds", std::to_string(taken.count()));
  auto refused = Put(1, "quote", R"({"memory_mb":65})");
  EXPECT_EQ(refused.status, 409u);
  EXPECT_NE(refused.body.find("\"current_version\":1"), std::string::npos);
  auto deleted = client_.Send(
    http_[1], "DELETE", "/v1/templates/quote", R"({"base_version":1})");
  EXPECT_EQ(deleted->status, 200u) << deleted->body;
  EXPECT_TRUE(WaitForShow(0, R"("templates":[])"));
  auto status = client_.Send(logAddress_, "GET", "/admin");
  EXPECT_NE(status->body.find("\"next_offset\":2"), std::string::npos)
    << "a change was appended twice: " << status->body;
}

// Guards against configuration that is lost or goes back in an outage, at a
// running entry and at one that starts then.
TEST_F(ConfigurationProcessTest, OutageChangesNothingInForce)
{
  EXPECT_EQ(Put(0, "quote", "{}").status, 200u);
  EXPECT_TRUE(WaitForShow(1, R"("name":"quote","version":1)"));
  SetLog(R"({"outage":true})");
  EXPECT_TRUE(WaitForShow(0, R"("log_available":false)"));
  auto refused = Put(0, "other", "{}");
  EXPECT_EQ(refused.status, 503u);
  EXPECT_NE(refused.body.find(R"("run":"not_run","code":"log_unavailable")"),
            std::string::npos)
    << refused.body;
  StartEntry();
  EXPECT_TRUE(WaitForShow(2, R"("name":"quote","version":1)"));
  SetLog(R"({"outage":false})");
  EXPECT_TRUE(WaitForShow(2, R"("log_available":true)"));
  EXPECT_EQ(Put(2, "other", "{}").status, 200u);
  EXPECT_TRUE(WaitForShow(0, R"("version":2)"));
}

}
}
