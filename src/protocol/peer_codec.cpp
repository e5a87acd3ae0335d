#include "protocol/peer_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include "protocol/peer_decode.h"
#include "protocol/peer_encode.h"

namespace greengage::protocol {

namespace {

// The decoder may read kMaxReadsPerWord words per word of the frame, plus
// kExtraReads. A valid frame needs only a few reads per word. Without the
// limit, list elements of size zero or many pointers to the same place could
// expand a frame of some hundred bytes into millions of messages.
constexpr std::uint64_t kMaxReadsPerWord = 4;
constexpr std::uint64_t kExtraReads = 1024;
constexpr unsigned kMaxMessagesPerFrame = 65'536;
constexpr int kNestingLimit = 16;

}

std::string
EncodeFrame(const std::vector<coordination::PeerMessage>& aMessages)
{
  ::capnp::MallocMessageBuilder builder;
  auto messages = builder.initRoot<wire::Frame>().initMessages(
    static_cast<unsigned>(aMessages.size()));
  for (unsigned i = 0; i < aMessages.size(); ++i) {
    EncodeMessage(aMessages[i], messages[i]);
  }
  kj::Array<::capnp::word> words = ::capnp::messageToFlatArray(builder);
  auto bytes = words.asChars();
  return std::string(bytes.begin(), bytes.size());
}

tl::expected<std::vector<coordination::PeerMessage>, ProtocolError>
DecodeFrame(std::span<const std::byte> aBody)
{
  if (aBody.size() > kMaxFrameBytes) {
    return tl::unexpected(ProtocolError{ "", "frame is too large" });
  }
  if (aBody.empty() || aBody.size() % sizeof(::capnp::word) != 0) {
    return tl::unexpected(
      ProtocolError{ "", "frame size is not a multiple of 8 bytes" });
  }
  // The reader needs aligned words; network buffers are not aligned.
  kj::Array<::capnp::word> words =
    kj::heapArray<::capnp::word>(aBody.size() / sizeof(::capnp::word));
  std::copy_n(aBody.data(),
              aBody.size(),
              reinterpret_cast<std::byte*>(words.asBytes().begin()));
  ::capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxReadsPerWord * words.size() + kExtraReads;
  options.nestingLimit = kNestingLimit;
  // Cap'n Proto throws exceptions for malformed input; they are caught here.
  try {
    ::capnp::FlatArrayMessageReader reader(words, options);
    std::vector<coordination::PeerMessage> messages;
    auto encoded = reader.getRoot<wire::Frame>().getMessages();
    if (encoded.size() > kMaxMessagesPerFrame) {
      return tl::unexpected(ProtocolError{ "", "frame has too many messages" });
    }
    for (auto message : encoded) {
      auto decoded = DecodeMessage(message);
      if (!decoded) {
        return tl::unexpected(decoded.error());
      }
      if (*decoded) {
        messages.push_back(**std::move(decoded));
      }
    }
    return messages;
  } catch (const kj::Exception& exception) {
    return tl::unexpected(
      ProtocolError{ "", exception.getDescription().cStr() });
  }
}

}
