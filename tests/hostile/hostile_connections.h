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

  /**
   * Sends one text on each connection, under the same conditions.
   * @param aText returns the text of the connection with this index
   */
  void SendEach(const std::function<std::string(std::size_t)>& aText);

private:
  struct Connection
  {
    boost::asio::ip::tcp::socket socket;
    std::string prefix;
    std::size_t sentBytes = 0;
    std::size_t maxBytes = 0;
    bool closed = false;
  };

  void SendAll(const std::string& aFiller);
  /** Returns true if bytes were sent. */
  static bool SendSome(Connection& aConnection, const std::string& aFiller);

  boost::asio::io_context context_;
  std::vector<Connection> connections_;
};

}
