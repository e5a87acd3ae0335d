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

/** Events of a DatagramSocket; all run on a traffic thread. */
struct DatagramHooks
{
  /** Post the packet to the control thread. */
  std::function<void(coordination::MembershipPacket)> received;
  /** Bytes that are no packet, and from where; they were dropped. */
  std::function<void(const std::string& aFrom, const protocol::ProtocolError&)>
    malformed;
  /** A datagram could not be sent; it is lost. */
  std::function<void(const TransportError&)> sendFailed;
};

/**
 * UDP socket for membership packets. Encoding, decoding and system calls are
 * done on the traffic threads.
 */
class DatagramSocket
{
public:
  DatagramSocket(TrafficPool& aTraffic, DatagramHooks aHooks);
  /** Ends receiving; hooks may run until the traffic pool was stopped. */
  ~DatagramSocket();

  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /** Binds and starts receiving; port 0 selects a free port. */
  tl::expected<boost::asio::ip::udp::endpoint, TransportError> Listen(
    const boost::asio::ip::udp::endpoint& aEndpoint);

  /** Sends to `ip:port`; may be called on any thread. */
  void Send(std::string aAddress, coordination::MembershipPacket aPacket);

  void Stop();

private:
  struct Socket;

  std::shared_ptr<Socket> socket_;
};

}
