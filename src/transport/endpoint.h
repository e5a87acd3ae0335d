#pragma once

#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include "transport/transport_error.h"

namespace greengage::transport {

/** Parses `ip:port` or `[ipv6]:port`; host names are refused. */
tl::expected<boost::asio::ip::tcp::endpoint, TransportError>
ParseEndpoint(std::string_view aText);

/**
 * Opens, binds and listens; port 0 selects a free port. Returns the address
 * that is in use; the error names the address.
 */
tl::expected<boost::asio::ip::tcp::endpoint, TransportError>
OpenListener(boost::asio::ip::tcp::acceptor& aAcceptor,
             const boost::asio::ip::tcp::endpoint& aEndpoint);

/** `ip:port` or `[ipv6]:port`. */
std::string
ToString(const boost::asio::ip::tcp::endpoint& aEndpoint);

}
