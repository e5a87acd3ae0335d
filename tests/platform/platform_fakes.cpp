#include "platform/platform_fakes.h"

#include <charconv>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include "platform/task_name.h"
#include "transport/endpoint.h"

namespace greengage::testing_support {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace coordination;
using transport::HttpRequest;
using transport::HttpResponder;
using transport::HttpResponse;

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 5 };

/** Returns 0 if the prefix is not found. */
std::uint64_t
NumberAfter(const std::string& aText, const std::string& aPrefix)
{
  auto at = aText.find(aPrefix);
  std::uint64_t value = 0;
  if (at != std::string::npos) {
    const char* begin = aText.data() + at + aPrefix.size();
    std::from_chars(begin, aText.data() + aText.size(), value);
  }
  return value;
}

std::uint64_t
QueryNumber(const std::string& aTarget, const std::string& aName)
{
  return NumberAfter(aTarget, aName + "=");
}

void
AppendNumber(std::string& aBytes, std::uint64_t aValue, int aSize)
{
  for (int i = aSize - 1; i >= 0; --i) {
    aBytes.push_back(static_cast<char>((aValue >> (8 * i)) & 0xff));
  }
}

HttpResponse
Respond(unsigned aStatus, std::string aBody)
{
  HttpResponse response;
  response.status = aStatus;
  response.body = std::move(aBody);
  return response;
}

std::string
Base64(const std::string& aText)
{
  static const char* digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits =
        (bits << 8) |
        (i + j < aText.size() ? static_cast<unsigned char>(aText[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      bool padding = i + j > aText.size();
      encoded.push_back(padding ? '=' : digits[(bits >> (18 - 6 * j)) & 63]);
    }
  }
  return encoded;
}

std::string
DecodePercent(const std::string& aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      decoded.push_back(aText[i]);
      continue;
    }
    unsigned byte = 0;
    std::from_chars(aText.data() + i + 1, aText.data() + i + 3, byte, 16);
    decoded.push_back(static_cast<char>(byte));
    i += 2;
  }
  return decoded;
}

HttpResponse
EncodeStartAnswer(StartAnswer aAnswer)
{
  switch (aAnswer) {
    case StartAnswer::eStarted:
      return Respond(200, R"({"clockMs":1})");
    case StartAnswer::eNoFreeCapacity:
      return Respond(409, R"({"clockMs":1,"reason":"room"})");
    case StartAnswer::eFenced:
      return Respond(409, R"({"clockMs":1,"reason":"fence"})");
    case StartAnswer::eOutdated:
      return Respond(409, R"({"clockMs":1,"reason":"old"})");
    case StartAnswer::eLate:
      return Respond(409, R"({"clockMs":1,"reason":"late"})");
    case StartAnswer::eRefused:
    case StartAnswer::eConnectionRefused:
    case StartAnswer::eNotSent:
    case StartAnswer::eNoAnswer:
      break;
  }
  return Respond(421, R"({"clockMs":1})");
}

std::string
StartOn(transport::HttpServer& aServer)
{
  auto endpoint = aServer.Start(*transport::ParseEndpoint("127.0.0.1:0"));
  return endpoint ? transport::ToString(*endpoint) : std::string();
}

}

FakeStore::FakeStore(transport::TrafficPool& aTraffic)
  : traffic_(aTraffic)
  , http_(aTraffic,
          [this](const HttpRequest& aRequest, HttpResponder aRespond) {
            Handle(aRequest, std::move(aRespond));
          })
{
}

std::string
FakeStore::Start()
{
  return StartOn(http_);
}

void
FakeStore::Publish(const std::string& aDocument)
{
  Put("config", aDocument);
}

void
FakeStore::Put(const std::string& aKey, const std::string& aValue)
{
  std::lock_guard lock(mutex_);
  newest_[aKey] = aValue;
  records_.push_back(std::string(1, static_cast<char>(aKey.size())) + aKey +
                     aValue);
}

void
FakeStore::AppendRecord(std::string aContent)
{
  std::lock_guard lock(mutex_);
  records_.push_back(std::move(aContent));
}

void
FakeStore::AddOtherKeys(unsigned aCount, const std::string& aPrefix)
{
  std::lock_guard lock(mutex_);
  for (unsigned i = 0; i < aCount; ++i) {
    newest_[fmt::format("{}{}", aPrefix, i)] = "{}";
  }
}

