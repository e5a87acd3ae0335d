#pragma once

#include <string>

#include <tl/expected.hpp>

#include "daemon/daemon_error.h"
#include "transport/endpoint.h"

namespace greengage::daemon {

/** Starts a server on `ip:port`; does nothing if the address is empty. */
template<class Server>
tl::expected<void, DaemonError>
StartListening(Server& aServer, const std::string& aAddress)
{
  if (aAddress.empty()) {
    return {};
  }
  auto endpoint = transport::ParseEndpoint(aAddress);
  if (!endpoint) {
    return tl::unexpected(DaemonError{ endpoint.error().message });
  }
  auto bound = aServer.Start(*endpoint);
  if (!bound) {
    return tl::unexpected(DaemonError{ bound.error().message });
  }
  return {};
}

}
