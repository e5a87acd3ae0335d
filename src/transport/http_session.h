#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "state/refusal_code.h"
#include "transport/http_server.h"

namespace greengage::transport {

class HttpSession;

/** State that all sessions of a server share. */
struct HttpServerState
{
  HttpHandler handler;
  /** Empty if the server does not report abandoned requests. */
  HttpAbandonedHandler abandonedHandler;
  std::atomic<std::uint64_t> nextRequestNumber{ 1 };
  HttpServerLimits limits;
  /** Open connections within the limit. */
  std::atomic<std::size_t> connections{ 0 };
  /** Connections above the limit that are being answered with status 503. */
  std::atomic<std::size_t> refusals{ 0 };
  /** Requests that were read and whose response is not written yet. */
  std::atomic<std::size_t> requests{ 0 };
  /** Requests whose peer had closed the connection when they were read. */
  std::atomic<std::uint64_t> droppedRequests{ 0 };
  /** True if connections are closed after their next response. */
  std::atomic<bool> stopping{ false };
  std::mutex sessionsMutex;
  /** Sessions of the open connections, used to close idle ones. */
  std::map<HttpSession*, std::weak_ptr<HttpSession>> sessions;
};

/**
 * A server-side connection. Its requests are handled one after the other; all
 * handlers run on the strand of the socket.
 */
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  /**
   * Increments aSessionCounter until the session is destroyed: the connections
   * or the refusals of aState.
   */
  HttpSession(boost::asio::ip::tcp::socket aSocket,
              std::shared_ptr<HttpServerState> aState,
              std::atomic<std::size_t>& aSessionCounter);
  ~HttpSession();

  /** Serves requests until the peer closes or a limit is exceeded. */
  void Start();

  /**
   * Closes the connection if it waits for the first byte of a request. May be
   * called from any thread.
   */
  void CloseIfIdle();

  /** Sends a response with status 503 without reading a request and closes. */
  void StartRefusal();

private:
  using Body = boost::beast::http::string_body;

  /** Waits for the first byte of the next request. */
  void AwaitRequest(std::chrono::milliseconds aTimeout);
  void ReadHeader();
  void OnHeader(boost::system::error_code aError);
  void SendContinue();
  void ReadBody();
  void Handle();
  /** Calls the abandoned handler if the peer closes before the response. */
  void DetectDisconnect();
  /** Returns true if the peer has closed or reset the connection. */
  bool IsClosedByPeer();
  /** Closes the connection without handling the request. */
  void Drop(const boost::beast::http::request<Body>& aRequest);
  void OnPeerReadable(std::uint64_t aRequestNumber);
  /** Refuses a request that could not be read, or closes the connection. */
  void OnReadError(boost::system::error_code aError);
  /** Sends an error response and closes the connection. */
  void Refuse(unsigned aStatus, state::RefusalCode aCode, const char* aMessage);
  void Write(HttpResponse aResponse);
  void OnWritten(boost::system::error_code aError);
  /** Closes the sending side and reads until the peer closes. */
  void Linger();
  /** Reads and discards bytes until the peer closes or a limit is exceeded. */
  void Discard();
  void Close();

  void StartTimer(std::chrono::milliseconds aTimeout);
  void StopTimer();

  boost::beast::tcp_stream stream_;
  std::shared_ptr<HttpServerState> state_;
  std::atomic<std::size_t>& sessionCounter_;
  boost::asio::steady_timer timer_;
  /** Incremented by every start and stop; outdated timer events are ignored. */
  std::uint64_t timerGeneration_ = 0;
  bool timedOut_ = false;
  /** A request was read and its response is not written yet. */
  bool isHandling_ = false;
  /** The session waits for the first byte of a request. */
  bool isIdle_ = false;
  /** Number of the last request. */
  std::uint64_t requestNumber_ = 0;
  bool keepAlive_ = true;
  /** The method is HEAD, so the response has no body. */
  bool isHeadRequest_ = false;
  unsigned httpVersion_ = 11;
  std::size_t discardedBytes_ = 0;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<Body>> parser_;
  boost::beast::http::response<boost::beast::http::empty_body> continue_;
  boost::beast::http::response<Body> response_;
};

}
