#include <future>

#include "platform/platform_process_fixture.h"

namespace greengage::testing_support {
namespace {

// Guards against programs whose modules pass their tests but do not work
// together: settings, configuration, announcement, job, signals.
TEST_F(PlatformProcessTest, ServesJobsAndStopsCleanly)
{
  store_.Publish(Configuration(3, ""));
  StartEntry();
  StartAgent();
  ASSERT_TRUE(AwaitReady());
  for (std::uint64_t job = 1; job <= 5; ++job) {
    HttpReply reply = Submit(job);
    EXPECT_EQ(reply.status, 200) << reply.body;
    EXPECT_EQ(reply.body, R"({"state":"completed"})");
  }
  EXPECT_EQ(server_.StartCount(), 20u);
  HttpReply pending = CallHttp(Address(callerPort_), "GET", "/p/", "", 1s);
  EXPECT_EQ(pending.body, R"({"pending":0})");
  EXPECT_EQ(CallHttp(Address(callerPort_), "GET", "/q/", "", 1s).status, 404);
  std::string large = R"({"spec":")" + std::string(400, 'x') +
                      R"(","bestEffort":true,"steps":[{"count":1}]})";
  EXPECT_EQ(
    CallHttp(Address(callerPort_), "POST", "/p/00000000000000ff", large, 1s)
      .status,
    413);
  entry_->Signal(SIGHUP);
  EXPECT_NE(entry_->AwaitWord("name=settings_reloaded"), "none");
  auto last = std::async(std::launch::async, [this] { return Submit(6); });
  std::this_thread::sleep_for(20ms);
  entry_->Signal(SIGTERM);
  EXPECT_EQ(last.get().status, 200);
  EXPECT_TRUE(entry_->EndsCleanly(6s)) << entry_->Output();
  agent_->Signal(SIGTERM);
  EXPECT_TRUE(agent_->EndsCleanly(6s)) << agent_->Output();
}

// Guards against a server that starts a task with another spec than the caller
// sent: U+0000, which JSON strings may contain, cut the spec on its way to the
// agent.
TEST_F(PlatformProcessTest, ServerGetsTheSpecThatTheCallerSent)
{
  store_.Publish(Configuration(3, ""));
  StartEntry();
  StartAgent();
  ASSERT_TRUE(AwaitReady());
  const std::map<std::string, std::pair<const char*, std::string>> jobs{
    { "0000000000000001", { R"(\u0000)", std::string(1, '\0') } },
    { "0000000000000002", { R"(a\u0000b)", std::string("a\0b", 3) } },
    { "0000000000000003", { R"(\"\\\n\u007f)", "\"\\\n\x7f" } },
    { "0000000000000004",
      { R"(\ud83d\ude00 \u00e4)", "\xf0\x9f\x98\x80 \xc3\xa4" } },
    { "0000000000000005", { "", "" } },
  };
  for (const auto& [job, spec] : jobs) {
    ASSERT_EQ(SubmitSpec(job, spec.first).status, 200) << job;
  }
  auto specs = server_.Specs();
  EXPECT_EQ(specs.size(), 2 * jobs.size());
  for (const auto& [task, spec] : specs) {
    EXPECT_EQ(spec, jobs.at(task.substr(0, 16)).second) << task;
  }
}

// Guards against a server that starts tasks of a job that no caller sent: the
// letters of an ID reached it in lower case.
TEST_F(PlatformProcessTest, ServerGetsTheJobIdThatTheCallerSent)
{
  store_.Publish(Configuration(3, ""));
  StartEntry();
  StartAgent();
  ASSERT_TRUE(AwaitReady());
  for (const char* job :
       { "00AbCdEf90000001", "00abcdef90000001", "00ABCDEF90000001" }) {
    ASSERT_EQ(SubmitSpec(job, job).status, 200) << job;
    EXPECT_EQ(server_.Specs()[std::string(job) + ".0.0.1"], job);
  }
  EXPECT_EQ(server_.Specs().size(), 6u);
  server_.SetWork(2000);
  auto job = std::async(std::launch::async,
                        [this] { return SubmitSpec("00AbCdEf90000002", ""); });
  std::this_thread::sleep_for(300ms);
  auto cancel = [this](const std::string& aJob) {
    return CallHttp(Address(callerPort_), "DELETE", "/p/" + aJob, "", 1s)
      .status;
  };
  EXPECT_EQ(cancel("00abcdef90000002"), 410);
  EXPECT_EQ(cancel("00AbCdEf90000002"), 200);
  EXPECT_EQ(job.get().body, R"({"state":"cancelled"})");
}

// Guards against a status page that does not show the entry's view of the
// configuration and the servers.
TEST_F(PlatformProcessTest, StatusShowsConfigurationAndServers)
{
  store_.Publish(Configuration(3, ""));
  StartEntry();
  StartAgent();
  ASSERT_TRUE(AwaitReady());
  std::string status =
    CallHttp(Address(metricsPort_), "GET", "/v1/status", "", 1s).body;
  for (const char* part : { R"("ready":true)",
                            R"("configuration":3)",
                            R"("condition":"ready")",
                            R"("capacity_millicores":8000)" }) {
    EXPECT_NE(status.find(part), std::string::npos) << part << "\n" << status;
  }
  EXPECT_EQ(Submit(1).status, 200);
  std::string metrics =
    CallHttp(Address(metricsPort_), "GET", "/metrics", "", 1s).body;
  EXPECT_NE(metrics.find("greengage_jobs_ended_total"), std::string::npos)
    << metrics;
}

