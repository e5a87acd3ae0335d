#include "tools/greengagectl_commands.h"

#include <sstream>

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include "protocol/caller_json.h"
#include "protocol/configuration_json.h"
#include "protocol/json_reader.h"
#include "state/names.h"
#include "state/process_id.h"
#include "tools/greengagectl_table.h"
#include "tools/job_explanation.h"

namespace greengage::tools {

namespace json = boost::json;
using state::ConfigurationKind;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

// Exceeds the time in which an entry answers any request other than a job.
constexpr std::chrono::milliseconds kRequestTimeout{ 10'000 };
// The entry answers a job by its deadline plus 1 s.
constexpr std::chrono::milliseconds kJobTimeoutMargin{ 5'000 };

std::string
DocumentPath(ConfigurationKind aKind, const std::string& aName)
{
  return (aKind == ConfigurationKind::eTemplate ? "/v1/templates/"
                                                : "/v1/organisations/") +
         aName;
}

/** Returns a text field of a JSON object; empty if it is missing. */
std::string
TextField(const json::value& aBody, std::string_view aField)
{
  const json::object* object = aBody.if_object();
  const json::value* value = object ? object->if_contains(aField) : nullptr;
  return value && value->is_string() ? std::string(value->get_string())
                                     : std::string();
}

ExitCode
ToExitCode(const HttpResponse& aResponse, const json::value& aBody)
{
  if (aResponse.status < 300) {
    return ExitCode::eSuccess;
  }
  std::string run = TextField(aBody, "run");
  if (TextField(aBody, "code") == "version_conflict") {
    return ExitCode::eVersionConflict;
  }
  if (run == "unknown") {
    return ExitCode::eUnknown;
  }
  if (run == "ran") {
    return ExitCode::eJobFailed;
  }
  return aResponse.status == 400 ? ExitCode::eInvalid : ExitCode::eRefused;
}

}

ControlCommands::ControlCommands(ControlCommandHooks aHooks,
                                 std::vector<std::string> aEntries,
                                 bool aJson)
  : hooks_(std::move(aHooks))
  , client_(std::move(aEntries), hooks_.send, hooks_.printError)
  , json_(aJson)
{
}

ExitCode
ControlCommands::Put(ConfigurationKind aKind,
                     const DocumentArguments& aArguments)
{
  auto body = ReadBody(aKind, aArguments);
  if (!body) {
    return body.error();
  }
  return Send({ "PUT", DocumentPath(aKind, aArguments.name), *body },
              kRequestTimeout,
              RetryPolicy::eNever);
}

ExitCode
ControlCommands::Delete(ConfigurationKind aKind,
                        const DocumentArguments& aArguments)
{
  if (!state::IsValidName(aArguments.name)) {
    return ReportInvalid("name", state::kNameRule);
  }
  std::string body =
    fmt::format("{{\"base_version\":{}}}", aArguments.baseVersion);
  return Send({ "DELETE", DocumentPath(aKind, aArguments.name), body },
              kRequestTimeout,
              RetryPolicy::eNever);
}

ExitCode
ControlCommands::Validate(ConfigurationKind aKind,
                          const DocumentArguments& aArguments)
{
  auto body = ReadBody(aKind, aArguments);
  if (!body) {
    return body.error();
  }
  hooks_.print(json_ ? "{\"valid\":true}\n" : "valid\n");
  return ExitCode::eSuccess;
}

ExitCode
ControlCommands::Submit(const JobArguments& aArguments)
{
  auto job = ReadJob(aArguments);
  if (!job) {
    return job.error();
  }
  if (!job->contains("job_id")) {
    (*job)["job_id"] = hooks_.createJobId().ToString();
  }
  std::string body = json::serialize(*job);
  auto spec = protocol::DecodeJobRequest(body, hooks_.createJobId);
  if (!spec) {
    return ReportInvalid(spec.error().field, spec.error().message);
  }
  // Printed before the request is sent, so that the job can be resubmitted
  // after any failure.
  hooks_.printError(fmt::format("job_id: {}\n", spec->Key().id.ToString()));
  std::string target = job->contains("payload") ? "/v1/requests" : "/v1/jobs";
  return Send({ "POST", target, body },
              spec->Deadline() + kJobTimeoutMargin,
              RetryPolicy::eAllowed);
}

ExitCode
ControlCommands::ShowJob(const std::string& aOrganisation,
                         const std::string& aJobId)
{
  return SendJobRequest("GET", aOrganisation, aJobId);
}

ExitCode
ControlCommands::CancelJob(const std::string& aOrganisation,
                           const std::string& aJobId)
{
  return SendJobRequest("DELETE", aOrganisation, aJobId);
}

ExitCode
ControlCommands::Show(const std::string& aPath)
{
  return Send({ "GET", aPath, "" }, kRequestTimeout, RetryPolicy::eAllowed);
}

ExitCode
ControlCommands::ShowCounters()
{
  auto answer = client_.Send(
    { "GET", "/metrics", "" }, kRequestTimeout, RetryPolicy::eAllowed);
  if (!answer) {
    return ReportFailure(answer.error());
  }
  if (answer->status != 200) {
    hooks_.printError(answer->body);
    return ExitCode::eRefused;
  }
  hooks_.print(json_ ? MetricsToJson(answer->body)
                     : FormatMetrics(answer->body));
  return ExitCode::eSuccess;
}

ExitCode
ControlCommands::Drain(const std::string& aProcessId)
{
  if (!state::ProcessId::Parse(aProcessId)) {
    return ReportInvalid("id", "must be 32 hexadecimal digits");
  }
  return Send({ "POST", "/v1/workers/" + aProcessId + "/drain", "{}" },
              kRequestTimeout,
              RetryPolicy::eAllowed);
}

ExitCode
ControlCommands::RecoverShard(std::uint32_t aShard)
{
  return Send({ "POST", fmt::format("/v1/shards/{}/recover", aShard), "{}" },
              kRequestTimeout,
              RetryPolicy::eNever);
}

tl::expected<std::string, ExitCode>
ControlCommands::ReadBody(ConfigurationKind aKind,
                          const DocumentArguments& aArguments)
{
  auto document = ReadObject(aArguments.file, aArguments.inlineText);
  if (!document) {
    return tl::unexpected(document.error());
  }
  if (!document->contains("base_version")) {
    (*document)["base_version"] = aArguments.baseVersion;
  }
  std::string body = json::serialize(*document);
  auto change =
    protocol::DecodePublication({ aKind, aArguments.name }, "validation", body);
  if (!change) {
    return tl::unexpected(
      ReportInvalid(change.error().field, change.error().message));
  }
  return body;
}

tl::expected<json::object, ExitCode>
ControlCommands::ReadJob(const JobArguments& aArguments)
{
  auto job = ReadObject(aArguments.file, "{}");
  if (!job) {
    return job;
  }
  auto set = [&](const char* aField, const std::string& aText) {
    if (!aText.empty()) {
      (*job)[aField] = aText;
    }
  };
  set("organisation", aArguments.organisation);
  set("template", aArguments.templateName);
  set("job_id", aArguments.jobId);
  if (aArguments.deadlineMs) {
    (*job)["deadline_ms"] = *aArguments.deadlineMs;
  }
  if (aArguments.urgency) {
    (*job)["urgency"] = *aArguments.urgency;
  }
  if (aArguments.idempotent) {
    (*job)["idempotent"] = true;
  }
  json::array tasks;
  for (std::size_t i = 0; i < aArguments.tasks.size(); ++i) {
    auto task = protocol::ParseJson(aArguments.tasks[i]);
    if (!task) {
      return tl::unexpected(
        ReportInvalid(fmt::format("tasks[{}]", i), task.error().message));
    }
    tasks.push_back(*std::move(task));
  }
  if (!tasks.empty()) {
    (*job)["tasks"] = std::move(tasks);
  }
  return job;
}

tl::expected<json::object, ExitCode>
ControlCommands::ReadObject(const std::string& aFile,
                            const std::string& aInline)
{
  std::string text = aInline;
  if (!aFile.empty()) {
    auto content = hooks_.readFile(aFile);
    if (!content) {
      return tl::unexpected(ReportInvalid(aFile, "cannot be read"));
    }
    text = *std::move(content);
  }
  auto value = protocol::ParseJson(text);
  if (!value) {
    return tl::unexpected(
      ReportInvalid(value.error().field, value.error().message));
  }
  if (!value->is_object()) {
    return tl::unexpected(ReportInvalid("", "must be a JSON object"));
  }
  return std::move(value->as_object());
}

ExitCode
ControlCommands::SendJobRequest(const std::string& aMethod,
                                const std::string& aOrganisation,
                                const std::string& aJobId)
{
  if (!state::IsValidName(aOrganisation)) {
    return ReportInvalid("organisation", state::kNameRule);
  }
  auto id = state::JobId::Parse(aJobId);
  if (!id) {
    return ReportInvalid(id.error().field, id.error().message);
  }
  std::string target =
    fmt::format("/v1/jobs/{}/{}", aOrganisation, id->ToString());
  return Send({ aMethod, target, "" }, kRequestTimeout, RetryPolicy::eAllowed);
}

ExitCode
ControlCommands::Send(const HttpRequest& aRequest,
                      std::chrono::milliseconds aTimeout,
                      RetryPolicy aRetry)
{
  auto answer = client_.Send(aRequest, aTimeout, aRetry);
  if (!answer) {
    return ReportFailure(answer.error());
  }
  auto body = protocol::ParseJson(answer->body);
  if (!body) {
    hooks_.printError(
      fmt::format("HTTP status {}: the answer is not JSON: {}\n",
                  answer->status,
                  body.error().message));
    return answer->status < 300 ? ExitCode::eSuccess : ExitCode::eRefused;
  }
  hooks_.print(json_ ? answer->body : FormatObject(*body));
  ExitCode result = ToExitCode(*answer, *body);
  bool refused = result == ExitCode::eRefused;
  if (refused && client_.EarlierEntryMayHaveReceived() &&
      aRequest.method != "GET") {
    hooks_.printError(
      "an earlier entry may have received the request and executed it\n");
    return ExitCode::eUnknown;
  }
  return result;
}

ExitCode
ControlCommands::ReportFailure(const transport::TransportError& aError)
{
  if (transport::NothingWasSent(aError.kind)) {
    hooks_.printError(
      "no entry could be reached; the request was not executed\n");
    return ExitCode::eUnreachable;
  }
  hooks_.printError("no entry answered; the request may have been executed\n");
  return ExitCode::eUnknown;
}

ExitCode
ControlCommands::ReportInvalid(std::string_view aField,
                               std::string_view aMessage)
{
  hooks_.printError(
    fmt::format("{}{}{}\n", aField, aField.empty() ? "" : ": ", aMessage));
  return ExitCode::eInvalid;
}

ExitCode
ControlCommands::Explain(const std::string& aJob,
                         const std::vector<std::string>& aLogs)
{
  JobExplanation explanation(aJob);
  for (const std::string& path : aLogs) {
    auto text = hooks_.readFile(path);
    if (!text) {
      return ReportInvalid("log", fmt::format("{} cannot be read", path));
    }
    std::istringstream lines(*text);
    for (std::string line; std::getline(lines, line);) {
      if (auto event = ParseLogLine(line)) {
        explanation.Add(*event);
      }
    }
  }
  hooks_.print(explanation.Text());
  return explanation.IsKnown() ? ExitCode::eSuccess : ExitCode::eRefused;
}

}
