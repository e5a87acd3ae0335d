#include "support/reserved_port.h"

#include <gtest/gtest.h>

#include "transport/endpoint.h"

namespace greengage::testing_support {
namespace {

namespace asio = boost::asio;

// Guards against tests that take each other's ports while the process that is
// to listen on one has not started yet, or restarts.
TEST(ReservedPortTest, IsHeldWhileNoProcessListens)
{
  ReservedPort port;
  asio::ip::tcp::endpoint endpoint(
    asio::ip::address_v4::loopback(),
    static_cast<asio::ip::port_type>(port.Number()));
  asio::io_context context;
  auto isTaken = [&] {
    asio::ip::tcp::socket other(context, asio::ip::tcp::v4());
    boost::system::error_code error;
    other.bind(endpoint, error);
    return error == asio::error::address_in_use;
  };
  EXPECT_TRUE(isTaken());
  for (int start = 0; start < 2; ++start) {
    {
      asio::ip::tcp::acceptor listener(context);
      auto listening = transport::OpenListener(listener, endpoint);
      ASSERT_TRUE(listening) << listening.error().message;
    }
    EXPECT_TRUE(isTaken());
  }
}

}
}
