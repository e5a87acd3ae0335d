#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace greengage::testing_support {

/**
 * Connections of one hostile client. They stay open until the object is
 * destroyed, and never read.
 */
class HostileConnections
{
public:
  HostileConnections(unsigned aPort, std::size_t aCount);

  /**
   * Sends aPrefix once, then aFiller again and again on each connection, until
   * each has sent aMaxBytes, was closed by the process or accepts no more bytes
   * for a second.
   */
  void Send(const std::string& aPrefix,
            const std::string& aFiller,
            std::size_t aMaxBytes);

private:
  struct Connection
  {
    boost::asio::ip::tcp::socket socket;
    std::size_t sentBytes = 0;
    bool closed = false;
  };

  /** Returns true if bytes were sent. */
  static bool SendSome(Connection& aConnection,
                       const std::string& aPrefix,
                       const std::string& aFiller);

  boost::asio::io_context context_;
  std::vector<Connection> connections_;
};

}
