#include "support/reserved_port.h"

namespace greengage::testing_support {

namespace asio = boost::asio;

ReservedPort::ReservedPort()
  : socket_(context_, asio::ip::tcp::v4())
{
  socket_.set_option(asio::socket_base::reuse_address(true));
  socket_.bind({ asio::ip::address_v4::loopback(), 0 });
  number_ = socket_.local_endpoint().port();
}

}
