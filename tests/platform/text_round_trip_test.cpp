#include <random>

#include <boost/json/parse.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "platform/caller_codec.h"
#include "platform/operator_codec.h"
#include "platform/server_codec.h"
#include "protocol/peer_codec.h"

// Texts of callers, servers and the operator, from the bytes that they send to
// those that the system sends on.
namespace greengage::platform {
namespace {

using namespace coordination;
using transport::HttpRequest;

constexpr unsigned kSeeds = 2000;

/** A text and one of the ways to write it as a JSON string. */
struct RandomText
{
  std::string text;
  std::string json;
};

void
AppendUtf8(std::uint32_t aCodePoint, std::string& aText)
{
  auto append = [&](std::uint32_t aByte) { aText += static_cast<char>(aByte); };
  if (aCodePoint < 0x80) {
    append(aCodePoint);
    return;
  }
  if (aCodePoint < 0x800) {
    append(0xc0 | aCodePoint >> 6);
  } else if (aCodePoint < 0x10000) {
    append(0xe0 | aCodePoint >> 12);
    append(0x80 | (aCodePoint >> 6 & 0x3f));
  } else {
    append(0xf0 | aCodePoint >> 18);
    append(0x80 | (aCodePoint >> 12 & 0x3f));
    append(0x80 | (aCodePoint >> 6 & 0x3f));
  }
  append(0x80 | (aCodePoint & 0x3f));
}

class TextGenerator
{
public:
  explicit TextGenerator(unsigned aSeed)
    : random_(aSeed)
  {
  }

  RandomText Next(std::size_t aMaxCharacters)
  {
    RandomText text;
    text.json = "\"";
    for (std::size_t left = Below(aMaxCharacters + 1); left > 0; --left) {
      Append(NextCodePoint(), text);
    }
    text.json += '"';
    return text;
  }

private:
  std::uint32_t Below(std::size_t aBound)
  {
    return static_cast<std::uint32_t>(random_() % aBound);
  }

  std::uint32_t NextCodePoint()
  {
    switch (Below(8)) {
      case 0:
        return 0;
      case 1:
        return Below(0x20);
      case 2:
        return "\"\\/\x7f"[Below(4)];
      case 3:
        return 0x80 + Below(0x800 - 0x80);
      case 4:
        return 0x800 + Below(0xd800 - 0x800);
      case 5:
        return 0xe000 + Below(0x10000 - 0xe000);
      case 6:
        return 0x10000 + Below(0x110000 - 0x10000);
      default:
        return 0x20 + Below(0x5f);
    }
  }

  void Append(std::uint32_t aCodePoint, RandomText& aText)
  {
    AppendUtf8(aCodePoint, aText.text);
    bool mustEscape =
      aCodePoint < 0x20 || aCodePoint == '"' || aCodePoint == '\\';
    if (!mustEscape && Below(2) == 0) {
      AppendUtf8(aCodePoint, aText.json);
    } else if (aCodePoint < 0x10000) {
      aText.json += fmt::format("\\u{:04x}", aCodePoint);
    } else {
      std::uint32_t offset = aCodePoint - 0x10000;
      aText.json += fmt::format("\\u{:04X}\\u{:04x}",
                                0xd800 + (offset >> 10),
                                0xdc00 + (offset & 0x3ff));
    }
  }

  std::mt19937 random_;
};

/** Returns the message as another process receives it. */
template<class Message>
Message
Transfer(const Message& aMessage)
{
  std::string frame = protocol::EncodeFrame({ aMessage });
  auto messages = protocol::DecodeFrame(std::as_bytes(std::span(frame)));
  return std::get<Message>(messages.value().at(0));
}

daemon::CallerRequest
ReadSubmission(const std::string& aBody)
{
  HttpRequest request{ "POST", "/p/00000000000000aa", aBody, {}, 1 };
  return DecodeCallerRequest(request).value();
}

// Guards against a server that starts a task with another spec than the caller
// sent.
TEST(TextRoundTripTest, SpecReachesTheServerUnchanged)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    RandomText spec = TextGenerator(seed).Next(1000);
    auto request = ReadSubmission(fmt::format(
      R"({{"spec":{},"bestEffort":true,"steps":[{{"count":1}}]}})", spec.json));
    RunBatch batch;
    batch.payload = request.job.payload;
    auto orders = Transfer(DispatchOrders{ { batch } });
    StartRunCall call;
    call.payload = orders.starts.at(0).payload;
    auto start = boost::json::parse(EncodeStart(call).body).as_object();
    ASSERT_EQ(std::string(start["spec"].as_string()), spec.text)
      << "seed " << seed;
  }
}

// Guards against a start on a server without the required label: labels that
// differ in the sender's text must not become equal on the way to an entry, nor
// equal ones differ.
TEST(TextRoundTripTest, LabelsAndServicesReachTheEntryUnchanged)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    TextGenerator generator(seed);
    RandomText service = generator.Next(30);
    RandomText label = generator.Next(30);
    RandomText queue = generator.Next(30);
    service.text = "s" + service.text;
    service.json.insert(1, "s");
    auto notice = DecodeNotice(
      { "POST",
        "/-/instances/i-1/heartbeat",
        fmt::format(R"({{"service":{},"state":"ready","seq":1,"labels":[{}],
                         "capacity":{{"cpu":1,"memMb":1}}}})",
                    service.json,
                    label.json),
        {},
        1 });
    ASSERT_TRUE(notice) << "seed " << seed;
    ServerReport report;
    report.description = std::get<ServerAnnouncement>(*notice).description;
    report.crashes = { { 1, 2, { { {}, queue.text } } } };
    report = Transfer(report);
    auto configuration = DecodeConfiguration(
      fmt::format(R"({{"version":1,"routes":[{{"name":{},"host":"h",
                       "pathPrefix":"/p/","service":{}}}]}})",
                  queue.json,
                  service.json));
    auto request = ReadSubmission(fmt::format(
      R"({{"bestEffort":true,"steps":[{{"count":1,"requiredLabel":{}}}]}})",
      label.json));
    ASSERT_EQ(report.description->service, service.text) << "seed " << seed;
    ASSERT_EQ(configuration->queues.at(0).service, service.text);
    ASSERT_EQ(report.description->labels, std::vector{ label.text });
    ASSERT_EQ(request.job.steps.at(0).requiredLabel, label.text);
    ASSERT_EQ(report.crashes.at(0).suspects.at(0).queue,
              configuration->queues.at(0).name);
  }
}

}
}
