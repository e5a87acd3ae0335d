#include "transport/datagram_socket.h"

#include <array>

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include "protocol/membership_codec.h"
#include "transport/endpoint.h"

namespace greengage::transport {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;
using coordination::MembershipPacket;

namespace {

/** One byte above the limit, so that an oversized datagram is detected. */
constexpr std::size_t kBufferBytes = coordination::kMaxPacketBytes + 1;

std::string
ToText(const udp::endpoint& aEndpoint)
{
  return ToString(
    asio::ip::tcp::endpoint(aEndpoint.address(), aEndpoint.port()));
}

}

/**
 * Socket and its receive buffer. Pending operations keep it alive. After
 * Listen() it is used on its strand only.
 */
struct DatagramSocket::Socket : std::enable_shared_from_this<Socket>
{
  Socket(asio::io_context& aContext, DatagramHooks aHooks)
    : strand(asio::make_strand(aContext))
    , socket(strand)
    , hooks(std::move(aHooks))
  {
  }

  void Receive()
  {
    socket.async_receive_from(
      asio::buffer(buffer),
      sender,
      [self = shared_from_this()](error_code aError, std::size_t aBytes) {
        if (self->stopped || aError == asio::error::operation_aborted ||
            aError == asio::error::bad_descriptor) {
          return;
        }
        // Any other error concerns a single datagram, for example one that was
        // sent to a closed port. The socket keeps receiving.
        if (!aError) {
          self->OnDatagram(aBytes);
        }
        self->Receive();
      });
  }

  void OnDatagram(std::size_t aBytes)
  {
    auto packet = protocol::DecodeMembershipPacket(
      std::as_bytes(std::span(buffer.data(), aBytes)));
    if (packet) {
      hooks.received(*std::move(packet));
    } else {
      hooks.malformed(ToText(sender), packet.error());
    }
  }

  void Send(const std::string& aAddress, const MembershipPacket& aPacket)
  {
    auto endpoint = ParseEndpoint(aAddress);
    if (!endpoint) {
      ReportFailure(endpoint.error());
      return;
    }
    std::string bytes = protocol::EncodeMembershipPacket(aPacket);
    error_code error;
    socket.send_to(asio::buffer(bytes),
                   udp::endpoint(endpoint->address(), endpoint->port()),
                   0,
                   error);
    if (error) {
      ReportFailure({ TransportErrorKind::eNotConnected,
                      "cannot send to " + aAddress + ": " + error.message() });
    }
  }

  /** UDP datagrams may be lost at any time, so the hook is optional. */
  void ReportFailure(const TransportError& aError)
  {
    if (hooks.sendFailed) {
      hooks.sendFailed(aError);
    }
  }

  asio::strand<asio::io_context::executor_type> strand;
  udp::socket socket;
  DatagramHooks hooks;
  udp::endpoint sender;
  std::array<char, kBufferBytes> buffer{};
  bool stopped = false;
};

DatagramSocket::DatagramSocket(TrafficPool& aTraffic, DatagramHooks aHooks)
  : socket_(std::make_shared<Socket>(aTraffic.Context(), std::move(aHooks)))
{
}

DatagramSocket::~DatagramSocket()
{
  Stop();
}

tl::expected<udp::endpoint, TransportError>
DatagramSocket::Listen(const udp::endpoint& aEndpoint)
{
  udp::socket& socket = socket_->socket;
  error_code error;
  socket.open(aEndpoint.protocol(), error);
  if (!error) {
    socket.bind(aEndpoint, error);
  }
  if (!error) {
    // Send() must not block a traffic thread.
    socket.non_blocking(true, error);
  }
  if (error) {
    return tl::unexpected(TransportError{
      TransportErrorKind::eInvalidArgument,
      "cannot listen on udp " + ToText(aEndpoint) + ": " + error.message() });
  }
  udp::endpoint bound = socket.local_endpoint();
  asio::post(socket_->strand, [socket = socket_] { socket->Receive(); });
  return bound;
}

void
DatagramSocket::Send(std::string aAddress, MembershipPacket aPacket)
{
  asio::post(socket_->strand,
             [socket = socket_,
              address = std::move(aAddress),
              packet = std::move(aPacket)] {
               if (!socket->stopped) {
                 socket->Send(address, packet);
               }
             });
}

void
DatagramSocket::Stop()
{
  asio::post(socket_->strand, [socket = socket_] {
    error_code ignored;
    socket->stopped = true;
    socket->socket.close(ignored);
  });
}

}
