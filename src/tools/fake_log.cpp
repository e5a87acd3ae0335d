#include "tools/fake_log.h"

#include <charconv>
#include <memory>

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include "protocol/json_reader.h"
#include "protocol/log_json.h"
#include "transport/endpoint.h"

namespace greengage::tools {

using transport::HttpRequest;
using transport::HttpResponder;
using transport::HttpResponse;

namespace {

constexpr std::string_view kRecordsPath = "/records?";
constexpr std::uint64_t kMaxPageRecords = 1024;
constexpr std::uint64_t kMaxBehaviourValue = 0xffffffff;

HttpResponse
BadRequest(std::string_view aMessage)
{
  return { 400, fmt::format("{{\"message\":\"{}\"}}\n", aMessage) };
}

/** Returns the value of a query parameter if it is present and a number. */
std::optional<std::uint64_t>
ReadParameter(std::string_view aQuery, std::string_view aName)
{
  while (!aQuery.empty()) {
    std::size_t end = std::min(aQuery.find('&'), aQuery.size());
    std::string_view item = aQuery.substr(0, end);
    aQuery.remove_prefix(std::min(end + 1, aQuery.size()));
    if (!item.starts_with(aName) || item.size() <= aName.size() ||
        item[aName.size()] != '=') {
      continue;
    }
    std::string_view text = item.substr(aName.size() + 1);
    std::uint64_t number = 0;
    auto [next, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
    if (error == std::errc() && next == text.data() + text.size()) {
      return number;
    }
  }
  return std::nullopt;
}

}

FakeLog::FakeLog(transport::TrafficPool& aTraffic,
                 std::string aAddress,
                 const FakeLogBehaviour& aBehaviour)
  : traffic_(aTraffic)
  , address_(std::move(aAddress))
  , behaviour_(aBehaviour)
  , http_(aTraffic,
          [this](HttpRequest aRequest, const HttpResponder& aRespond) {
            Handle(std::move(aRequest), aRespond);
          })
{
}

tl::expected<boost::asio::ip::tcp::endpoint, transport::TransportError>
FakeLog::Start()
{
  return http_.Start(*transport::ParseEndpoint(address_));
}

void
FakeLog::Handle(HttpRequest aRequest, const HttpResponder& aRespond)
{
  std::string_view target = aRequest.target;
  if (target == "/admin") {
    aRespond(aRequest.method == "POST" ? HandleAdmin(aRequest.body)
                                       : HandleStatus());
    return;
  }
  {
    std::lock_guard lock(mutex_);
    if (behaviour_.isOutage) {
      // Destroying the last copy of the responder closes the connection.
      return;
    }
    DropExpired();
  }
  if (aRequest.method == "POST" && target == "/append") {
    if (auto response = HandleAppend(aRequest.body)) {
      Respond(aRespond, *std::move(response));
    }
  } else if (aRequest.method == "GET" && target.starts_with(kRecordsPath)) {
    target.remove_prefix(kRecordsPath.size());
    Respond(aRespond, HandleRecords(target));
  } else {
    aRespond({ 404, "{\"message\":\"there is no such resource\"}\n" });
  }
}

HttpResponse
FakeLog::HandleAdmin(const std::string& aBody)
{
  auto parsed = protocol::ParseJson(aBody);
  if (!parsed) {
    return BadRequest("the body is not valid JSON");
  }
  protocol::JsonReader reader(*parsed, "");
  reader.AllowOnly({ "outage",
                     "slow_ms",
                     "lose_answers",
                     "refuse",
                     "retention_records",
                     "retention_ms" });
  std::lock_guard lock(mutex_);
  FakeLogBehaviour changed = behaviour_;
  auto read = [&](std::string_view aField, std::uint64_t& aValue) {
    if (reader.Has(aField)) {
      aValue = reader.ReadUnsigned(aField, 0, kMaxBehaviourValue);
    }
  };
  if (reader.Has("outage")) {
    changed.isOutage = reader.ReadBool("outage");
  }
  read("slow_ms", changed.answerDelayMs);
  read("lose_answers", changed.answersToLose);
  read("refuse", changed.appendsToRefuse);
  read("retention_records", changed.retentionRecords);
  read("retention_ms", changed.retentionMs);
  if (!reader.Ok()) {
    return BadRequest(reader.Error().field + " " + reader.Error().message);
  }
  behaviour_ = changed;
  return { 200, "{}\n" };
}

std::optional<HttpResponse>
FakeLog::HandleAppend(const std::string& aBody)
{
  auto append = protocol::DecodeAppend(aBody);
  if (!append) {
    return BadRequest(append.error().field + " " + append.error().message);
  }
  std::lock_guard lock(mutex_);
  if (behaviour_.appendsToRefuse > 0) {
    --behaviour_.appendsToRefuse;
    return HttpResponse{ 503, "{\"message\":\"unavailable\"}\n" };
  }
  std::uint64_t offset = NextOffset();
  if (append->expectedOffset != offset) {
    ++conflicts_;
    return HttpResponse{ 409, fmt::format("{{\"next_offset\":{}}}\n", offset) };
  }
  records_.push_back(
    { { offset, std::chrono::system_clock::now() }, std::move(append->data) });
  if (behaviour_.answersToLose > 0) {
    --behaviour_.answersToLose;
    return std::nullopt;
  }
  return HttpResponse{ 200, fmt::format("{{\"offset\":{}}}\n", offset) };
}

HttpResponse
FakeLog::HandleRecords(std::string_view aQuery)
{
  auto from = ReadParameter(aQuery, "from");
  auto limit = ReadParameter(aQuery, "limit");
  if (!from || !limit || *limit == 0 || *limit > kMaxPageRecords) {
    return BadRequest(
      fmt::format("from and limit (1 to {}) are required", kMaxPageRecords));
  }
  std::lock_guard lock(mutex_);
  coordination::LogPage page;
  page.firstOffset = firstOffset_;
  page.nextOffset = NextOffset();
  std::uint64_t offset = std::max(*from, firstOffset_);
  for (; offset < page.nextOffset && page.records.size() < *limit; ++offset) {
    page.records.push_back(records_[offset - firstOffset_]);
  }
  return { 200, protocol::EncodeLogPage(page) };
}

HttpResponse
FakeLog::HandleStatus()
{
  std::lock_guard lock(mutex_);
  return { 200,
           fmt::format(
             "{{\"first_offset\":{},\"next_offset\":{},\"conflicts\":{}}}\n",
             firstOffset_,
             NextOffset(),
             conflicts_) };
}

void
FakeLog::Respond(const HttpResponder& aRespond, HttpResponse aResponse)
{
  std::uint64_t delay = 0;
  {
    std::lock_guard lock(mutex_);
    delay = behaviour_.answerDelayMs;
  }
  if (delay == 0) {
    aRespond(std::move(aResponse));
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(
    traffic_.Context(), std::chrono::milliseconds(delay));
  timer->async_wait(
    [timer, response = std::move(aResponse), respond = aRespond](
      const boost::system::error_code&) mutable {
      respond(std::move(response));
    });
}

void
FakeLog::DropExpired()
{
  auto now = std::chrono::system_clock::now();
  std::chrono::milliseconds age(behaviour_.retentionMs);
  while (!records_.empty()) {
    bool tooMany = behaviour_.retentionRecords != 0 &&
                   records_.size() > behaviour_.retentionRecords;
    bool tooOld =
      age.count() != 0 && now - records_.front().position.time > age;
    if (!tooMany && !tooOld) {
      return;
    }
    records_.pop_front();
    ++firstOffset_;
  }
}

}
