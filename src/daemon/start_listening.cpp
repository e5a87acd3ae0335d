#include "daemon/start_listening.h"

#include "transport/endpoint.h"

namespace greengage::daemon {

tl::expected<void, DaemonError>
StartListening(transport::HttpServer& aServer, const std::string& aAddress)
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
