#include "protocol/configuration_json.h"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include "protocol/caller_json.h"
#include "protocol/json_reader.h"
#include "state/names.h"

namespace greengage::protocol {

namespace {

namespace json = boost::json;
using state::ConfigurationChange;
using state::ConfigurationDocument;
using state::ConfigurationKey;
using state::ConfigurationKind;
using state::RefusalCode;
using std::chrono::milliseconds;

constexpr std::uint64_t kMaxUnsigned = 0xffffffff;
constexpr std::uint64_t kMaxVersion = 0x7fffffffffffffff;
constexpr std::string_view kBaseVersion = "base_version";

std::string
JoinPath(const std::string& aPath, const std::string& aField)
{
  return aPath.empty() ? aField : aPath + "." + aField;
}

template<class Value>
tl::expected<ConfigurationDocument, ProtocolError>
ToDocument(const JsonReader& aReader,
           tl::expected<Value, state::StateError> aValue,
           const std::string& aPath)
{
  if (!aReader.Ok()) {
    return tl::unexpected(aReader.Error());
  }
  if (!aValue) {
    return tl::unexpected(ProtocolError{ JoinPath(aPath, aValue.error().field),
                                         aValue.error().message });
  }
  return ConfigurationDocument(*std::move(aValue));
}

std::uint32_t
ReadCount(JsonReader& aReader, std::string_view aField)
{
  return static_cast<std::uint32_t>(
    aReader.ReadUnsigned(aField, 0, kMaxUnsigned));
}

tl::expected<ConfigurationDocument, ProtocolError>
DecodeTemplate(const std::string& aName,
               const json::value& aValue,
               const std::string& aPath)
{
  JsonReader reader(aValue, aPath);
  reader.AllowOnly(
    { "expected_run_time_ms", "task_timeout_ms", "memory_mb", "accelerators" });
  state::WorkTemplate::Builder builder;
  builder.SetName(aName);
  if (reader.Has("expected_run_time_ms")) {
    builder.SetExpectedRunTime(
      milliseconds(ReadCount(reader, "expected_run_time_ms")));
  }
  if (reader.Has("task_timeout_ms")) {
    builder.SetTaskTimeout(milliseconds(ReadCount(reader, "task_timeout_ms")));
  }
  if (reader.Has("memory_mb")) {
    builder.SetMemoryMb(ReadCount(reader, "memory_mb"));
  }
  if (reader.Has("accelerators")) {
    builder.SetAccelerators(ReadCount(reader, "accelerators"));
  }
  return ToDocument(reader, builder.Build(), aPath);
}

tl::expected<ConfigurationDocument, ProtocolError>
DecodeOrganisation(const std::string& aName,
                   const json::value& aValue,
                   const std::string& aPath)
{
  JsonReader reader(aValue, aPath);
  reader.AllowOnly(
    { "weight", "quota_slots", "max_slots", "max_queue_time_ms" });
  state::OrganisationParameters::Builder builder;
  builder.SetName(aName);
  if (reader.Has("weight")) {
    builder.SetWeight(reader.ReadNumber("weight"));
  }
  if (reader.Has("quota_slots")) {
    builder.SetQuotaSlots(ReadCount(reader, "quota_slots"));
  }
  if (reader.Has("max_slots")) {
    builder.SetMaxSlots(ReadCount(reader, "max_slots"));
  }
  if (reader.Has("max_queue_time_ms")) {
    builder.SetMaxQueueTime(
      milliseconds(ReadCount(reader, "max_queue_time_ms")));
  }
  return ToDocument(reader, builder.Build(), aPath);
}

/** Returns `base_version`, or 0, and removes the field from the body. */
tl::expected<std::uint64_t, ProtocolError>
ExtractBaseVersion(json::value& aBody)
{
  JsonReader reader(aBody, "");
  std::uint64_t version = 0;
  if (reader.Has(kBaseVersion)) {
    version = reader.ReadUnsigned(kBaseVersion, 0, kMaxVersion);
  }
  if (!reader.Ok()) {
    return tl::unexpected(reader.Error());
  }
  aBody.as_object().erase(kBaseVersion);
  return version;
}

std::string
EncodeEntries(const state::ConfigurationStore::Entries& aEntries,
              ConfigurationKind aKind)
{
  std::string list;
  for (const auto& [key, entry] : aEntries) {
    if (key.kind != aKind || entry.change.IsDeletion()) {
      continue;
    }
    // Names contain no characters that need escaping in JSON.
    fmt::format_to(std::back_inserter(list),
                   "{}{{\"name\":\"{}\",\"version\":{},\"document\":{}}}",
                   list.empty() ? "" : ",",
                   key.name,
                   entry.version,
                   EncodeDocument(entry.change.document));
  }
  return "[" + list + "]";
}

std::string
EncodeProcesses(const std::vector<ProcessVersion>& aProcesses)
{
  std::string list;
  for (const ProcessVersion& item : aProcesses) {
    fmt::format_to(
      std::back_inserter(list),
      "{}{{\"id\":\"{}\",\"role\":\"{}\",\"address\":\"{}\",\"version\":{}}}",
      list.empty() ? "" : ",",
      item.process.id.ToString(),
      item.process.role == coordination::ProcessRole::eEntry ? "entry"
                                                             : "agent",
      item.process.peerAddress,
      item.version);
  }
  return "[" + list + "]";
}

}

tl::expected<ConfigurationDocument, ProtocolError>
DecodeDocument(const ConfigurationKey& aKey,
               const json::value& aValue,
               const std::string& aPath)
{
  if (!state::IsValidName(aKey.name)) {
    return tl::unexpected(ProtocolError{ "name", state::kNameRule });
  }
  return aKey.kind == ConfigurationKind::eTemplate
           ? DecodeTemplate(aKey.name, aValue, aPath)
           : DecodeOrganisation(aKey.name, aValue, aPath);
}

std::string
EncodeDocument(const ConfigurationDocument& aDocument)
{
  if (const auto* work = std::get_if<state::WorkTemplate>(&aDocument)) {
    return fmt::format("{{\"expected_run_time_ms\":{},\"task_timeout_ms\":{},"
                       "\"memory_mb\":{},\"accelerators\":{}}}",
                       work->ExpectedRunTime().count(),
                       work->TaskTimeout().count(),
                       work->MemoryMb(),
                       work->Accelerators());
  }
  if (const auto* limits =
        std::get_if<state::OrganisationParameters>(&aDocument)) {
    return fmt::format("{{\"weight\":{},\"quota_slots\":{},\"max_slots\":{},"
                       "\"max_queue_time_ms\":{}}}",
                       limits->Weight(),
                       limits->QuotaSlots(),
                       limits->MaxSlots(),
                       limits->MaxQueueTime().count());
  }
  return "null";
}

tl::expected<ConfigurationChange, ProtocolError>
DecodePublication(const ConfigurationKey& aKey,
                  std::string aChangeId,
                  std::string_view aBody)
{
  auto body = ParseJson(aBody);
  if (!body) {
    return tl::unexpected(body.error());
  }
  auto baseVersion = ExtractBaseVersion(*body);
  if (!baseVersion) {
    return tl::unexpected(baseVersion.error());
  }
  auto document = DecodeDocument(aKey, *body, "");
  if (!document) {
    return tl::unexpected(document.error());
  }
  return ConfigurationChange{
    std::move(aChangeId), aKey, *baseVersion, *std::move(document)
  };
}

tl::expected<ConfigurationChange, ProtocolError>
DecodeDeletion(const ConfigurationKey& aKey,
               std::string aChangeId,
               std::string_view aBody)
{
  if (!state::IsValidName(aKey.name)) {
    return tl::unexpected(ProtocolError{ "name", state::kNameRule });
  }
  ConfigurationChange change{ std::move(aChangeId), aKey, 0, {} };
  if (aBody.empty()) {
    return change;
  }
  auto body = ParseJson(aBody);
  if (!body) {
    return tl::unexpected(body.error());
  }
  JsonReader reader(*body, "");
  reader.AllowOnly({ kBaseVersion });
  if (!reader.Ok()) {
    return tl::unexpected(reader.Error());
  }
  auto baseVersion = ExtractBaseVersion(*body);
  if (!baseVersion) {
    return tl::unexpected(baseVersion.error());
  }
  change.baseVersion = *baseVersion;
  return change;
}

std::string
EncodePublishOutcome(const std::string& aChangeId,
                     const coordination::PublishOutcome& aOutcome)
{
  if (aOutcome.code == RefusalCode::eNone) {
    return fmt::format("{{\"status\":\"complete\",\"change_id\":\"{}\","
                       "\"version\":{}}}\n",
                       aChangeId,
                       aOutcome.version);
  }
  return fmt::format("{{\"status\":\"failed\",\"run\":\"{}\",\"code\":\"{}\","
                     "\"message\":{},\"change_id\":\"{}\","
                     "\"current_version\":{}}}\n",
                     ToString(aOutcome.run),
                     ToString(aOutcome.code),
                     json::serialize(json::string(aOutcome.message)),
                     aChangeId,
                     aOutcome.version);
}

unsigned
HttpStatus(const coordination::PublishOutcome& aOutcome)
{
  state::JobOutcome outcome;
  outcome.complete = aOutcome.code == RefusalCode::eNone;
  outcome.code = aOutcome.code;
  return HttpStatus(outcome);
}

std::string
EncodeConfigurationView(const ConfigurationView& aView)
{
  return fmt::format(
    "{{\"version\":{},\"log_available\":{},\"bad_records\":{},"
    "\"templates\":{},\"organisations\":{},\"processes\":{}}}\n",
    aView.version,
    aView.logAvailable,
    aView.badRecords,
    EncodeEntries(aView.entries, ConfigurationKind::eTemplate),
    EncodeEntries(aView.entries, ConfigurationKind::eOrganisation),
    EncodeProcesses(aView.processes));
}

}
