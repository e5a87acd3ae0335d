#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/udp.hpp>

#include "coordination/membership/membership_messages.h"
#include "protocol/protocol_error.h"
#include "transport/traffic_pool.h"
#include "transport/transport_error.h"

namespace greengage::transport {

/** Callbacks of a DatagramSocket; all run on a traffic thread. */
struct DatagramHooks
{
  /**
   * Called with every valid packet; must post it to the control thread, which
   * owns the membership state.
   */
  std::function<void(coordination::MembershipPacket)> received;
  /**
   * Called with the sender's address when a datagram is not a valid packet; the
   * datagram is dropped.
   */
  std::function<void(const std::string& aFrom, const protocol::ProtocolError&)>
    malformed;
  /**
   * Called when a datagram could not be sent; it is not sent again. May be
   * empty.
   */
  std::function<void(const TransportError&)> sendFailed;
};

/**
 * UDP socket for membership packets. Encodes, decodes and makes system calls on
 * the traffic threads.
 */
class DatagramSocket
{
public:
  DatagramSocket(TrafficPool& aTraffic, DatagramHooks aHooks);
  /**
   * Stops receiving. Hooks may still run until the traffic pool has stopped.
   */
  ~DatagramSocket();

  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /**
   * Binds the socket, starts receiving and returns the bound address. Port 0
   * selects a free port.
   */
  tl::expected<boost::asio::ip::udp::endpoint, TransportError> Listen(
    const boost::asio::ip::udp::endpoint& aEndpoint);

  /** Sends to the address `ip:port`; may be called from any thread. */
  void Send(std::string aAddress, coordination::MembershipPacket aPacket);

  /** Closes the socket; may be called from any thread. */
  void Stop();

private:
  struct Socket;

  std::shared_ptr<Socket> socket_;
};

}
