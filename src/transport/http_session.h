#pragma once

#include <atomic>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "state/refusal_code.h"
#include "transport/connection_guard.h"
#include "transport/http_input.h"
#include "transport/http_server.h"

namespace greengage::transport {

class HttpSession;

/** State that all sessions of a server share. */
struct HttpServerState
{
  explicit HttpServerState(ConnectionGuard& aGuard)
    : guard(aGuard)
  {
  }

  ConnectionGuard& guard;
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
  /**
   * Sessions without a complete request, first the one that has none for the
   * longest.
   */
  std::list<std::weak_ptr<HttpSession>> quietSessions;
};

/**
 * A server-side connection. Its requests are handled one after the other; all
 * handlers run on the strand of the socket.
 *
 * The socket is read at all times, also while a request is handled: only then
 * the end of the connection is seen behind bytes of later requests. A peer that
 * sends more than a limit meanwhile is disconnected.
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

  /**
   * Closes the connection if it has no complete request, to make room for
   * another one. May be called from any thread.
   */
  void CloseIfQuiet();

  /** Sends a response with status 503 without reading a request and closes. */
  void StartRefusal();

private:
  enum class Phase
  {
    /** Waits for the first byte of a request. */
    eIdle,
    eReading,
    /** Writes the interim response "100 Continue". */
    eContinuing,
    eHandling,
    /** Writes a response. */
    eWriting,
    /** Discards bytes until the peer closes. */
    eLingering,
    eClosed,
  };

  enum class ReadResult
  {
    eOpen,
    /** The peer sends no more bytes. */
    eEnd,
    /** The connection was reset. */
    eReset,
  };

  void AwaitReadable();
  void OnReadable(boost::system::error_code aError);
  /** Appends the bytes that were received to the input. */
  ReadResult Receive();
  /** Waits for the next request, which may have been received. */
  void BeginRequest(std::chrono::milliseconds aTimeout);
  /** Goes on with the request of which bytes were received. */
  void Advance();
  void OnHeader();
  void SendContinue();
  void Handle();
  /** Reads while a request is handled or its response is written. */
  void ReadAhead();
  /** Calls the abandoned handler for the request that is handled. */
  void Abandon();
  /** Returns true if the peer has closed or reset the connection. */
  bool IsClosedByPeer();
  /** Closes the connection without handling the request. */
  void Drop(const HttpInput::Request& aRequest);
  /** Refuses a request that could not be read. */
  void OnParseError();
  /** Sends an error response and closes the connection. */
  void Refuse(unsigned aStatus, state::RefusalCode aCode, const char* aMessage);
  void Write(HttpResponse aResponse);
  void OnWritten(boost::system::error_code aError);
  /** Closes the sending side and reads until the peer closes. */
  void Linger();
  /** Reads and discards bytes until the peer closes or a limit is exceeded. */
  void Discard();
  void Close();

  /** Updates the bytes held; returns false if they must be released. */
  bool CountBytes();
  /** Releases the bytes held: refuses the request or closes the connection. */
  void OnEvicted(std::size_t aBytes);
  void ReportLimited(ConnectionLimit aLimit, std::size_t aBytes);
  /** Adds this session to the quiet ones or removes it. */
  void SetQuiet(bool aQuiet);

  void StartTimer(std::chrono::milliseconds aTimeout);
  void StopTimer();
  void OnTimeout();

  boost::beast::tcp_stream stream_;
  std::shared_ptr<HttpServerState> state_;
  std::atomic<std::size_t>& sessionCounter_;
  boost::asio::steady_timer timer_;
  /** Incremented by every start and stop; outdated timer events are ignored. */
  std::uint64_t timerGeneration_ = 0;
  Phase phase_ = Phase::eIdle;
  /** A wait for received bytes or the end of the connection is in progress. */
  bool isWaiting_ = false;
  /** The peer sends no more bytes. */
  bool isEnded_ = false;
  /** A request was read and its response is not written yet. */
  bool isHandling_ = false;
  /** Number of the last request. */
  std::uint64_t requestNumber_ = 0;
  bool keepAlive_ = true;
  /** The method is HEAD, so the response has no body. */
  bool isHeadRequest_ = false;
  unsigned httpVersion_ = 11;
  std::size_t discardedBytes_ = 0;
  HttpInput input_;
  /** Null for a refusal, which reads no request. */
  std::unique_ptr<ByteBudget::Account> account_;
  /** Position in the quiet sessions; protected by their mutex. */
  std::optional<std::list<std::weak_ptr<HttpSession>>::iterator> quietPosition_;
  boost::beast::http::response<boost::beast::http::empty_body> continue_;
  boost::beast::http::response<boost::beast::http::string_body> response_;
};

}
