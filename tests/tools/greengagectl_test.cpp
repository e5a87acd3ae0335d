#include "tools/greengagectl.h"

#include <map>

#include <gtest/gtest.h>

#include "protocol/json_reader.h"
#include "tools/greengagectl_table.h"

namespace greengage::tools {
namespace {

using transport::HttpClient;
using transport::HttpRequest;
using transport::TransportError;
using transport::TransportErrorKind;

constexpr const char* kId = "0190a1b2-c3d4-7abc-8def-0123456789ab";

/** Runs greengagectl with predefined answers of two entries. */
class GreengagectlTest : public testing::Test
{
protected:
  int Run(std::vector<std::string> aArguments)
  {
    std::vector<const char*> arguments{ "greengagectl", "--entry",
                                        "127.0.0.1:1",  "--entry",
                                        "127.0.0.1:2",  "--json" };
    for (const std::string& argument : aArguments) {
      arguments.push_back(argument.c_str());
    }
    requests.clear();
    output.clear();
    ControlCommandHooks hooks;
    hooks.send = [this](const std::string& aEntry,
                        const HttpRequest& aRequest,
                        std::chrono::milliseconds) {
      requests.emplace_back(aEntry, aRequest);
      return answers.at(aEntry);
    };
    hooks.print = [this](std::string_view aText) { output += aText; };
    hooks.printError = [this](std::string_view aText) { errors += aText; };
    hooks.createJobId = [] { return *state::JobId::Parse(kId); };
    hooks.readFile = [this](const std::string& aPath) {
      auto found = files.find(aPath);
      return found == files.end() ? std::nullopt : std::optional(found->second);
    };
    return RunGreengagectl(
      static_cast<int>(arguments.size()), arguments.data(), hooks);
  }

  void SetAnswer(unsigned aStatus, const std::string& aBody)
  {
    answers["127.0.0.1:1"] = transport::HttpResponse{ aStatus, aBody };
  }

  void FailAtFirstEntry(TransportErrorKind aKind)
  {
    answers["127.0.0.1:1"] = tl::unexpected(TransportError{ aKind, "failed" });
    answers["127.0.0.1:2"] = transport::HttpResponse{ 200, "{}" };
  }

