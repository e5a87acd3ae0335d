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

/** What the sessions of one server share. */
struct HttpServerState
{
  HttpHandler handler;
  /** Empty if nobody asks. */
  HttpAbandonedHandler abandoned;
  std::atomic<std::uint64_t> nextExchange{ 1 };
  HttpServerLimits limits;
  std::atomic<std::size_t> connections{ 0 };
  /** Connections above the limit that get a refusal at the moment. */
  std::atomic<std::size_t> refusals{ 0 };
  /** Requests whose response is not written yet. */
  std::atomic<std::size_t> requests{ 0 };
  std::atomic<bool> stopping{ false };
  std::mutex sessionsMutex;
  /** Open connections, so that idle ones can be closed. */
  std::map<HttpSession*, std::weak_ptr<HttpSession>> sessions;
};

/**
 * One connection; its requests are handled one after the other. Everything runs
 * on the strand of the socket.
 */
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  HttpSession(boost::asio::ip::tcp::socket aSocket,
              std::shared_ptr<HttpServerState> aState,
              std::atomic<std::size_t>& aCounter);
  ~HttpSession();

  /** Serves requests until the peer closes or a limit is reached. */
  void Start();

  /** Closes the connection if no request is on its way; from any thread. */
  void CloseIfIdle();

  /** Answers 503 without reading a request, then closes. */
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
  /** Tells the server if the peer closes before the response. */
  void WatchPeer();
  void OnPeerReadable(std::uint64_t aExchange);
  void Reject(boost::system::error_code aError);
  void Refuse(unsigned aStatus, state::RefusalCode aCode, const char* aMessage);
  void Write(HttpResponse aResponse);
  void OnWritten(boost::system::error_code aError);
  /** Lets the peer read the response before the connection closes. */
  void Linger();
  void Discard();
  void Close();

  void StartTimer(std::chrono::milliseconds aTimeout);
  void StopTimer();

  boost::beast::tcp_stream stream_;
  std::shared_ptr<HttpServerState> state_;
  std::atomic<std::size_t>& counter_;
  boost::asio::steady_timer timer_;
  /** Number of the timer in use; a timer that fires late is ignored. */
  std::uint64_t timerNumber_ = 0;
  bool timedOut_ = false;
  bool handling_ = false;
  /** Waits for the first byte of a request. */
  bool idle_ = false;
  std::uint64_t exchange_ = 0;
  bool keepAlive_ = true;
  bool headRequest_ = false;
  unsigned version_ = 11;
  std::size_t discarded_ = 0;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<Body>> parser_;
  boost::beast::http::response<boost::beast::http::empty_body> continue_;
  boost::beast::http::response<Body> response_;
};

}
