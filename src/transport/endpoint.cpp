#include "transport/endpoint.h"

#include <charconv>

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

namespace greengage::transport {

namespace asio = boost::asio;

tl::expected<asio::ip::tcp::endpoint, TransportError>
ParseEndpoint(std::string_view aText)
{
  auto fail = [&](std::string_view aReason) {
    return tl::unexpected(
      TransportError{ TransportErrorKind::eInvalidArgument,
                      fmt::format("\"{}\" {}", aText, aReason) });
  };
  std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return fail("has no port; the form is ip:port");
  }
  std::string_view host = aText.substr(0, colon);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::string_view portText = aText.substr(colon + 1);
  std::uint16_t port = 0;
  auto [end, portError] =
    std::from_chars(portText.data(), portText.data() + portText.size(), port);
  if (portError != std::errc() || end != portText.data() + portText.size()) {
    return fail("has no valid port (0 to 65535)");
  }
  boost::system::error_code addressError;
  auto address = asio::ip::make_address(std::string(host), addressError);
  // make_address() ignores the text after a zero byte.
  if (addressError || host.find('\0') != std::string_view::npos) {
    return fail("has no valid IP address");
  }
  return asio::ip::tcp::endpoint(address, port);
}

tl::expected<asio::ip::tcp::endpoint, TransportError>
OpenListener(asio::ip::tcp::acceptor& aAcceptor,
             const asio::ip::tcp::endpoint& aEndpoint)
{
  boost::system::error_code error;
  aAcceptor.open(aEndpoint.protocol(), error);
  if (!error) {
    aAcceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    aAcceptor.bind(aEndpoint, error);
  }
  if (!error) {
    aAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return tl::unexpected(TransportError{
      TransportErrorKind::eInvalidArgument,
      "cannot listen on " + ToString(aEndpoint) + ": " + error.message() });
  }
  return aAcceptor.local_endpoint();
}

std::string
ToString(const asio::ip::tcp::endpoint& aEndpoint)
{
  if (aEndpoint.address().is_v6()) {
    return fmt::format(
      "[{}]:{}", aEndpoint.address().to_string(), aEndpoint.port());
  }
  return fmt::format(
    "{}:{}", aEndpoint.address().to_string(), aEndpoint.port());
}

}
