#include "protocol/log_record_json.h"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include "protocol/configuration_json.h"
#include "protocol/json_reader.h"
#include "state/names.h"

namespace greengage::protocol {

namespace {

namespace json = boost::json;
using namespace coordination;
using state::ConfigurationChange;
using state::ConfigurationKey;
using state::ConfigurationKind;

constexpr std::uint64_t kMaxOffset = 0x7fffffffffffffff;
constexpr std::uint64_t kMaxUnsigned = 0xffffffff;
constexpr std::size_t kMaxChangeIdLength = 64;
constexpr std::size_t kMaxAddressLength = 64;
constexpr std::size_t kMaxMembers = 16;

std::string
Quote(std::string_view aText)
{
  return json::serialize(json::string(aText));
}

std::string
JoinPath(const std::string& aPath, std::string_view aField)
{
  return fmt::format("{}{}{}", aPath, aPath.empty() ? "" : ".", aField);
}

std::string_view
KindName(ConfigurationKind aKind)
{
  return aKind == ConfigurationKind::eTemplate ? "template" : "organisation";
}

std::string
Encode(const ConfigurationChange& aChange)
{
  std::string text =
    fmt::format("{{\"type\":\"{}_{}\",\"change_id\":{},\"name\":\"{}\","
                "\"base_version\":{}",
                aChange.IsDeletion() ? "delete" : "put",
                KindName(aChange.key.kind),
                Quote(aChange.changeId),
                aChange.key.name,
                aChange.baseVersion);
  if (!aChange.IsDeletion()) {
    text += ",\"document\":" + EncodeDocument(aChange.document);
  }
  return text + "}";
}

std::string
Encode(const ProcessInfo& aMember)
{
  return fmt::format(
    "{{\"id\":\"{}\",\"role\":\"{}\",\"peer_address\":{},\"data_centre\":{},"
    "\"rack\":{},\"slots\":{},\"memory_mb\":{},\"accelerators\":{},"
    "\"draining\":{}}}",
    aMember.id.ToString(),
    aMember.role == ProcessRole::eEntry ? "entry" : "agent",
    Quote(aMember.peerAddress),
    Quote(aMember.dataCentre),
    Quote(aMember.rack),
    aMember.slots,
    aMember.memoryMb,
    aMember.accelerators,
    aMember.draining);
}

std::string
Encode(const OwnershipRecord& aRecord)
{
  std::string members;
  for (const ProcessInfo& member : aRecord.members) {
    fmt::format_to(std::back_inserter(members),
                   "{}{}",
                   members.empty() ? "" : ",",
                   Encode(member));
  }
  return fmt::format("{{\"type\":\"ownership\",\"shard\":{},\"epoch\":{},"
                     "\"forced\":{},\"members\":[{}]}}",
                     aRecord.shard,
                     aRecord.epoch,
                     aRecord.forced,
                     members);
}

std::string
Encode(const OwnershipActivated& aRecord)
{
  return fmt::format("{{\"type\":\"activated\",\"shard\":{},\"epoch\":{}}}",
                     aRecord.shard,
                     aRecord.epoch);
}

std::string
Encode(const CarriedRecord& aRecord)
{
  return fmt::format("{{\"type\":\"carry\",\"version\":{},\"record\":{}}}",
                     aRecord.version,
                     std::visit([](const auto& aLive) { return Encode(aLive); },
                                aRecord.record));
}

std::string
Encode(const LiveKeys& aLive)
{
  std::string lists[2];
  for (const ConfigurationKey& key : aLive.keys) {
    std::string& list = lists[key.kind == ConfigurationKind::eTemplate ? 0 : 1];
    list += fmt::format("{}\"{}\"", list.empty() ? "" : ",", key.name);
  }
  return fmt::format("{{\"type\":\"live_keys\",\"version\":{},"
                     "\"templates\":[{}],\"organisations\":[{}]}}",
                     aLive.version,
                     lists[0],
                     lists[1]);
}

std::string
ReadBoundedString(JsonReader& aReader,
                  std::string_view aField,
                  std::size_t aMaxLength)
{
  std::string text = aReader.ReadString(aField);
  if (text.size() > aMaxLength) {
    aReader.Fail(
      aField,
      fmt::format("has {} bytes, the maximum is {}", text.size(), aMaxLength));
  }
  return text;
}

std::string
ReadName(JsonReader& aReader, std::string_view aField)
{
  std::string name = aReader.ReadString(aField);
  if (aReader.Ok() && !state::IsValidName(name)) {
    aReader.Fail(aField, state::kNameRule);
  }
  return name;
}

tl::expected<ConfigurationChange, ProtocolError>
DecodeChange(const json::value& aValue,
             const std::string& aPath,
             ConfigurationKind aKind,
             bool aDeletion)
{
  JsonReader reader(aValue, aPath);
  if (aDeletion) {
    reader.AllowOnly({ "type", "change_id", "name", "base_version" });
  } else {
    reader.AllowOnly(
      { "type", "change_id", "name", "base_version", "document" });
  }
  ConfigurationChange change;
  change.changeId = ReadBoundedString(reader, "change_id", kMaxChangeIdLength);
  if (reader.Ok() && change.changeId.empty()) {
    reader.Fail("change_id", "must not be empty");
  }
  change.key = { aKind, ReadName(reader, "name") };
  change.baseVersion = reader.ReadUnsigned("base_version", 0, kMaxOffset);
  const json::value* document =
    aDeletion ? nullptr : reader.ReadAny("document");
  if (!reader.Ok()) {
    return tl::unexpected(reader.Error());
  }
  if (document) {
    auto decoded =
      DecodeDocument(change.key, *document, JoinPath(aPath, "document"));
    if (!decoded) {
      return tl::unexpected(decoded.error());
    }
    change.document = *std::move(decoded);
  }
  return change;
}

tl::expected<ProcessInfo, ProtocolError>
DecodeMember(const json::value& aValue, const std::string& aPath)
{
  JsonReader reader(aValue, aPath);
  reader.AllowOnly({ "id",
                     "role",
                     "peer_address",
                     "data_centre",
                     "rack",
                     "slots",
                     "memory_mb",
                     "accelerators",
                     "draining" });
  auto readCount = [&](std::string_view aField) {
    return static_cast<std::uint32_t>(
      reader.ReadUnsigned(aField, 0, kMaxUnsigned));
  };
  ProcessInfo member;
  auto id = state::ProcessId::Parse(reader.ReadString("id"));
  if (!id) {
    reader.Fail("id", "must be 32 hexadecimal digits");
  }
  std::string role = reader.ReadString("role");
  if (role != "entry" && role != "agent") {
    reader.Fail("role", "must be entry or agent");
  }
  member.role = role == "entry" ? ProcessRole::eEntry : ProcessRole::eAgent;
  member.peerAddress =
    ReadBoundedString(reader, "peer_address", kMaxAddressLength);
  member.dataCentre = ReadName(reader, "data_centre");
  member.rack = ReadName(reader, "rack");
  member.slots = readCount("slots");
  member.memoryMb = readCount("memory_mb");
  member.accelerators = readCount("accelerators");
  member.draining = reader.ReadBool("draining");
  if (!reader.Ok()) {
    return tl::unexpected(reader.Error());
  }
  member.id = *id;
  return member;
}

tl::expected<OwnershipRecord, ProtocolError>
DecodeOwnership(const json::value& aValue, const std::string& aPath)
{
  JsonReader reader(aValue, aPath);
  reader.AllowOnly({ "type", "shard", "epoch", "forced", "members" });
  OwnershipRecord record;
  record.shard =
    static_cast<std::uint32_t>(reader.ReadUnsigned("shard", 0, kMaxUnsigned));
  record.epoch = reader.ReadUnsigned("epoch", 1, kMaxOffset);
  record.forced = reader.ReadBool("forced");
  const json::array* members = reader.ReadArray("members");
  if (members && (members->empty() || members->size() > kMaxMembers)) {
    reader.Fail("members", fmt::format("must have 1 to {} items", kMaxMembers));
  }
  if (!reader.Ok()) {
    return tl::unexpected(reader.Error());
  }
  for (std::size_t i = 0; i < members->size(); ++i) {
    auto member = DecodeMember((*members)[i],
                               JoinPath(aPath, fmt::format("members[{}]", i)));
    if (!member) {
      return tl::unexpected(member.error());
    }
    record.members.push_back(*std::move(member));
  }
  return record;
}

tl::expected<OwnershipActivated, ProtocolError>
DecodeActivated(const json::value& aValue, const std::string& aPath)
{
  JsonReader reader(aValue, aPath);
  reader.AllowOnly({ "type", "shard", "epoch" });
  OwnershipActivated record;
  record.shard =
    static_cast<std::uint32_t>(reader.ReadUnsigned("shard", 0, kMaxUnsigned));
  record.epoch = reader.ReadUnsigned("epoch", 1, kMaxOffset);
  if (!reader.Ok()) {
    return tl::unexpected(reader.Error());
  }
  return record;
}

tl::expected<LiveRecord, ProtocolError>
DecodeLive(const json::value& aValue, const std::string& aPath)
{
  JsonReader reader(aValue, aPath);
  std::string type = reader.ReadString("type");
  if (!reader.Ok()) {
    return tl::unexpected(reader.Error());
  }
  auto toLive = [](auto aResult) -> tl::expected<LiveRecord, ProtocolError> {
    if (!aResult) {
      return tl::unexpected(aResult.error());
    }
    return LiveRecord(*std::move(aResult));
  };
  for (ConfigurationKind kind :
       { ConfigurationKind::eTemplate, ConfigurationKind::eOrganisation }) {
    if (type == fmt::format("put_{}", KindName(kind))) {
      return toLive(DecodeChange(aValue, aPath, kind, false));
    }
    if (type == fmt::format("delete_{}", KindName(kind))) {
      return toLive(DecodeChange(aValue, aPath, kind, true));
    }
  }
  if (type == "ownership") {
    return toLive(DecodeOwnership(aValue, aPath));
  }
  if (type == "activated") {
    return toLive(DecodeActivated(aValue, aPath));
  }
  return tl::unexpected(ProtocolError{
    JoinPath(aPath, "type"),
    fmt::format("\"{}\" is not a known type", type.substr(0, 32)) });
}

tl::expected<LogContent, ProtocolError>
DecodeCarried(const json::value& aValue)
{
  JsonReader reader(aValue, "");
  reader.AllowOnly({ "type", "version", "record" });
  CarriedRecord carried;
  carried.version = reader.ReadUnsigned("version", 1, kMaxOffset);
  const json::value* record = reader.ReadAny("record");
  if (!reader.Ok()) {
    return tl::unexpected(reader.Error());
  }
  auto live = DecodeLive(*record, "record");
  if (!live) {
    return tl::unexpected(live.error());
  }
  carried.record = *std::move(live);
  return carried;
}

tl::expected<LogContent, ProtocolError>
DecodeLiveKeys(const json::value& aValue)
{
  JsonReader reader(aValue, "");
  reader.AllowOnly({ "type", "version", "templates", "organisations" });
  LiveKeys live;
  live.version = reader.ReadUnsigned("version", 1, kMaxOffset);
  auto readKeys = [&](std::string_view aField, ConfigurationKind aKind) {
    const json::array* names = reader.ReadArray(aField);
    for (std::size_t i = 0; names && i < names->size(); ++i) {
      const json::string* name = (*names)[i].if_string();
      if (!name || !state::IsValidName(*name)) {
        reader.Fail(fmt::format("{}[{}]", aField, i), state::kNameRule);
        return;
      }
      live.keys.insert({ aKind, std::string(*name) });
    }
  };
  readKeys("templates", ConfigurationKind::eTemplate);
  readKeys("organisations", ConfigurationKind::eOrganisation);
  if (!reader.Ok()) {
    return tl::unexpected(reader.Error());
  }
  return live;
}

}

std::string
EncodeLogContent(const LogContent& aContent)
{
  return std::visit([](const auto& aRecord) { return Encode(aRecord); },
                    aContent);
}

tl::expected<LogContent, ProtocolError>
DecodeLogContent(std::string_view aData)
{
  auto value = ParseJson(aData);
  if (!value) {
    return tl::unexpected(value.error());
  }
  JsonReader reader(*value, "");
  std::string type = reader.ReadString("type");
  if (!reader.Ok()) {
    return tl::unexpected(reader.Error());
  }
  if (type == "carry") {
    return DecodeCarried(*value);
  }
  if (type == "live_keys") {
    return DecodeLiveKeys(*value);
  }
  auto live = DecodeLive(*value, "");
  if (!live) {
    return tl::unexpected(live.error());
  }
  return std::visit(
    [](auto& aRecord) { return LogContent(std::move(aRecord)); }, *live);
}

}
