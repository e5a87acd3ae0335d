#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include "coordination/messages.h"
#include "transport/connection_guard.h"
#include "transport/transport_error.h"

namespace greengage::transport {

/**
 * A TCP connection that sends and receives frames of peer messages. All
 * handlers run on the session's strand in a traffic thread.
 */
class FrameSession : public std::enable_shared_from_this<FrameSession>
{
public:
  using Messages = std::vector<coordination::PeerMessage>;

  /** Called with the messages of a frame and its size in bytes. */
  using FrameCounter = std::function<void(const Messages&, std::size_t)>;

  struct Handlers
  {
    std::function<void(Messages)> received;
    /** Called once, with the reason; no handler is called afterwards. */
    std::function<void(TransportError)> closed;
    /**
     * Called for every frame; the size includes its length field. May be empty.
     */
    FrameCounter frameSent;
    FrameCounter frameReceived;
  };

  /** The guard must outlive the session. */
  FrameSession(boost::asio::ip::tcp::socket aSocket,
               Handlers aHandlers,
               ConnectionGuard& aGuard);

  /** Starts reading; the socket must be connected. */
  void Start();

  /**
   * Queues a message; messages that are queued during a write are sent together
   * in the next frames. May be called from any thread. The session is closed if
   * too many messages or bytes are queued, because the peer reads too slowly.
   */
  void Send(coordination::PeerMessage aMessage);

  /** Closes the connection; may be called from any thread. */
  void Close();

private:
  void ReadHeader();
  /**
   * Reads the next part of a body of this size. The buffer grows with the bytes
   * received, not with the size that the peer announced.
   */
  void ReadBody(std::uint32_t aSize);
  void OnBody();
  /** Returns false if the session was told to release its memory. */
  bool CountBytes(bool aIsReading);
  void OnEvicted(std::size_t aBytes);
  void WriteNext();
  void Fail(const std::string& aReason,
            TransportErrorKind aKind = TransportErrorKind::eBroken);

  static constexpr std::size_t kMaxPendingMessages = 200'000;
  /** Many times what a slow peer takes within its timeout of 1.5 s. */
  static constexpr std::size_t kMaxPendingBytes = 16 * 1024 * 1024;
  /** With more, the connection counts among those of hostile clients. */
  static constexpr std::size_t kOrdinaryPendingBytes = 1024 * 1024;
  static constexpr std::size_t kMaxMessagesPerFrame = 256;
  /** A frame takes no further message above this; it is copied to encode it. */
  static constexpr std::size_t kMaxBatchBytes = 1024 * 1024;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::strand<boost::asio::any_io_executor> strand_;
  Handlers handlers_;
  ConnectionGuard& guard_;
  std::unique_ptr<ByteBudget::Account> account_;
  std::array<unsigned char, 4> header_{};
  std::vector<std::byte> body_;
  std::size_t bodyBytes_ = 0;
  bool hasReceived_ = false;
  std::deque<coordination::PeerMessage> pending_;
  std::size_t pendingBytes_ = 0;
  std::string frame_;
  bool writing_ = false;
  bool closed_ = false;
};

}
