#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace greengage::testing_support {

/**
 * A loopback port for a process that a test starts. The reservation keeps a
 * bound socket that does not listen: a process that sets SO_REUSEADDR can
 * listen on the port, and the system gives it to no other socket, also while
 * the process is down. A connection to it is refused meanwhile.
 *
 * A port that is only looked up and released again is soon given to another
 * test that runs at the same time.
 */
class ReservedPort
{
public:
  /** Throws boost::system::system_error if no port is available. */
  ReservedPort();

  unsigned Number() const { return number_; }

private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor socket_;
  unsigned number_ = 0;
};

}
