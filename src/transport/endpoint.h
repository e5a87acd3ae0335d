#pragma once

#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include "transport/transport_error.h"

namespace greengage::transport {

/** Parses `ip:port` or `[ipv6]:port`. Host names are rejected. */
tl::expected<boost::asio::ip::tcp::endpoint, TransportError>
ParseEndpoint(std::string_view aText);

/**
 * Opens and binds the acceptor and starts to listen. Port 0 selects a free
 * port. Returns the bound address, or an error that names the address.
 */
tl::expected<boost::asio::ip::tcp::endpoint, TransportError>
OpenListener(boost::asio::ip::tcp::acceptor& aAcceptor,
             const boost::asio::ip::tcp::endpoint& aEndpoint);

/** Returns `ip:port` or `[ipv6]:port`. */
std::string
ToString(const boost::asio::ip::tcp::endpoint& aEndpoint);

}
