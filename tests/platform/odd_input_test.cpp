#include <gtest/gtest.h>

#include "platform/caller_codec.h"
#include "platform/node_settings.h"
#include "platform/operator_codec.h"
#include "platform/server_codec.h"
#include "platform/store_client.h"
#include "platform/task_name.h"

// Input of other writers that no decoder of the platform may act on.
namespace greengage::platform {
namespace {

using namespace coordination;
using transport::HttpRequest;
using transport::HttpResponse;

HttpRequest
Post(std::string aBody)
{
  return { "POST",
           "/lohu930/5c0e7a21d94b36f8",
           std::move(aBody),
           { { "Host", "nony24.example" }, { "x-deadline-ms", "1500" } },
           1 };
}

HttpRequest
Heartbeat(std::string aBody)
{
  return { "POST", "/-/instances/i-7f3a/heartbeat", std::move(aBody), {}, 1 };
}

// Guards against exhausting the stack on deeply nested input, in every decoder
// of the platform's interfaces.
TEST(PlatformCodecTest, RefusesDeepNesting)
{
  constexpr std::size_t kDepth = 100'000;
  for (const std::string& nested :
       { std::string(kDepth, '['),
         std::string(kDepth, '[') + std::string(kDepth, ']') }) {
    for (const std::string& text : { nested, R"({"odd":)" + nested + "}" }) {
      EXPECT_FALSE(DecodeCallerRequest(Post(text)));
      EXPECT_FALSE(DecodeNotice(Heartbeat(text)));
      EXPECT_FALSE(DecodeConfiguration(text));
      EXPECT_FALSE(DecodeNewest(text, "config"));
      HttpResponse response;
      response.body = text;
      EXPECT_FALSE(DecodeRenewAnswer(response));
      response.status = 409;
      EXPECT_EQ(DecodeStartAnswer(response), StartAnswer::eNoAnswer);
      EXPECT_FALSE(DecodeNodeSettings(text));
    }
  }
}

// Guards against a crash or a long search on numbers and names that no writer
// of the platform uses.
TEST(PlatformCodecTest, RefusesOddNumbersAndNames)
{
  for (const char* odd : { "9223372036854775808",
                           "18446744073709551616",
                           "1e400",
                           "1e19",
                           "-1",
                           "0.5",
                           "true",
                           R"("1")",
                           "[]",
                           "{}" }) {
    for (const char* field :
         { "count", "cpu", "memMb", "gpu", "estimateMs", "maxPerServer" }) {
      std::string body = R"({"bestEffort":true,"steps":[{")" +
                         std::string(field) + "\":" + odd + "}]}";
      EXPECT_FALSE(DecodeCallerRequest(Post(body))) << body;
    }
    std::string after = R"({"bestEffort":true,"steps":[{"count":1},
                            {"count":1,"after":[)" +
                        std::string(odd) + "]}]}";
    EXPECT_FALSE(DecodeCallerRequest(Post(after))) << after;
    std::string capacity = R"({"service":"s","state":"ready",
                               "capacity":{"cpu":)" +
                           std::string(odd) + "}}";
    EXPECT_FALSE(DecodeNotice(Heartbeat(capacity))) << capacity;
  }
  for (const char* name : { "5c0e7a21d94b36f8.0.1.4294967296",
                            "5c0e7a21d94b36f8.0.1.-1",
                            "5c0e7a21d94b36f8.0.1.",
                            "5c0e7a21d94b36f8.0..1",
                            "-c0e7a21d94b36f8.0.1.1",
                            "0x0e7a21d94b36f8.0.1.1" }) {
    EXPECT_FALSE(DecodeTaskName(name)) << name;
  }
  HttpRequest late = Post(R"({"bestEffort":true,"steps":[{"count":1}]})");
  for (const char* odd : { "", "-1", "99999999999", "1e3", "5 ms" }) {
    late.headers = { { "X-Deadline-Ms", odd } };
    auto request = DecodeCallerRequest(late);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->callerTimeout, std::nullopt) << odd;
    EXPECT_EQ(coordination::TimeLimit({}, request->callerTimeout),
              std::chrono::milliseconds(60'000))
      << odd;
  }
}

}
}
