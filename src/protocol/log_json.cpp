#include "protocol/log_json.h"

#include <algorithm>

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include "protocol/json_reader.h"

namespace greengage::protocol {

namespace {

namespace json = boost::json;
using namespace coordination;

constexpr std::uint64_t kMaxOffset = 0x7fffffffffffffff;
// Year 2248; the nanoseconds of WallTime overflow in 2262.
constexpr std::uint64_t kLatestTimeMs = std::uint64_t{ 1 } << 43;

std::string
Quote(std::string_view aText)
{
  return json::serialize(json::string(aText));
}

}

std::string
EncodeAppend(std::uint64_t aExpectedOffset, std::string_view aData)
{
  return fmt::format(
    "{{\"expected_offset\":{},\"data\":{}}}", aExpectedOffset, Quote(aData));
}

tl::expected<AppendRequest, ProtocolError>
DecodeAppend(std::string_view aBody)
{
  auto value = ParseJson(aBody);
  if (!value) {
    return tl::unexpected(value.error());
  }
  JsonReader reader(*value, "");
  reader.AllowOnly({ "expected_offset", "data" });
  AppendRequest request;
  request.expectedOffset =
    reader.ReadUnsigned("expected_offset", 0, kMaxOffset);
  request.data = reader.ReadString("data");
  if (!reader.Ok()) {
    return tl::unexpected(reader.Error());
  }
  return request;
}

std::string
EncodeLogPage(const LogPage& aPage)
{
  std::string records;
  for (const LogRecord& record : aPage.records) {
    auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
      record.position.time.time_since_epoch());
    fmt::format_to(std::back_inserter(records),
                   "{}{{\"offset\":{},\"time_ms\":{},\"data\":{}}}",
                   records.empty() ? "" : ",",
                   record.position.offset,
                   time.count(),
                   Quote(record.data));
  }
  return fmt::format(
    "{{\"first_offset\":{},\"next_offset\":{},\"records\":[{}]}}\n",
    aPage.firstOffset,
    aPage.nextOffset,
    records);
}

tl::expected<LogPage, ProtocolError>
DecodeLogPage(std::string_view aBody)
{
  auto value = ParseJson(aBody);
  if (!value) {
    return tl::unexpected(value.error());
  }
  JsonReader reader(*value, "");
  LogPage page;
  page.firstOffset = reader.ReadUnsigned("first_offset", 0, kMaxOffset);
  page.nextOffset = reader.ReadUnsigned("next_offset", 0, kMaxOffset);
  const json::array* records = reader.ReadArray("records");
  if (!reader.Ok()) {
    return tl::unexpected(reader.Error());
  }
  for (std::size_t i = 0; i < records->size(); ++i) {
    JsonReader item((*records)[i], fmt::format("records[{}]", i));
    LogRecord record;
    record.position.offset = item.ReadUnsigned("offset", 0, kMaxOffset);
    // A later time is limited instead of refused: a refused page would stop the
    // reader at this record.
    record.position.time = state::WallTime(std::chrono::milliseconds(
      std::min(item.ReadUnsigned("time_ms", 0, kMaxOffset), kLatestTimeMs)));
    record.data = item.ReadString("data");
    if (!item.Ok()) {
      return tl::unexpected(item.Error());
    }
    page.records.push_back(std::move(record));
  }
  return page;
}

}
