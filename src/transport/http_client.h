#pragma once

#include <chrono>
#include <functional>
#include <list>
#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <tl/expected.hpp>

#include "transport/http_server.h"
#include "transport/traffic_pool.h"
#include "transport/transport_error.h"

namespace greengage::transport {

/**
 * HTTP/1.1 client of one server address with kept-alive connections. A request
 * is sent at most once: it is never repeated by the client itself.
 */
class HttpClient
{
public:
  using Result = tl::expected<HttpResponse, TransportError>;
  /** Runs in a traffic thread, once. */
  using Handler = std::function<void(Result)>;
  /** Gives up a request; its handler gets eAborted if it has not run. */
  using Abort = std::function<void()>;

  HttpClient(TrafficPool& aTraffic,
             const boost::asio::ip::tcp::endpoint& aServer);
  ~HttpClient();

  /** Later requests go to this address; not concurrently with Send(). */
  void SetServer(const boost::asio::ip::tcp::endpoint& aServer);

  /** The error kind tells whether the server can have seen the request. */
  Abort Send(HttpRequest aRequest,
             std::chrono::milliseconds aTimeout,
             Handler aHandler);

private:
  struct Pool;

  TrafficPool& traffic_;
  std::shared_ptr<Pool> pool_;
};

}