// Guards against a heartbeat of another writer that ends the agent, replaces
// its server or takes much memory.
TEST_F(PlatformProcessTest, OddHeartbeatsDoNotReplaceTheServer)
{
  store_.Publish(Configuration(3, ""));
  StartEntry();
  StartAgent();
  ASSERT_TRUE(AwaitReady());
  auto announce = [&](const std::string& aBody) {
    return CallHttp(Address(announcePort_),
                    "POST",
                    "/-/instances/i-odd/heartbeat",
                    aBody,
                    1s)
      .status;
  };
  const std::string rest = R"("state":"ready","seq":1,"clockMs":9,
                              "capacity":{"cpu":16000,"memMb":32768})";
  EXPECT_EQ(announce(R"({"born":9007199254740992,)" + rest + "}"), 400);
  EXPECT_EQ(announce(R"({"service":"portal","born":18446744073709551615,)" +
                     rest + "}"),
            400);
  EXPECT_EQ(announce(R"({"service":"portal","born":9007199254740992,
                         "address":"10.0.0.9:99999999999",)" +
                     rest + "}"),
            400);
  EXPECT_EQ(announce(std::string(100'000, '[')), 400);
  EXPECT_EQ(announce(R"({"odd":")" + std::string(1'000'000, 'x') + "\"}"), 413);
  EXPECT_EQ(Submit(1).status, 200) << agent_->Output();
}

// Guards against a configuration change that takes effect later than 2 s.
TEST_F(PlatformProcessTest, ConfigurationChangesTakeEffect)
{
  store_.Publish(Configuration(3, "elsewhere"));
  StartEntry();
  StartAgent();
  ASSERT_TRUE(AwaitReady());
  EXPECT_EQ(Submit(1).status, 404);
  store_.Publish(Configuration(9, ""));
  int status = 404;
  for (int i = 0; i < 40 && status == 404; ++i) {
    std::this_thread::sleep_for(50ms);
    status = Submit(10 + static_cast<std::uint64_t>(i)).status;
  }
  EXPECT_EQ(status, 200);
}

// Guards against an odd record among those of the operator that ends the entry
// or keeps it from following the configuration.
TEST_F(PlatformProcessTest, OddRecordsDoNotStopTheConfiguration)
{
  store_.Publish(Configuration(3, "elsewhere"));
  StartEntry();
  StartAgent();
  ASSERT_TRUE(AwaitReady());
  store_.AppendRecord("");
  store_.AppendRecord("\xff{}");
  store_.Publish(R"({"version":18446744073709551615,"routes":[]})");
  store_.Publish(std::string(100'000, '['));
  store_.Publish("\xff\xfe");
  store_.Publish(Configuration(9, ""));
  int status = 404;
  for (int i = 0; i < 40 && status == 404; ++i) {
    std::this_thread::sleep_for(50ms);
    status = Submit(10 + static_cast<std::uint64_t>(i)).status;
  }
  EXPECT_EQ(status, 200) << entry_->Output();
}

// Guards against an entry that never gets a configuration because other keys
// fill the first page of the listing.
TEST_F(PlatformProcessTest, ConfigurationIsFoundOnALaterPage)
{
  store_.AddOtherKeys(1200);
  store_.Publish(Configuration(3, ""));
  StartEntry();
  StartAgent();
  ASSERT_TRUE(AwaitReady());
  EXPECT_EQ(Submit(1).status, 200);
}

// Guards against an entry that cannot start while the store is unavailable,
// although a peer has the configuration.
TEST_F(PlatformProcessTest, ConfigurationIsReadFromAPeerWithoutTheStore)
{
  store_.Publish(Configuration(3, ""));
  StartEntry();
  StartAgent();
  ASSERT_TRUE(AwaitReady());
  // An entry that is killed before a peer holds a copy takes the only one with
  // it; DocumentExchangeTest covers how soon an agent is offered the document.
  ASSERT_EQ(agent_->AwaitWord(" outcome="), "complete") << agent_->Output();
  store_.SetAvailable(false);
  entry_.reset();
  StartEntry();
  ASSERT_TRUE(AwaitReady());
  EXPECT_EQ(Submit(100).status, 200);
}

// Guards against processes that never join the fleet because their seeds, or
// the address of the store, changed without a signal.
TEST_F(PlatformProcessTest, ChangedSettingsApplyWithoutASignal)
{
  store_.Publish(Configuration(3, ""));
  std::string store = std::exchange(storeAddress_, Address(ReservePort()));
  StartEntry();
  seedPort_ = ReservePort();
  StartAgent();
  ASSERT_EQ(entry_->AwaitWord("name=process_started"), "");
  std::this_thread::sleep_for(500ms);
  EXPECT_EQ(CallHttp(Address(readyPort_), "GET", "/-/ready", "", 1s).status,
            503);
  storeAddress_ = store;
  seedPort_ = controlPort_;
  WriteSettingsTo(files_[0], EntryListen(), "");
  WriteSettingsTo(files_[1], AgentListen(), serverAddress_);
  ASSERT_TRUE(AwaitReady());
  EXPECT_EQ(Submit(1).status, 200);
  // An invalid file leaves the current settings in force.
  WriteSettingsTo(files_[0], R"("control":7)", "");
  EXPECT_NE(entry_->AwaitWord("name=settings_refused"), "none");
  EXPECT_EQ(Submit(2).status, 200);
}

// Guards against a process that starts with invalid settings, or whose error
// message does not name the invalid field.
TEST_F(PlatformProcessTest, RefusesInvalidSettings)
{
  std::string path = WriteSettings(R"("control":7)", "");
  ChildProcess entry("greengage-platform-entry",
                     { "--settings", path, "--check" });
  EXPECT_FALSE(entry.EndsCleanly(5s));
  EXPECT_NE(entry.Output().find("control"), std::string::npos)
    << entry.Output();
}

}
}
