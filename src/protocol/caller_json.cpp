#include "protocol/caller_json.h"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include "protocol/json_reader.h"

namespace greengage::protocol {

namespace {

namespace json = boost::json;

std::string
Quote(std::string_view aText)
{
  return json::serialize(json::string(aText));
}

void
ReadTasks(JsonReader& aReader, state::JobSpec::Builder& aBuilder)
{
  if (aReader.Has("payload")) {
    if (aReader.Has("tasks")) {
      aReader.Fail("payload", "cannot be given together with tasks");
      return;
    }
    aBuilder.AddPayload(json::serialize(*aReader.ReadAny("payload")));
    return;
  }
  const json::array* tasks = aReader.ReadArray("tasks");
  if (!tasks) {
    return;
  }
  for (const json::value& task : *tasks) {
    aBuilder.AddPayload(json::serialize(task));
  }
}

tl::expected<state::JobId, state::StateError>
ReadJobId(JsonReader& aReader, const JobIdGenerator& aJobIdGenerator)
{
  if (!aReader.Has("job_id")) {
    return aJobIdGenerator();
  }
  return state::JobId::Parse(aReader.ReadString("job_id"));
}

void
ReadOptionalFields(JsonReader& aReader, state::JobSpec::Builder& aBuilder)
{
  if (aReader.Has("deadline_ms")) {
    aBuilder.SetDeadline(std::chrono::milliseconds(
      aReader.ReadUnsigned("deadline_ms", 1, state::kMaxDeadline.count())));
  }
  if (aReader.Has("urgency")) {
    aBuilder.SetUrgency(static_cast<std::uint8_t>(
      aReader.ReadUnsigned("urgency", 0, state::kMaxUrgency)));
  }
  if (aReader.Has("idempotent")) {
    aBuilder.SetIdempotent(aReader.ReadBool("idempotent"));
  }
}

}

tl::expected<state::JobSpec, ProtocolError>
DecodeJobRequest(std::string_view aBody, const JobIdGenerator& aJobIdGenerator)
{
  auto parsed = ParseJson(aBody);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  JsonReader reader(*parsed, "");
  reader.AllowOnly({ "organisation",
                     "template",
                     "job_id",
                     "tasks",
                     "payload",
                     "deadline_ms",
                     "urgency",
                     "idempotent" });
  state::JobSpec::Builder builder;
  std::string organisation = reader.ReadString("organisation");
  builder.SetTemplateName(reader.ReadString("template"));
  auto id = ReadJobId(reader, aJobIdGenerator);
  ReadTasks(reader, builder);
  ReadOptionalFields(reader, builder);
  if (!reader.Ok()) {
    return tl::unexpected(reader.Error());
  }
  if (!id) {
    return tl::unexpected(
      ProtocolError{ id.error().field, id.error().message });
  }
  builder.SetKey({ std::move(organisation), *id });
  auto spec = builder.Build();
  if (!spec) {
    return tl::unexpected(
      ProtocolError{ spec.error().field, spec.error().message });
  }
  return *std::move(spec);
}

std::string
EncodeJobAnswer(const state::JobKey& aKey, const state::JobOutcome& aOutcome)
{
  std::string body = fmt::format("{{\"job_id\":\"{}\"", aKey.id.ToString());
  if (!aOutcome.complete) {
    fmt::format_to(std::back_inserter(body),
                   ",\"status\":\"failed\",\"run\":\"{}\",\"code\":\"{}\","
                   "\"message\":{},\"retry_after_ms\":{}}}\n",
                   ToString(aOutcome.run),
                   ToString(aOutcome.code),
                   Quote(aOutcome.message),
                   aOutcome.retryAfter.count());
    return body;
  }
  body += ",\"status\":\"complete\",\"results\":[";
  for (std::size_t i = 0; i < aOutcome.results.size(); ++i) {
    if (i != 0) {
      body += ',';
    }
    // Results are JSON texts from the backend server, validated by its agent.
    body += aOutcome.results[i];
  }
  body += "]}\n";
  return body;
}

std::string
EncodeError(state::RefusalCode aCode,
            std::string_view aField,
            std::string_view aMessage)
{
  return fmt::format("{{\"status\":\"failed\",\"run\":\"not_run\",\"code\":"
                     "\"{}\",\"field\":{},\"message\":{}}}\n",
                     ToString(aCode),
                     Quote(aField),
                     Quote(aMessage));
}

unsigned
HttpStatus(const state::JobOutcome& aOutcome)
{
  using state::RefusalCode;
  if (aOutcome.complete) {
    return 200;
  }
  switch (aOutcome.code) {
    case RefusalCode::eBadRequest:
    case RefusalCode::eJobIdInFuture:
    case RefusalCode::eImpossibleRequirements:
      return 400;
    case RefusalCode::eUnknownJob:
    case RefusalCode::eUnknownTemplate:
    case RefusalCode::eUnknownOrganisation:
      return 404;
    case RefusalCode::eJobIdConflict:
    case RefusalCode::eVersionConflict:
    case RefusalCode::eCancelled:
      return 409;
    case RefusalCode::eJobIdExpired:
      return 410;
    case RefusalCode::eJobRunning:
      return 202;
    case RefusalCode::eQueueFull:
    case RefusalCode::eQuotaExceeded:
    case RefusalCode::eDeadlineUnreachable:
      return 429;
    case RefusalCode::eShardUnavailable:
    case RefusalCode::eNotOwner:
    case RefusalCode::eNoWorkers:
    case RefusalCode::eShuttingDown:
    case RefusalCode::eLogUnavailable:
      return 503;
    case RefusalCode::eDeadlineExceeded:
      return 504;
    case RefusalCode::eInternalError:
      return 500;
    default:
      return 502;
  }
}

std::string_view
ToString(state::RunState aRun)
{
  switch (aRun) {
    case state::RunState::eNotRun:
      return "not_run";
    case state::RunState::eRan:
      return "ran";
    case state::RunState::eUnknown:
      return "unknown";
  }
  return "unknown";
}

}
