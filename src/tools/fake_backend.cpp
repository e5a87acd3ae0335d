#include "tools/fake_backend.h"

#include <memory>
#include <random>

#include <boost/asio/steady_timer.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include "protocol/json_reader.h"
#include "transport/endpoint.h"

namespace greengage::tools {

using transport::HttpRequest;
using transport::HttpResponder;

namespace {

constexpr std::uint64_t kMaxRunTimeMs = 120'000;
constexpr double kMaxStragglerFactor = 100.0;

}

FakeBackend::FakeBackend(transport::TrafficPool& aTraffic,
                         const FakeBackendSettings& aSettings)
  : traffic_(aTraffic)
  , settings_(aSettings)
  , http_(aTraffic, [this](HttpRequest aRequest, HttpResponder aRespond) {
    Handle(std::move(aRequest), std::move(aRespond));
  })
{
}

tl::expected<boost::asio::ip::tcp::endpoint, transport::TransportError>
FakeBackend::Start()
{
  return http_.Start(*transport::ParseEndpoint(settings_.address));
}

void
FakeBackend::Handle(HttpRequest aRequest, HttpResponder aRespond)
{
  if (aRequest.target == "/capacity") {
    aRespond(
      { 200,
        fmt::format("{{\"slots\":{},\"memory_mb\":{},\"accelerators\":{}}}",
                    settings_.slots,
                    settings_.memoryMb,
                    settings_.accelerators) });
    return;
  }
  if (aRequest.target == "/starts") {
    aRespond({ 200, StartsJson() });
    return;
  }
  if (aRequest.target == "/summary") {
    aRespond({ 200, SummaryJson() });
    return;
  }
  if (aRequest.method == "POST" && aRequest.target == "/admin") {
    HandleAdmin(aRequest.body, aRespond);
    return;
  }
  if (aRequest.method == "POST" && aRequest.target == "/run") {
    HandleRun(aRequest.body, std::move(aRespond));
    return;
  }
  aRespond({ 404, "{}" });
}

void
FakeBackend::HandleRun(const std::string& aBody, HttpResponder aRespond)
{
  auto parsed = protocol::ParseJson(aBody);
  if (!parsed) {
    aRespond({ 400, "{}" });
    return;
  }
  protocol::JsonReader reader(*parsed, "");
  std::string job =
    reader.ReadString("organisation") + "/" + reader.ReadString("job_id");
  std::uint64_t task = reader.ReadUnsigned("task", 0, 0xffffffff);
  const boost::json::value* payload = reader.ReadAny("payload");
  if (!reader.Ok()) {
    aRespond({ 400, "{}" });
    return;
  }
  FakeBackendSettings settings = RecordStart(fmt::format("{}/{}", job, task));
  std::uint64_t runTimeMs = settings.runTimeMs;
  if (payload->is_object() && payload->as_object().contains("run_time_ms")) {
    protocol::JsonReader payloadReader(*payload, "payload");
    runTimeMs = payloadReader.ReadUnsigned("run_time_ms", 0, kMaxRunTimeMs);
  }
  thread_local std::mt19937_64 random(std::random_device{}());
  if (std::bernoulli_distribution(settings.failureShare)(random)) {
    aRespond({ 500, "{}" });
    return;
  }
  bool isStraggler =
    std::bernoulli_distribution(settings.stragglerShare)(random);
  double factor = isStraggler ? settings.stragglerFactor : 1.0;
  auto runTime = std::chrono::microseconds(static_cast<std::int64_t>(
    1000.0 * static_cast<double>(runTimeMs) * factor / settings.speedFactor));
  auto timer =
    std::make_shared<boost::asio::steady_timer>(traffic_.Context(), runTime);
  std::string result = fmt::format("{{\"result\":{{\"task\":{},\"echo\":{}}}}}",
                                   task,
                                   boost::json::serialize(*payload));
  timer->async_wait([timer, result, respond = std::move(aRespond)](
                      const boost::system::error_code&) {
    respond({ 200, result });
  });
}

FakeBackendSettings
FakeBackend::RecordStart(const std::string& aTask)
{
  std::lock_guard lock(mutex_);
  ++starts_[aTask];
  ++startCount_;
  lastStart_ = std::chrono::system_clock::now();
  return settings_;
}

void
FakeBackend::HandleAdmin(const std::string& aBody,
                         const HttpResponder& aRespond)
{
  auto parsed = protocol::ParseJson(aBody);
  if (!parsed) {
    aRespond({ 400, "{}" });
    return;
  }
  protocol::JsonReader reader(*parsed, "");
  reader.AllowOnly({ "failure_share", "straggler_share", "straggler_factor" });
  std::lock_guard lock(mutex_);
  FakeBackendSettings changed = settings_;
  auto read = [&](const char* aField, double aMax, double& aValue) {
    if (!reader.Has(aField)) {
      return;
    }
    aValue = reader.ReadNumber(aField);
    if (aValue < 0 || aValue > aMax) {
      reader.Fail(aField, fmt::format("must be from 0 to {}", aMax));
    }
  };
  read("failure_share", 1.0, changed.failureShare);
  read("straggler_share", 1.0, changed.stragglerShare);
  read("straggler_factor", kMaxStragglerFactor, changed.stragglerFactor);
  if (!reader.Ok()) {
    aRespond({ 400, "{}" });
    return;
  }
  settings_ = changed;
  aRespond({ 200, "{}" });
}

std::string
FakeBackend::SummaryJson()
{
  std::lock_guard lock(mutex_);
  auto lastStart = std::chrono::duration_cast<std::chrono::milliseconds>(
    lastStart_.time_since_epoch());
  return fmt::format("{{\"starts\":{},\"tasks\":{},\"last_start_ms\":{}}}\n",
                     startCount_,
                     starts_.size(),
                     lastStart.count());
}

std::string
FakeBackend::StartsJson()
{
  std::lock_guard lock(mutex_);
  std::string body = "{";
  for (const auto& [task, count] : starts_) {
    fmt::format_to(std::back_inserter(body),
                   "{}\"{}\":{}",
                   body.size() > 1 ? "," : "",
                   task,
                   count);
  }
  return body + "}\n";
}

}
