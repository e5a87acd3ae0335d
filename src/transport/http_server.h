#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include "transport/traffic_pool.h"
#include "transport/transport_error.h"

namespace greengage::transport {

/** A whole request, as the handler sees it. */
struct HttpRequest
{
  std::string method;
  /** Path and query, still percent-encoded. */
  std::string target;
  std::string body;

  bool operator==(const HttpRequest&) const = default;
};

struct HttpHeader
{
  std::string name;
  std::string value;

  bool operator==(const HttpHeader&) const = default;
};

struct HttpResponse
{
  unsigned status = 200;
  std::string body;
  std::string contentType = "application/json";
  std::vector<HttpHeader> headers;

  bool operator==(const HttpResponse&) const = default;
};

/** Sends the response; must be called once, from any thread. */
using HttpResponder = std::function<void(HttpResponse)>;

/** Handles one request; runs in a traffic thread. */
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

/** Limits against slow and oversized requests. */
struct HttpServerLimits
{
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 8 * 1024 * 1024;
  std::chrono::milliseconds headerTimeout{ 10'000 };
  std::chrono::milliseconds bodyTimeout{ 10'000 };
  std::chrono::milliseconds idleTimeout{ 60'000 };
  std::size_t maxConnections = 4096;
};

/** HTTP/1.1 server on the traffic threads. */
class HttpServer
{
public:
  HttpServer(TrafficPool& aTraffic,
             HttpHandler aHandler,
             HttpServerLimits aLimits = {});

  /** Binds and starts to accept; port 0 selects a free port. */
  tl::expected<boost::asio::ip::tcp::endpoint, TransportError> Start(
    const boost::asio::ip::tcp::endpoint& aEndpoint);

  /** Accepts no more connections; open requests are still answered. */
  void StopAccepting();

  std::size_t OpenConnections() const { return *connections_; }

private:
  void Accept();

  TrafficPool& traffic_;
  HttpHandler handler_;
  HttpServerLimits limits_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<std::atomic<std::size_t>> connections_;
};

}