  std::map<std::string, HttpClient::Result> answers;
  std::map<std::string, std::string> files;
  std::vector<std::pair<std::string, HttpRequest>> requests;
  std::string output;
  std::string errors;
};

const std::vector<std::string> kSubmit{
  "job", "submit", "--organisation", "o",      "--template",
  "t",   "--task", R"({"a":[1]})",   "--task", R"([1,"x,y"])"
};

// Guards against a retry at the next entry under another job ID, and against
// payloads that are split or changed when the command line is parsed.
TEST_F(GreengagectlTest, SubmitKeepsTheJobIdAtTheNextEntry)
{
  FailAtFirstEntry(TransportErrorKind::eBroken);
  EXPECT_EQ(Run(kSubmit), 0);
  ASSERT_EQ(requests.size(), 2u);
  EXPECT_EQ(requests[0].second, requests[1].second);
  auto body = protocol::ParseJson(requests[1].second.body);
  EXPECT_EQ(*body,
            *protocol::ParseJson(
              std::string(R"({"organisation":"o","template":"t","job_id":")") +
              kId + R"(","tasks":[{"a":[1]},[1,"x,y"]]})"));
  EXPECT_NE(errors.find(kId), std::string::npos);
}

// Guards against reporting a job as not run that the first entry may have
// accepted.
TEST_F(GreengagectlTest, RefusalAfterALostAnswerIsUnknown)
{
  FailAtFirstEntry(TransportErrorKind::eTimeout);
  answers["127.0.0.1:2"] = transport::HttpResponse{
    503, R"({"run":"not_run","code":"shard_unavailable"})"
  };
  EXPECT_EQ(Run(kSubmit), 4);
  FailAtFirstEntry(TransportErrorKind::eNotConnected);
  answers["127.0.0.1:2"] = transport::HttpResponse{
    503, R"({"run":"not_run","code":"shard_unavailable"})"
  };
  EXPECT_EQ(Run(kSubmit), 1);
}

// Guards against a retried publication that is refused because its first
// attempt was already applied.
TEST_F(GreengagectlTest, PublicationIsRetriedOnlyIfNotReceived)
{
  std::vector<std::string> put{
    "template",       "put", "quote", "--document", R"({"memory_mb":1})",
    "--base-version", "3"
  };
  FailAtFirstEntry(TransportErrorKind::eNotConnected);
  EXPECT_EQ(Run(put), 0);
  EXPECT_EQ(requests.size(), 2u);
  EXPECT_EQ(requests[1].second,
            (HttpRequest{ "PUT",
                          "/v1/templates/quote",
                          R"({"memory_mb":1,"base_version":3})" }));
  FailAtFirstEntry(TransportErrorKind::eBroken);
  EXPECT_EQ(Run(put), 4);
  EXPECT_EQ(requests.size(), 1u);
}

// Guards against exit codes by which a script cannot distinguish failures.
TEST_F(GreengagectlTest, ExitCodesDistinguishFailures)
{
  SetAnswer(409, R"({"run":"not_run","code":"version_conflict"})");
  EXPECT_EQ(Run({ "organisation", "delete", "o", "--base-version", "1" }), 5);
  SetAnswer(503, R"({"run":"unknown","code":"log_unavailable"})");
  EXPECT_EQ(Run({ "organisation", "put", "o" }), 4);
  SetAnswer(502, R"({"run":"ran","code":"task_failed"})");
  EXPECT_EQ(Run({ "job", "show", "o", kId }), 6);
  EXPECT_EQ(requests[0].second.target, std::string("/v1/jobs/o/") + kId);
  SetAnswer(404, R"({"run":"unknown","code":"unknown_job"})");
  EXPECT_EQ(Run({ "job", "cancel", "o", kId }), 4);
  answers["127.0.0.1:1"] = answers["127.0.0.1:2"] =
    tl::unexpected(TransportError{ TransportErrorKind::eNotConnected, "no" });
  EXPECT_EQ(Run({ "status" }), 3);
  answers["127.0.0.1:1"] = answers["127.0.0.1:2"] = tl::unexpected(
    TransportError{ TransportErrorKind::eConnectionRefused, "no" });
  EXPECT_EQ(Run({ "status" }), 3);
}

// Guards against sending a request with invalid arguments.
TEST_F(GreengagectlTest, RefusesInvalidArgumentsBeforeSending)
{
  files["bad.json"] = R"({"memory_mb":"x"})";
  for (const std::vector<std::string>& arguments :
       std::vector<std::vector<std::string>>{
         { "template", "put", "quote", "--file", "bad.json" },
         { "template", "validate", "quote", "--file", "bad.json" },
         { "template", "put", "quote", "--file", "none.json" },
         { "template", "put", "a/b" },
         { "job", "show", "o", "no-id" },
         { "job", "submit", "--organisation", "o" },
         { "worker", "drain", "7" },
         { "shard-recover", "0" },
         { "unknown" } }) {
    EXPECT_EQ(Run(arguments), 2) << arguments[0];
    EXPECT_TRUE(requests.empty());
  }
  EXPECT_NE(errors.find("memory_mb: must be an integer"), std::string::npos);
  SetAnswer(200, "{}");
  EXPECT_EQ(Run({ "shard-recover", "2", "--members-dead" }), 0);
  EXPECT_EQ(requests[0].second.target, "/v1/shards/2/recover");
}

// Guards against misaligned columns and missing values.
TEST_F(GreengagectlTest, FormatsTables)
{
  auto value = *protocol::ParseJson(
    R"({"version":3,"templates":[{"name":"a","document":{"memory_mb":10}},)"
    R"({"name":"long","x":null}]})");
  EXPECT_EQ(FormatObject(value),
            "version: 3\n\ntemplates\nname  document.memory_mb  x\n"
            "a     10                  -\nlong  -                   null\n");
  std::string metrics = "# HELP x\nx{a=\"b c\"} 1.5\ny +Inf\n";
  EXPECT_EQ(FormatMetrics(metrics),
            "name        value\nx{a=\"b c\"}  1.5\ny           +Inf\n");
  EXPECT_EQ(*protocol::ParseJson(MetricsToJson(metrics)),
            *protocol::ParseJson(R"({"x{a=\"b c\"}":1.5,"y":"+Inf"})"));
}

}
}
