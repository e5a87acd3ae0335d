#include "daemon/status_server.h"

#include "daemon/entry_routes.h"

namespace greengage::daemon {

using state::RefusalCode;
using transport::HttpRequest;
using transport::HttpResponder;

StatusServer::StatusServer(transport::TrafficPool& aTraffic,
                           StatusServerHooks aHooks)
  : hooks_(std::move(aHooks))
  , http_(
      aTraffic,
      [this](HttpRequest aRequest, HttpResponder aRespond) {
        Handle(aRequest, aRespond);
      },
      transport::ServiceLimits(aTraffic.Guard().Limits()))
{
}

tl::expected<boost::asio::ip::tcp::endpoint, transport::TransportError>
StatusServer::Start(const boost::asio::ip::tcp::endpoint& aEndpoint)
{
  return http_.Start(aEndpoint);
}

void
StatusServer::Handle(const HttpRequest& aRequest,
                     const HttpResponder& aRespond) const
{
  if (aRequest.method != "GET") {
    aRespond(RefusalResponse(
      405, RefusalCode::eBadRequest, "", "the allowed method is GET"));
  } else if (aRequest.target == "/metrics") {
    hooks_.showMetrics(aRespond);
  } else if (aRequest.target == "/v1/status") {
    hooks_.showStatus(aRespond);
  } else {
    aRespond(RefusalResponse(
      404, RefusalCode::eBadRequest, "", "there is no such resource"));
  }
}

transport::HttpResponse
MetricsResponse(std::string aText)
{
  return { 200, std::move(aText), "text/plain; version=0.0.4", {} };
}

}
