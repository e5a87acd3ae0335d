#pragma once

#include <functional>

#include "transport/http_server.h"

namespace greengage::daemon {

/** Texts that a StatusServer shows; called in a traffic thread. */
struct StatusServerHooks
{
  std::function<void(transport::HttpResponder)> showStatus;
  std::function<void(transport::HttpResponder)> showMetrics;
};

/** `/metrics` and `/v1/status` of a process that has no other HTTP front. */
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

/** Response with figures in the Prometheus text format. */
transport::HttpResponse
MetricsResponse(std::string aText);

}
