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

/** A completely received request. */
struct HttpRequest
{
  std::string method;
  /** Path and query, still percent-encoded. */
  std::string target;
  std::string body;
  std::vector<HttpHeader> headers;
  /** Number that the server gave the request, for HttpAbandonedHandler. */
  std::uint64_t requestNumber = 0;
  /** Time at which the end of the request was read. */
  std::chrono::steady_clock::time_point readAt{};

  bool operator==(const HttpRequest&) const = default;
};

/**
 * Returns the value of the first header with this name, or an empty text if
 * there is none. Names are compared case-insensitively.
 */
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

/** Sends the response; must be called exactly once, from any thread. */
using HttpResponder = std::function<void(HttpResponse)>;

/** Handles a request; runs in a traffic thread. */
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

/**
 * Called when the peer closes its connection before the request with this
 * number is answered; runs in a traffic thread. A request whose peer has closed
 * the connection before the request was read is dropped instead.
 */
using HttpAbandonedHandler = std::function<void(std::uint64_t aRequestNumber)>;

/** Limits that protect the server from slow and oversized requests. */
struct HttpServerLimits
{
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 8 * 1024 * 1024;
  /**
   * From the first byte of a request to the end of its header, and from the
   * opening of a connection to its first byte.
   */
  std::chrono::milliseconds headerTimeout{ 10'000 };
  /** For reading the body of a request, and for writing a response. */
  std::chrono::milliseconds bodyTimeout{ 10'000 };
  /** From a response to the first byte of the connection's next request. */
  std::chrono::milliseconds idleTimeout{ 60'000 };
  /**
   * A further connection replaces the one that has had no complete request for
   * the longest. If all have one, it is answered with status 503 and closed.
   */
  std::size_t maxConnections = 4096;
};

/** Limits of a server that answers only short requests without a body. */
HttpServerLimits
ServiceLimits(const ConnectionLimits& aLimits);

struct HttpServerState;

/**
 * HTTP/1.1 server that runs on the traffic threads. It must not be destroyed
 * before the traffic threads have stopped.
 */
class HttpServer
{
public:
  HttpServer(TrafficPool& aTraffic,
             HttpHandler aHandler,
             HttpServerLimits aLimits = {},
             HttpAbandonedHandler aAbandoned = nullptr);

  /**
   * Binds the listener, starts accepting and returns the bound address. Port 0
   * selects a free port.
   */
  tl::expected<boost::asio::ip::tcp::endpoint, TransportError> Start(
    const boost::asio::ip::tcp::endpoint& aEndpoint);

  /**
   * Stops accepting connections. Requests in progress are still answered, then
   * their connections are closed.
   */
  void StopAccepting();

  /** Closes the connections that wait for the first byte of a request. */
  void CloseIdle();

  /**
   * Closes each connection after its next response, which announces that to the
   * caller.
   */
  void CloseAfterResponses();

  /** Number of open connections, including those that are being refused. */
  std::size_t OpenConnections() const;
  /** Number of requests that were read and are not answered yet. */
  std::size_t RequestsInProgress() const;
  /** Number of requests that were not handled: their peer had closed. */
  std::uint64_t DroppedRequests() const;

private:
  void Accept();
  /** Logs the error and accepts again after a pause. */
  void AcceptLater(boost::system::error_code aError);
  void Serve(boost::asio::ip::tcp::socket aSocket);
  /**
   * Closes the connection that has had no complete request for the longest.
   * Returns false if all connections have one.
   */
  bool CloseQuiet();
  /** Logs the refused connections, at most once per second. */
  void ReportRefusal();

  TrafficPool& traffic_;
  // The acceptor, the timer and the refusal counts are used on the acceptor's
  // strand only.
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer acceptRetryTimer_;
  std::string address_;
  std::uint64_t unreportedRefusals_ = 0;
  std::chrono::steady_clock::time_point lastRefusalReport_;
  std::shared_ptr<HttpServerState> state_;
};

}
