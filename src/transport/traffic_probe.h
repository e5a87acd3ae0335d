#pragma once

#include <functional>

#include <boost/asio/local/stream_protocol.hpp>

#include "transport/traffic_pool.h"

namespace greengage::transport {

/**
 * Passes through the queue of a traffic thread behind everything that has
 * arrived before. A poll reports at most 128 ready sockets and continues with
 * the others in turn, so the probe uses a socket of its own, which becomes
 * ready last. For a TrafficPool with one thread.
 */
class TrafficProbe
{
public:
  /** Throws boost::system::system_error if it cannot open its sockets. */
  explicit TrafficProbe(TrafficPool& aTraffic);

  /**
   * Calls the function in the traffic thread after the handlers of all sockets
   * that are ready now. It must not be called again before that.
   */
  void Send(std::function<void()> aReturned);

private:
  /** Makes the socket ready and waits until a poll reports it. */
  void PassThroughPoll(std::function<void()> aReturned);
  /** Calls the function after this number of turns through the queue. */
  void PassThroughQueue(unsigned aTurns, std::function<void()> aReturned);

  TrafficPool& traffic_;
  boost::asio::local::stream_protocol::socket sender_;
  boost::asio::local::stream_protocol::socket receiver_;
};

}
