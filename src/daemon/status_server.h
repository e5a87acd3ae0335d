#pragma once

#include <functional>

#include "transport/http_server.h"

namespace greengage::daemon {

/** Handlers of the routes of a StatusServer; called on a traffic thread. */
struct StatusServerHooks
{
  std::function<void(transport::HttpResponder)> showStatus;
  std::function<void(transport::HttpResponder)> showMetrics;
};

/** Serves `/metrics` and `/v1/status` on an address of its own. */
class StatusServer
{
public:
  StatusServer(transport::TrafficPool& aTraffic, StatusServerHooks aHooks);

  tl::expected<boost::asio::ip::tcp::endpoint, transport::TransportError> Start(
    const boost::asio::ip::tcp::endpoint& aEndpoint);

private:
  void Handle(const transport::HttpRequest& aRequest,
              const transport::HttpResponder& aRespond) const;

  StatusServerHooks hooks_;
  transport::HttpServer http_;
};

/** Returns a response with metrics in the Prometheus text format. */
transport::HttpResponse
MetricsResponse(std::string aText);

}
