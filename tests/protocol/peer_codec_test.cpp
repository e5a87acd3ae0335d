#include "protocol/peer_codec.h"

#include <capnp/any.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>

#include "protocol/peer.capnp.h"

namespace greengage::protocol {
namespace {

using namespace coordination;

std::span<const std::byte>
ToBytes(const std::string& aText)
{
  return std::as_bytes(std::span(aText));
}

// Guards against fields that are lost or swapped when messages are encoded and
// decoded again.
TEST(PeerCodecTest, KeepsMessagesThroughAFrame)
{
  state::JobKey key{ "org", state::JobId::Create({}, 5, 6) };
  state::JobSpec spec = *state::JobSpec::Builder()
                           .SetKey(key)
                           .SetTemplateName("quote")
                           .AddPayload("{\"a\":1}")
                           .AddPayload("2")
                           .SetUrgency(3)
                           .Build();
  ProcessInfo info{
    { 1, 2 }, ProcessRole::eAgent, "127.0.0.1:1", "dc", "r", 8, 32768, 1, true
  };
  LeaseReply reply;
  reply.member = { 9, 9 };
  reply.granted = true;
  reply.promised = { 4, 2 };
  reply.olderGrantRemaining = std::chrono::milliseconds(17);
  reply.agents = { { info, state::WallTime(std::chrono::milliseconds(5)) },
                   { info, std::nullopt } };
  std::vector<PeerMessage> messages{
    Hello{ info },
    SubmitJob{ 7, spec },
    JobAnswer{ 7, key, state::JobOutcome::Complete({ "1", "{}" }) },
    StartTasks{ info.id,
                3,
                { 2, 1 },
                { { key, 4, 1, "quote", "2", std::chrono::milliseconds(9) } } },
    reply,
    ConfigurationRecords{ 12, { { 11, "{}" } } },
    DispatchOrders{},
    DispatchOrders{ { { 5,
                        1,
                        { 1600, 64, 1 },
                        250,
                        "text",
                        { { 3, 2, 1 }, { 4, 1, 0 } },
                        "swatches" } },
                    { { { 5, 1, 4 }, 2 } },
                    { { { 6, 0, 0 }, 1 } },
                    70,
                    1'234'567'890'123,
                    state::EvacuationState{ 9, { "bole", "mulu" } } },
    ServerReport{},
    ServerReport{
      ServerDescription{ "i-1", "portal", { "a", "r1" }, { 16000, 64, 2 } },
      ServerCondition::eDraining,
      { 3200, 128, 0 },
      { { { { 5, 1, 3 }, 2 }, RunEndKind::eFailed, 77 } },
      { { { { 5, 1, 4 }, 2 }, 900 } },
      1'234'567'890'124,
      { { { { 5, 1, 5 }, 2 }, false }, { { { 5, 1, 6 }, 1 }, true } },
      { { 3, 40, { { { 5, 1, 3 }, "swatches" }, { { 6, 0, 9 }, "" } } },
        { 4, 1, {} } },
      true,
      state::EvacuationState{ 10, {} },
      TaskHolds{ 7, { { { 5, 1, 7 }, 11'990 }, { { 6, 0, 1 }, 1 } } } },
    EntryNews{ { { { 8, 9 }, { 3, 40, { { { 5, 1, 3 }, "swatches" } } } },
                 { { 8, 10 }, { 1, 2, {} } } },
               { { 17, 250 }, { 18, 0 } } },
    EntryNews{ .evacuation = state::EvacuationState{ 11, { "bole" } } },
    EntryNews{
      {}, { { 17, 250 } }, 12, 34, { { 5, 6, true } }, { { 7, 8, true } } },
    EntryNews{ {}, {}, 0, 0, {}, { { 7, 8, false, true } } },
    EntryNews{ .holds = { { { 8, 9 }, { 2, { { { 5, 1, 7 }, 900 } } } },
                          { { 8, 10 }, { 3, {} } } } },
    ConfigurationCopy{ 9, "{\"version\":9}" },
    DocumentRequest{ 9, 8192 },
    DocumentPart{ 9, 70000, 8192, std::string("\0\xff{", 3) },
  };
  auto decoded = DecodeFrame(ToBytes(EncodeFrame(messages)));
  ASSERT_TRUE(decoded) << decoded.error().message;
  EXPECT_EQ(*decoded, messages);
}

// Guards against a connection that is closed when a later version sends a kind
// of message that this one does not know, and against a list of data centres
// that takes much memory.
TEST(PeerCodecTest, IgnoresUnknownKindsAndRefusesTooManyDataCentres)
{
  ::capnp::MallocMessageBuilder builder;
  auto encoded = builder.initRoot<wire::Frame>().initMessages(2);
  encoded[1].initDrainAgent().setHigh(3);
  // The discriminant is the first field of a message; 999 is no known kind.
  auto kind = ::capnp::toAny(encoded[0]).getDataSection();
  kind[0] = 0xe7;
  kind[1] = 0x03;
  auto words = ::capnp::messageToFlatArray(builder);
  auto bytes = words.asBytes();
  auto decoded = DecodeFrame(
    { reinterpret_cast<const std::byte*>(bytes.begin()), bytes.size() });
  ASSERT_TRUE(decoded) << decoded.error().message;
  EXPECT_EQ(*decoded, (std::vector<PeerMessage>{ DrainAgent{ { 3, 0 } } }));
  EntryNews news;
  news.evacuation = state::EvacuationState{ 1, {} };
  for (unsigned i = 0; i < 1000; ++i) {
    news.evacuation->dataCentres.insert(std::to_string(i));
  }
  EXPECT_FALSE(DecodeFrame(ToBytes(EncodeFrame({ news }))));
}

// Guards against a time that overflows, and against lease fields that are lost
// when a message is encoded and decoded again.
TEST(PeerCodecTest, KeepsLeaseRequestsAndRefusesTimesOutOfRange)
{
  LeaseRequest request;
  request.token = { 4, 2 };
  request.newAgents = { { {}, std::nullopt } };
  request.allAgents = true;
  request.release = true;
  auto decoded = DecodeFrame(ToBytes(EncodeFrame({ request })));
  ASSERT_TRUE(decoded);
  EXPECT_EQ((*decoded)[0], PeerMessage(request));
  request.newAgents[0].lostSince = state::WallTime(-std::chrono::seconds(1));
  EXPECT_FALSE(DecodeFrame(ToBytes(EncodeFrame({ request }))));
}

// Guards against an entry and an agent of different versions that cannot talk
// to each other: a frame without the times of orders and reports has times of
// 0, and one without crashes and queue names has none.
TEST(PeerCodecTest, ReadsFramesWithoutReportTimesAndCrashes)
{
  // Written with the schema before DispatchOrders.confirmedAtMs,
  // ServerReport.sentAtMs, ServerReport.crashes, RunOrder.crashes and
  // RunBatch.queue were added.
  const unsigned char bytes[] = {
    0x00, 0x00, 0x00, 0x00, 0x21, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x01, 0x00, 0x01, 0x00, 0x00, 0x00, 0x27, 0x00, 0x00, 0x00,
    0x08, 0x00, 0x00, 0x00, 0x01, 0x00, 0x01, 0x00, 0x13, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x08, 0x00, 0x00, 0x00, 0x01, 0x00, 0x03, 0x00,
    0x14, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x3c, 0x00, 0x00, 0x00,
    0x01, 0x00, 0x04, 0x00, 0x46, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x09, 0x00, 0x00, 0x00, 0x2f, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x04, 0x00, 0x00, 0x00, 0x02, 0x00, 0x03, 0x00, 0x05, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0xfa, 0x00, 0x00, 0x00,
    0x08, 0x00, 0x00, 0x00, 0x02, 0x00, 0x00, 0x00, 0x0d, 0x00, 0x00, 0x00,
    0x2a, 0x00, 0x00, 0x00, 0x0d, 0x00, 0x00, 0x00, 0x0f, 0x00, 0x00, 0x00,
    0x40, 0x06, 0x00, 0x00, 0x40, 0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x74, 0x65, 0x78, 0x74, 0x00, 0x00, 0x00, 0x00,
    0x04, 0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x03, 0x00, 0x00, 0x00,
    0x02, 0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x05, 0x00, 0x00, 0x00, 0x17, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x04, 0x00, 0x00, 0x00,
    0x01, 0x00, 0x01, 0x00, 0x01, 0x00, 0x00, 0x00, 0x4d, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x03, 0x00, 0x00, 0x00, 0x05, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x03, 0x00, 0x00, 0x00,
    0x02, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00
  };
  std::vector<PeerMessage> expected{
    DispatchOrders{
      { { 5, 1, { 1600, 64, 1 }, 250, "text", { { 3, 2 } } } }, {}, {}, 70 },
    ServerReport{ {},
                  ServerCondition::eDraining,
                  {},
                  { { { { 5, 1, 3 }, 2 }, RunEndKind::eFailed, 77 } } }
  };
  auto decoded = DecodeFrame(std::as_bytes(std::span(bytes)));
  ASSERT_TRUE(decoded) << decoded.error().message;
  EXPECT_EQ(*decoded, expected);
}

// Guards against values of an enumeration that this version does not have, as
// another version of a peer may send them.
TEST(PeerCodecTest, RefusesUnknownValues)
{
  Hello hello;
  hello.process.role = static_cast<ProcessRole>(7);
  EXPECT_FALSE(DecodeFrame(ToBytes(EncodeFrame({ hello }))));
  ServerReport report;
  report.condition = static_cast<ServerCondition>(4);
  EXPECT_FALSE(DecodeFrame(ToBytes(EncodeFrame({ report }))));
  report.condition = ServerCondition::eReady;
  report.ends = { { {}, static_cast<RunEndKind>(8), 1 } };
  EXPECT_FALSE(DecodeFrame(ToBytes(EncodeFrame({ report }))));
}

// Guards against a peer that fills the memory of an entry with crashes, which
// the entry stores for some time.
TEST(PeerCodecTest, RefusesTooManyCrashesAndSuspects)
{
  ServerReport report;
  report.crashes.resize(64);
  report.crashes[0].suspects.resize(1024);
  EXPECT_TRUE(DecodeFrame(ToBytes(EncodeFrame({ report }))));
  report.crashes[0].suspects.resize(1025);
  EXPECT_FALSE(DecodeFrame(ToBytes(EncodeFrame({ report }))));
  report.crashes[0].suspects.clear();
  report.crashes.resize(65);
  EXPECT_FALSE(DecodeFrame(ToBytes(EncodeFrame({ report }))));
}

// Guards against a small frame that decodes to millions of messages because it
// holds a list of elements of size zero (found by fuzzing).
TEST(PeerCodecTest, RefusesListsOfElementsOfSizeZero)
{
  // Root pointer, Frame with one pointer, list of 1,000,000 structs of size 0.
  const unsigned char bytes[] = { 0, 0, 0, 0, 3,    0, 0, 0, 0, 0, 0,
                                  0, 0, 0, 1, 0,    1, 0, 0, 0, 7, 0,
                                  0, 0, 0, 9, 0x3d, 0, 0, 0, 0, 0 };
  EXPECT_FALSE(DecodeFrame(std::as_bytes(std::span(bytes))));
}

// Guards against a crash on damaged frames, and against decoding them in part.
TEST(PeerCodecTest, RefusesDamagedFrames)
{
  std::string frame = EncodeFrame({ Hello{} });
  EXPECT_FALSE(DecodeFrame(ToBytes(frame.substr(0, 8))));
  EXPECT_FALSE(DecodeFrame(ToBytes(frame.substr(1))));
  EXPECT_FALSE(DecodeFrame({}));
  std::string huge = frame;
  huge[4] = '\x7f';
  huge[7] = '\x7f';
  EXPECT_FALSE(DecodeFrame(ToBytes(huge)));
}

}
}
