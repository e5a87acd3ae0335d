#include <cstdlib>
#include <span>

#include "protocol/membership_codec.h"
#include "protocol/peer_codec.h"

namespace {

using namespace greengage;
using namespace greengage::coordination;

/** Returns a valid frame with most kinds of messages. */
std::string
SampleFrame()
{
  state::JobKey key{ "org", state::JobId::FromWords(0x7000, 1ULL << 63) };
  ProcessInfo process{
    { 1, 2 }, ProcessRole::eAgent, "127.0.0.1:1", "dc", "rack", 8, 1, 1, true
  };
  state::TaskRecord record;
  record.key = key;
  record.body = "{}";
  auto spec = state::JobSpec::Builder()
                .SetKey(key)
                .SetTemplateName("quote")
                .AddPayload("{}")
                .Build();
  LeaseReply reply;
  reply.agents = { { process, state::WallTime() } };
  TaskStart task{ key, 1, 0, "quote", "{}", std::chrono::milliseconds(5) };
  return protocol::EncodeFrame(
    { Hello{ process },
      SubmitJob{ 7, *spec },
      JobAnswer{ 7, key, state::JobOutcome::Complete({ "1", "2" }) },
      StartTasks{ process.id, 0, { 1, 2 }, { task } },
      TaskResults{ 0, process.id, { record } },
      CancelTasks{ process.id, 0, { 1, 2 }, { key } },
      HistoryReply{ process.id, 0, { 1, 2 }, 3, { record } },
      reply,
      ConfigurationRecords{ 4, { { 3, "{}" } } },
      DispatchOrders{ { { 5, 1, { 1600, 64, 1 }, 250, "text", { { 3, 2 } } } },
                      { { { 5, 1, 4 }, 2 } },
                      { { { 6, 0, 0 }, 1 } },
                      70 },
      ServerReport{
        ServerDescription{ "i-1", "portal", { "a" }, { 16000, 64, 2 } },
        ServerCondition::eDraining,
        { 3200, 128, 0 },
        { { { { 5, 1, 3 }, 2 }, RunEndKind::eFailed, 77 } },
        { { { { 5, 1, 4 }, 2 }, 900 } } },
      ConfigurationCopy{ 9, "{}" },
      EntryNews{ { { { 8, 9 }, { 3, 40, { { { 5, 1, 3 }, "q" } } } } },
                 { { 17, 250 } } },
      DocumentRequest{ 9, 2 },
      DocumentPart{ 9, 4, 2, "{}" } });
}

/** Returns a valid packet of the membership protocol. */
std::string
SamplePacket()
{
  MemberUpdate update;
  update.process = {
    { 1, 2 }, ProcessRole::eAgent, "127.0.0.1:1", "dc", "rack", 8, 1, 1, true
  };
  update.incarnation = 7;
  return protocol::EncodeMembershipPacket(
    { update, PingRequest{ 5, { 3, 4 }, "127.0.0.1:2" }, { update }, {} });
}

/**
 * Returns the input itself or, if its first byte is even, the sample with some
 * bytes replaced, because random bytes are rarely a valid message. Each
 * replacement takes three bytes of input: two for the position, one for the
 * value.
 */
std::string
Mutate(const std::string& aSample, std::span<const unsigned char> aInput)
{
  if (aInput.empty() || aInput[0] % 2 != 0) {
    return { aInput.begin(), aInput.end() };
  }
  std::string frame = aSample;
  for (std::size_t i = 1; i + 3 <= aInput.size(); i += 3) {
    std::size_t position = aInput[i] * 256 + aInput[i + 1];
    frame[position % frame.size()] = static_cast<char>(aInput[i + 2]);
  }
  return frame;
}

void
CheckFrame(const std::string& aFrame)
{
  auto messages = protocol::DecodeFrame(std::as_bytes(std::span(aFrame)));
  if (!messages) {
    return;
  }
  std::string encoded = protocol::EncodeFrame(*messages);
  auto again = protocol::DecodeFrame(std::as_bytes(std::span(encoded)));
  if (!again || *again != *messages) {
    std::abort();
  }
}

void
CheckPacket(const std::string& aBytes)
{
  auto packet =
    protocol::DecodeMembershipPacket(std::as_bytes(std::span(aBytes)));
  if (!packet) {
    return;
  }
  std::string encoded = protocol::EncodeMembershipPacket(*packet);
  // Repeated pointers to one place decode to more updates than fit in a packet.
  if (encoded.size() > kMaxPacketBytes) {
    return;
  }
  auto again =
    protocol::DecodeMembershipPacket(std::as_bytes(std::span(encoded)));
  if (!again || *again != *packet) {
    std::abort();
  }
}

}

// Aborts if decoded messages or membership packets change when they are encoded
// and decoded again.
extern "C" int
LLVMFuzzerTestOneInput(const unsigned char* aData, std::size_t aSize)
{
  static const std::string frame = SampleFrame();
  static const std::string packet = SamplePacket();
  CheckFrame(Mutate(frame, { aData, aSize }));
  CheckPacket(Mutate(packet, { aData, aSize }));
  return 0;
}
