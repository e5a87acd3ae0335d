#include "protocol/backend_json.h"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include "protocol/json_reader.h"

namespace greengage::protocol {

namespace {

constexpr std::uint64_t kMaxSlots = 4096;
constexpr std::uint64_t kMaxAmount = 0xffffffff;

}

std::string
EncodeBackendTask(const coordination::TaskStart& aTask)
{
  // Names contain no characters that need escaping in JSON.
  return fmt::format("{{\"organisation\":\"{}\",\"job_id\":\"{}\",\"task\":{},"
                     "\"attempt\":{},\"template\":\"{}\",\"payload\":{}}}",
                     aTask.key.organisation,
                     aTask.key.id.ToString(),
                     aTask.task,
                     aTask.attempt,
                     aTask.templateName,
                     aTask.payload);
}

tl::expected<std::string, ProtocolError>
DecodeBackendResult(std::string_view aBody)
{
  auto parsed = ParseJson(aBody);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  JsonReader reader(*parsed, "");
  const boost::json::value* result = reader.ReadAny("result");
  if (!reader.Ok()) {
    return tl::unexpected(reader.Error());
  }
  return boost::json::serialize(*result);
}

tl::expected<BackendCapacityBody, ProtocolError>
DecodeBackendCapacity(std::string_view aBody)
{
  auto parsed = ParseJson(aBody);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  JsonReader reader(*parsed, "");
  auto read = [&](std::string_view aField,
                  std::uint64_t aMin,
                  std::uint64_t aMax) {
    return static_cast<std::uint32_t>(reader.ReadUnsigned(aField, aMin, aMax));
  };
  BackendCapacityBody capacity;
  capacity.slots = read("slots", 1, kMaxSlots);
  capacity.memoryMb = read("memory_mb", 0, kMaxAmount);
  capacity.accelerators = read("accelerators", 0, kMaxAmount);
  if (!reader.Ok()) {
    return tl::unexpected(reader.Error());
  }
  return capacity;
}

}