std::string
FakeStore::ListNewest(const std::string& aTarget)
{
  constexpr unsigned kMaxItems = 500;
  std::lock_guard lock(mutex_);
  json::array items;
  auto next = newest_.begin();
  auto after = aTarget.find("after=");
  if (after != std::string::npos) {
    next = newest_.upper_bound(DecodePercent(aTarget.substr(after + 6)));
  }
  for (; next != newest_.end() && items.size() < kMaxItems; ++next) {
    items.push_back(json::object{ { "key", next->first },
                                  { "value", Base64(next->second) },
                                  { "offset", 0 } });
  }
  return json::serialize(json::object{ { "items", items },
                                       { "hasMore", next != newest_.end() },
                                       { "end", records_.size() } });
}

void
FakeStore::Handle(const HttpRequest& aRequest, HttpResponder aRespond)
{
  if (!available_) {
    aRespond(Respond(503, "{}"));
    return;
  }
  if (aRequest.target.starts_with("/-/log-newest")) {
    aRespond(Respond(200, ListNewest(aRequest.target)));
    return;
  }
  auto wait = std::chrono::milliseconds(QueryNumber(aRequest.target, "waitMs"));
  Answer(QueryNumber(aRequest.target, "from"),
         std::move(aRespond),
         std::chrono::steady_clock::now() + wait);
}

void
FakeStore::Answer(std::uint64_t aFrom,
                  HttpResponder aRespond,
                  std::chrono::steady_clock::time_point aUntil)
{
  std::string bytes;
  {
    std::lock_guard lock(mutex_);
    AppendNumber(bytes, records_.size(), 8);
    AppendNumber(bytes, 0, 8);
    for (std::size_t i = aFrom; i < records_.size(); ++i) {
      AppendNumber(bytes, records_[i].size(), 4);
      bytes += records_[i];
    }
    bool hasNewDocuments = aFrom < records_.size();
    if (hasNewDocuments || std::chrono::steady_clock::now() >= aUntil) {
      aRespond(Respond(200, bytes));
      return;
    }
  }
  auto timer =
    std::make_shared<asio::steady_timer>(traffic_.Context(), kPollInterval);
  timer->async_wait([this, timer, aFrom, aRespond, aUntil](auto aError) {
    if (!aError) {
      Answer(aFrom, aRespond, aUntil);
    }
  });
}

FakeServerProcess::FakeServerProcess(transport::TrafficPool& aTraffic,
                                     FakeServerOptions aOptions)
  : traffic_(aTraffic)
  , options_(std::move(aOptions))
  , http_(aTraffic,
          [this](const HttpRequest& aRequest, HttpResponder aRespond) {
            Handle(aRequest, std::move(aRespond));
          })
  , clockStart_(std::chrono::steady_clock::now() -
                std::chrono::milliseconds(options_.startedAt))
  , server_(options_.startedAt,
            1,
            { [this](const state::RunKey& aRun) {
               ++startCount_;
               if (options_.runStarted) {
                 options_.runStarted(aRun);
               }
             },
              [this](const state::RunKey& aRun, RunEndKind aKind) {
                if (options_.runEnded) {
                  options_.runEnded(aRun, aKind);
                }
              },
              [this](const state::TaskKey&) { return options_.workMs; },
              [](const state::TaskKey&) { return false; } })
{
}

void
FakeServerProcess::Advance()
{
  std::lock_guard lock(mutex_);
  server_.Advance(Now());
}

std::string
FakeServerProcess::Start()
{
  address_ = StartOn(http_);
  return address_;
}

testing::Milliseconds
FakeServerProcess::Now() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - clockStart_)
    .count();
}

void
FakeServerProcess::SetWork(double aWorkMs)
{
  std::lock_guard lock(mutex_);
  options_.workMs = aWorkMs;
}

unsigned
FakeServerProcess::StartCount()
{
  std::lock_guard lock(mutex_);
  return startCount_;
}

std::map<std::string, std::string>
FakeServerProcess::Specs()
{
  std::lock_guard lock(mutex_);
  return specs_;
}

