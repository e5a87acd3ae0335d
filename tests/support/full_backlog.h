#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace greengage::testing_support {

/**
 * Listens without accepting and fills its backlog, so that further connections
 * are neither accepted nor refused.
 */
class FullBacklog
{
public:
  FullBacklog()
  {
    namespace asio = boost::asio;
    acceptor_.open(asio::ip::tcp::v4());
    acceptor_.bind({ asio::ip::address_v4::loopback(), 0 });
    acceptor_.listen(0);
    first_.connect(acceptor_.local_endpoint());
  }

  boost::asio::ip::tcp::endpoint Endpoint() const
  {
    return acceptor_.local_endpoint();
  }

private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_{ context_ };
  boost::asio::ip::tcp::socket first_{ context_ };
};

}
