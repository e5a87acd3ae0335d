#include <thread>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "daemon/entry_process.h"
#include "support/raw_client.h"
#include "tools/fake_log.h"
#include "transport/endpoint.h"

namespace greengage::daemon {
namespace {

using namespace std::chrono_literals;
using testing::AllOf;
using testing::HasSubstr;
using testing::StartsWith;
using testing_support::RawClient;

constexpr auto kPatience = 10s;

/** A whole entry without agents, on free loopback ports. */
class EntryHttpTest : public testing::Test
{
protected:
  EntryHttpTest()
  {
    auto log = log_.Start();
    EXPECT_TRUE(log);
    logTraffic_.Start();
    EntrySettings settings;
    settings.httpAddress = "127.0.0.1:0";
    settings.logAddress = transport::ToString(*log);
    entry_ = std::make_unique<EntryProcess>(settings);
    EXPECT_TRUE(entry_->Start());
    AwaitOwner();
  }

  ~EntryHttpTest() override
  {
    entry_.reset();
    logTraffic_.Stop();
  }

  /** Requests are refused for another reason until there is an owner. */
  void AwaitOwner()
  {
    for (int i = 0; i < 200; ++i) {
      if (Request("GET", "/v1/status", "").find("\"owner_known\":true") !=
          std::string::npos) {
        return;
      }
      std::this_thread::sleep_for(50ms);
    }
    ADD_FAILURE() << "the entry never owns its shard";
  }

  std::string Request(const std::string& aMethod,
                      const std::string& aTarget,
                      const std::string& aBody)
  {
    RawClient client(entry_->HttpEndpoint());
    client.Send(aMethod + " " + aTarget +
                " HTTP/1.1\r\nConnection: close\r\nContent-Length: " +
                std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
    return client.ReadAll(kPatience);
  }

  transport::TrafficPool logTraffic_{ 1 };
  tools::FakeLog log_{ logTraffic_, "127.0.0.1:0", {} };
  std::unique_ptr<EntryProcess> entry_;
};

struct BadCallCase
{
  const char* name;
  const char* method;
  const char* target;
  std::string body;
  const char* status;
  const char* code;
  const char* message;
};

class EntryBadCallTest
  : public EntryHttpTest
  , public testing::WithParamInterface<BadCallCase>
{};

// Guards against bad calls that are run, that end the entry, or whose error
// does not say what is wrong.
TEST_P(EntryBadCallTest, IsRefusedWithItsReason)
{
  const BadCallCase& call = GetParam();
  EXPECT_THAT(Request(call.method, call.target, call.body),
              AllOf(StartsWith(std::string("HTTP/1.1 ") + call.status),
                    HasSubstr("\"status\":\"failed\",\"run\":\"not_run\""),
                    HasSubstr(std::string("\"code\":\"") + call.code + "\""),
                    HasSubstr(call.message)));
  EXPECT_THAT(Request("GET", "/v1/status", ""), StartsWith("HTTP/1.1 200 "));
}

std::string
Nested(int aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

constexpr const char* kBad = "bad_request";
constexpr const char* kJob =
  "/v1/jobs/org/01a240c0-fc48-7d40-a18b-42bf5c80806d";

INSTANTIATE_TEST_SUITE_P(
  All,
  EntryBadCallTest,
  testing::Values(
    BadCallCase{ "Empty", "POST", "/v1/jobs", "", "400", kBad, "invalid JSON" },
    BadCallCase{ "Cut", "POST", "/v1/jobs", "{\"a\":", "400", kBad, "byte" },
    BadCallCase{ "NoObject", "POST", "/v1/jobs", "[]", "400", kBad, "object" },
    BadCallCase{ "Deep",
                 "POST",
                 "/v1/jobs",
                 "{\"tasks\":" + Nested(100'000) + "}",
                 "400",
                 kBad,
                 "invalid JSON" },
    BadCallCase{ "Duplicate",
                 "POST",
                 "/v1/jobs",
                 R"({"template":"a","template":"b"})",
                 "400",
                 kBad,
                 "\"field\":\"template\",\"message\":\"field appears twice" },
    BadCallCase{ "WrongType",
                 "POST",
                 "/v1/jobs",
                 R"({"organisation":1,"template":"a","tasks":[1]})",
                 "400",
                 kBad,
                 "\"field\":\"organisation\"" },
    BadCallCase{ "UnknownField",
                 "POST",
                 "/v1/jobs",
                 R"({"organisation":"o","template":"a","tasks":[1],"x":1})",
                 "400",
                 kBad,
                 "\"field\":\"x\"" },
    BadCallCase{ "NoTasks",
                 "POST",
                 "/v1/jobs",
                 R"({"organisation":"o","template":"a","tasks":[]})",
                 "400",
                 kBad,
                 "\"field\":\"tasks\"" },
    BadCallCase{ "UnknownOrganisation",
                 "POST",
                 "/v1/jobs",
                 R"({"organisation":"o","template":"a","tasks":[1]})",
                 "404",
                 "unknown_organisation",
                 "\\\"o\\\"" },
    BadCallCase{ "Method", "DELETE", "/v1/jobs", "", "405", kBad, "POST" },
    BadCallCase{ "JobMethod", "PUT", kJob, "", "405", kBad, "GET and DELETE" },
    BadCallCase{ "Path", "GET", "/v2/x", "", "404", kBad, "no such resource" },
    BadCallCase{ "JobId", "GET", "/v1/jobs/o/x", "", "400", kBad, "job_id" },
    BadCallCase{ "Encoding", "GET", "/v1/%zz", "", "400", kBad, "byte 4" },
    BadCallCase{ "EncodingCut", "GET", "/v1/%4", "", "400", kBad, "byte 4" },
    BadCallCase{ "EncodedSlash",
                 "PUT",
                 "/v1/templates/a%2Fb",
                 "{}",
                 "400",
                 kBad,
                 "percent-encoding" },
    BadCallCase{ "EncodedSpace",
                 "PUT",
                 "/v1/templates/a%20b",
                 "{}",
                 "400",
                 kBad,
                 "1 to 64 characters" },
    // The path is shorter than its prefix and suffix together.
    BadCallCase{ "Drain", "POST", "/v1/workers/drain", "", "404", kBad, "" }),
  [](const auto& aInfo) { return aInfo.param.name; });

// Guards against a percent-encoded name that is taken for another resource.
TEST_F(EntryHttpTest, DecodesPaths)
{
  EXPECT_THAT(Request("GET", "/v1/st%61tus?x=1", ""),
              AllOf(StartsWith("HTTP/1.1 200 "), HasSubstr("\"entry\"")));
}

// Guards against refusals that no counter shows.
TEST_F(EntryHttpTest, CountsRefusalsByReason)
{
  Request("POST", "/v1/jobs", "");
  Request(
    "POST", "/v1/jobs", R"({"organisation":"o","template":"a","tasks":[1]})");
  EXPECT_THAT(
    Request("GET", "/metrics", ""),
    AllOf(
      HasSubstr("greengage_answers_total{code=\"bad_request\"} 1\n"),
      HasSubstr("greengage_answers_total{code=\"unknown_organisation\"} 1\n"),
      HasSubstr("greengage_requests_total{kind=\"job\"} 1\n")));
}

}
}
