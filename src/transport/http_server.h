#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <tl/expected.hpp>

#include "transport/traffic_pool.h"
#include "transport/transport_error.h"

namespace greengage::transport {

struct HttpHeader
{
  std::string name;
  std::string value;

  bool operator==(const HttpHeader&) const = default;
};

/** A whole request, as the handler sees it. */
struct HttpRequest
{
  std::string method;
  /** Path and query, still percent-encoded. */
  std::string target;
  std::string body;
  std::vector<HttpHeader> headers;
  /** Number of the request at its server, for HttpAbandonedHandler. */
  std::uint64_t exchange = 0;

  bool operator==(const HttpRequest&) const = default;
};

/** Value of the first header with this name in any case; empty if none. */
std::string_view
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName);

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

/**
 * The peer closed its connection while the request with this number was being
 * handled; runs in a traffic thread.
 */
using HttpAbandonedHandler = std::function<void(std::uint64_t aExchange)>;

/** Limits against slow and oversized requests. */
struct HttpServerLimits
{
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 8 * 1024 * 1024;
  /** From the first byte of a request to the end of its header. */
  std::chrono::milliseconds headerTimeout{ 10'000 };
  /** For the body of a request, and for writing a response. */
  std::chrono::milliseconds bodyTimeout{ 10'000 };
  /** Between two requests of a connection. */
  std::chrono::milliseconds idleTimeout{ 60'000 };
  /** Connections above this are answered 503. */
  std::size_t maxConnections = 4096;
};

struct HttpServerState;

/**
 * HTTP/1.1 server on the traffic threads. It must outlive the run of the
 * traffic threads.
 */
class HttpServer
{
public:
  HttpServer(TrafficPool& aTraffic,
             HttpHandler aHandler,
             HttpServerLimits aLimits = {},
             HttpAbandonedHandler aAbandoned = nullptr);

  /** Binds and starts to accept; port 0 selects a free port. */
  tl::expected<boost::asio::ip::tcp::endpoint, TransportError> Start(
    const boost::asio::ip::tcp::endpoint& aEndpoint);

  /**
   * Accepts no more connections; requests in progress are still answered and
   * their connections closed.
   */
  void StopAccepting();

  /** Closes the connections that wait for a request. */
  void CloseIdle();

  /** Responses from now on ask the caller to close the connection. */
  void CloseAfterResponses();

  /** Connections that are open, with those that are being refused. */
  std::size_t OpenConnections() const;
  /** Requests that were read and whose response is not written yet. */
  std::size_t RequestsInProgress() const;

private:
  void Accept();
  void AcceptLater(boost::system::error_code aError);
  void Serve(boost::asio::ip::tcp::socket aSocket);
  void ReportRefusal();

  TrafficPool& traffic_;
  /** The acceptor and the members below it are used on its strand only. */
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer acceptRetry_;
  std::string address_;
  std::uint64_t unreportedRefusals_ = 0;
  std::chrono::steady_clock::time_point lastRefusalReport_;
  std::shared_ptr<HttpServerState> state_;
};

}