bool
FakeServerProcess::Announce(const std::string& aAgent, bool aDraining)
{
  ServerAnnouncement announcement;
  {
    std::lock_guard lock(mutex_);
    announcement = server_.Announce(++sequence_, Now());
  }
  const auto& capacity = announcement.description.capacity;
  json::object body{ { "service", announcement.description.service },
                     { "state", aDraining ? "draining" : "ready" },
                     { "seq", announcement.sequence },
                     { "born", announcement.born },
                     { "clockMs", announcement.serverClock.count() },
                     { "labels", { "a", "r1" } },
                     { "capacity",
                       { { "cpu", capacity.cpuMillicores },
                         { "memMb", capacity.memoryMb },
                         { "gpu", capacity.gpus } } } };
  auto reply =
    CallHttp(aAgent,
             "POST",
             "/-/instances/" + announcement.description.id + "/heartbeat",
             json::serialize(body),
             std::chrono::seconds(1));
  return reply.status == 200;
}

void
FakeServerProcess::Handle(const HttpRequest& aRequest, HttpResponder aRespond)
{
  json::object body = json::parse(aRequest.body).as_object();
  std::uint64_t token = body["fencingToken"].to_number<std::uint64_t>();
  auto number = [&](const char* aName) {
    return body.contains(aName) ? body[aName].to_number<std::int64_t>() : 0;
  };
  if (aRequest.target == "/-/hold") {
    RenewCall call;
    call.fencingToken = token;
    call.lastSeen = body["lastSeen"].to_number<std::uint64_t>();
    call.leaseEnd = std::chrono::milliseconds(number("deadlineMs"));
    call.wait = std::chrono::milliseconds(number("waitMs"));
    std::unique_lock lock(mutex_);
    bool accepted = server_.Renew(call, Now());
    lock.unlock();
    if (!accepted) {
      aRespond(Respond(409, R"({"reason":"fence"})"));
      return;
    }
    AnswerList(
      call, std::move(aRespond), std::chrono::steady_clock::now() + call.wait);
    return;
  }
  std::string task(body["task"].as_string());
  state::RunKey run{ *platform::DecodeTaskName(task),
                     body["run"].to_number<std::uint32_t>() };
  std::string id(transport::FindHeader(aRequest.headers, "X-Expect-Instance"));
  std::string spec(
    body.contains("spec") ? std::string_view(body["spec"].as_string()) : "");
  if (aRequest.target != "/-/run-stop" && options_.startOrdered) {
    options_.startOrdered(task, spec);
  }
  std::lock_guard lock(mutex_);
  if (aRequest.target == "/-/run-stop") {
    bool done = server_.Stop({ id, run, token }, Now());
    aRespond(Respond(done ? 200 : 409, R"({"clockMs":1,"reason":"fence"})"));
    return;
  }
  specs_[task] = std::move(spec);
  aRespond(EncodeStartAnswer(server_.Start(
    { id, run, "", token, std::chrono::milliseconds(number("deadlineMs")) },
    Now())));
}

void
FakeServerProcess::AnswerList(const RenewCall& aCall,
                              HttpResponder aRespond,
                              std::chrono::steady_clock::time_point aUntil)
{
  std::unique_lock lock(mutex_);
  server_.Advance(Now());
  bool isDue = server_.HasEndsAfter(aCall.lastSeen) ||
               std::chrono::steady_clock::now() >= aUntil;
  if (!isDue) {
    lock.unlock();
    auto timer =
      std::make_shared<asio::steady_timer>(traffic_.Context(), kPollInterval);
    timer->async_wait([this, timer, aCall, aRespond, aUntil](auto aError) {
      if (!aError) {
        AnswerList(aCall, aRespond, aUntil);
      }
    });
    return;
  }
  RenewAnswer lists = server_.ListRuns(Now());
  json::array running;
  for (const ListedRun& run : lists.running) {
    running.push_back(json::array{ platform::EncodeTaskName(run.run.task),
                                   run.run.run,
                                   "",
                                   run.percent,
                                   0 });
  }
  json::array finished;
  for (const ListedEnd& end : lists.ended) {
    const char* kind = end.kind == RunEndKind::eDone ? "done" : "stopped";
    finished.push_back(json::array{ end.number,
                                    platform::EncodeTaskName(end.run.task),
                                    end.run.run,
                                    kind,
                                    "" });
  }
  aRespond(Respond(
    200,
    json::serialize(json::object{ { "clockMs", lists.serverClock.count() },
                                  { "born", lists.born },
                                  { "running", running },
                                  { "finished", finished } })));
}

}
