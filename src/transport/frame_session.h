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
#include "transport/transport_error.h"

namespace greengage::transport {

/**
 * One TCP connection that carries frames of peer messages in both directions.
 * All handlers run on the session's strand in a traffic thread.
 */
class FrameSession : public std::enable_shared_from_this<FrameSession>
{
public:
  using Messages = std::vector<coordination::PeerMessage>;

  using FrameCounter = std::function<void(const Messages&, std::size_t)>;

  struct Handlers
  {
    std::function<void(Messages)> received;
    /** Called once; no message is received afterwards. */
    std::function<void(TransportError)> closed;
    /** Called with every frame and its bytes on the wire; may be empty. */
    FrameCounter sentFrame;
    FrameCounter receivedFrame;
  };

  FrameSession(boost::asio::ip::tcp::socket aSocket, Handlers aHandlers);

  /** Starts reading; the socket must be connected. */
  void Start();

  /**
   * Queues a message; messages queued while a write is under way go into one
   * frame. May be called from any thread. Above kMaxPendingMessages the
   * session closes, because the peer does not keep up.
   */
  void Send(coordination::PeerMessage aMessage);

  void Close();

private:
  void ReadHeader();
  void ReadBody(std::uint32_t aSize);
  void WriteNext();
  void Fail(const std::string& aReason,
            TransportErrorKind aKind = TransportErrorKind::eBroken);

  static constexpr std::size_t kMaxPendingMessages = 200'000;
  static constexpr std::size_t kMaxMessagesPerFrame = 256;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::strand<boost::asio::any_io_executor> strand_;
  Handlers handlers_;
  std::array<unsigned char, 4> header_{};
  std::vector<std::byte> body_;
  std::deque<coordination::PeerMessage> pending_;
  std::string frame_;
  bool writing_ = false;
  bool closed_ = false;
};

}
