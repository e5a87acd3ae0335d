#include "transport/frame_session.h"

#include <algorithm>
#include <utility>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "coordination/message_memory.h"
#include "protocol/peer_codec.h"
#include "transport/endpoint.h"

namespace greengage::transport {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// The first frame of a peer is its Hello, which has a few hundred bytes. Until
// it was received, the peer may be any program.
constexpr std::size_t kMaxFirstFrameBytes = 64 * 1024;

/** Bytes by which the buffer of an incomplete frame grows at least. */
constexpr std::size_t kMinPartBytes = 64 * 1024;

void
AppendLength(std::string& aFrame, std::size_t aLength)
{
  for (int shift = 0; shift < 32; shift += 8) {
    aFrame.push_back(static_cast<char>((aLength >> shift) & 0xff));
  }
}

std::uint32_t
ReadLength(const std::array<unsigned char, 4>& aHeader)
{
  std::uint32_t length = 0;
  for (int i = 3; i >= 0; --i) {
    length = (length << 8) | aHeader[i];
  }
  return length;
}

}

FrameSession::FrameSession(asio::ip::tcp::socket aSocket,
                           Handlers aHandlers,
                           ConnectionGuard& aGuard)
  : socket_(std::move(aSocket))
  , strand_(asio::make_strand(socket_.get_executor()))
  , handlers_(std::move(aHandlers))
  , guard_(aGuard)
{
}

void
FrameSession::Start()
{
  account_ = guard_.Bytes().Open(
    [weak = weak_from_this(), strand = strand_](std::size_t aBytes) {
      asio::post(strand, [weak, aBytes] {
        if (auto self = weak.lock()) {
          self->OnEvicted(aBytes);
        }
      });
    });
  asio::post(strand_, [self = shared_from_this()] {
    error_code ignored;
    self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    self->ReadHeader();
  });
}

void
FrameSession::Send(coordination::PeerMessage aMessage)
{
  asio::post(
    strand_,
    [self = shared_from_this(), message = std::move(aMessage)]() mutable {
      if (self->closed_) {
        return;
      }
      std::size_t bytes = coordination::MemoryOf(message);
      if (self->pending_.size() >= kMaxPendingMessages ||
          (!self->pending_.empty() &&
           self->pendingBytes_ + bytes > kMaxPendingBytes)) {
        self->Fail("too many messages are pending");
        return;
      }
      self->pendingBytes_ += bytes;
      self->pending_.push_back(std::move(message));
      if (self->pendingBytes_ > kOrdinaryPendingBytes) {
        self->CountBytes(false);
      }
      if (!self->writing_) {
        self->WriteNext();
      }
    });
}

void
FrameSession::Close()
{
  asio::post(strand_,
             [self = shared_from_this()] { self->Fail("closed locally"); });
}

void
FrameSession::ReadHeader()
{
  asio::async_read(
    socket_,
    asio::buffer(header_),
    asio::bind_executor(
      strand_, [self = shared_from_this()](error_code aError, std::size_t) {
        if (aError) {
          self->Fail(aError.message());
          return;
        }
        if (self->closed_) {
          return;
        }
        std::uint32_t size = ReadLength(self->header_);
        std::size_t maxBytes =
          self->hasReceived_ ? protocol::kMaxFrameBytes : kMaxFirstFrameBytes;
        if (size == 0 || size > maxBytes) {
          self->Fail(fmt::format("frame length {} is out of range", size),
                     TransportErrorKind::eMalformed);
          return;
        }
        self->bodyBytes_ = 0;
        self->account_->BeginRequest();
        self->ReadBody(size);
      }));
}

void
FrameSession::ReadBody(std::uint32_t aSize)
{
  std::size_t end = std::min<std::size_t>(
    aSize, bodyBytes_ + std::max(bodyBytes_, kMinPartBytes));
  body_.resize(end);
  if (!CountBytes(true)) {
    return;
  }
  asio::async_read(socket_,
                   asio::buffer(body_.data() + bodyBytes_, end - bodyBytes_),
                   asio::bind_executor(strand_,
                                       [self = shared_from_this(), aSize, end](
                                         error_code aError, std::size_t) {
                                         if (aError) {
                                           self->Fail(aError.message());
                                           return;
                                         }
                                         // The session may have been closed
                                         // while this read completed.
                                         if (self->closed_) {
                                           return;
                                         }
                                         self->bodyBytes_ = end;
                                         if (end < aSize) {
                                           self->ReadBody(aSize);
                                         } else {
                                           self->OnBody();
                                         }
                                       }));
}

void
FrameSession::OnBody()
{
  auto messages = protocol::DecodeFrame(body_);
  if (!messages) {
    Fail("malformed frame: " + messages.error().message,
         TransportErrorKind::eMalformed);
    return;
  }
  hasReceived_ = true;
  if (handlers_.frameReceived) {
    handlers_.frameReceived(*messages, header_.size() + body_.size());
  }
  handlers_.received(*std::move(messages));
  if (body_.capacity() > kMinPartBytes) {
    body_ = {};
  }
  if (CountBytes(false)) {
    ReadHeader();
  }
}

bool
FrameSession::CountBytes(bool aIsReading)
{
  // The connection of a peer is not closed for the buffer that it keeps, nor
  // for messages that it will read soon.
  bool mayEvict = aIsReading || pendingBytes_ > kOrdinaryPendingBytes;
  return account_->Set(body_.capacity() + pendingBytes_,
                       mayEvict ? ByteBudget::Eviction::eAllowed
                                : ByteBudget::Eviction::eNever);
}

void
FrameSession::OnEvicted(std::size_t aBytes)
{
  if (closed_) {
    return;
  }
  error_code error;
  auto remote = socket_.remote_endpoint(error);
  guard_.ReportLimited(ConnectionLimit::eProcessBytes,
                       error ? "unknown" : ToString(remote),
                       aBytes);
  Fail("the memory for connections is used up");
}

void
FrameSession::WriteNext()
{
  if (pending_.empty() || closed_) {
    writing_ = false;
    return;
  }
  writing_ = true;
  const std::size_t pendingBefore = pendingBytes_;
  Messages batch;
  std::size_t batchBytes = 0;
  while (!pending_.empty() && batch.size() < kMaxMessagesPerFrame &&
         batchBytes < kMaxBatchBytes) {
    batchBytes += coordination::MemoryOf(pending_.front());
    batch.push_back(std::move(pending_.front()));
    pending_.pop_front();
  }
  pendingBytes_ -= batchBytes;
  if (pendingBefore > kOrdinaryPendingBytes) {
    CountBytes(false);
  }
  std::string body = protocol::EncodeFrame(batch);
  frame_.clear();
  AppendLength(frame_, body.size());
  frame_ += body;
  if (handlers_.frameSent) {
    handlers_.frameSent(batch, frame_.size());
  }
  asio::async_write(
    socket_,
    asio::buffer(frame_),
    asio::bind_executor(
      strand_, [self = shared_from_this()](error_code aError, std::size_t) {
        if (aError) {
          self->Fail(aError.message());
          return;
        }
        self->WriteNext();
      }));
}

void
FrameSession::Fail(const std::string& aReason, TransportErrorKind aKind)
{
  if (closed_) {
    return;
  }
  closed_ = true;
  pending_.clear();
  pendingBytes_ = 0;
  error_code ignored;
  socket_.close(ignored);
  account_->Set(0);
  // The handlers may hold a reference to the owner of this session. Releasing
  // them breaks that reference cycle.
  Handlers handlers = std::exchange(handlers_, {});
  handlers.closed({ aKind, aReason });
}

}
