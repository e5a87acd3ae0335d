#include "transport/http_session.h"

#include <poll.h>

#include <boost/asio/post.hpp>

#include "protocol/caller_json.h"
#include "transport/event_log.h"

namespace greengage::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using state::RefusalCode;

namespace {

// Closing a socket that has unread data resets the connection, and the peer may
// lose the response. Therefore the remaining data is read and discarded first,
// within these limits.
constexpr std::chrono::milliseconds kLingerTimeout{ 1000 };
constexpr std::size_t kMaxDiscardedBytes = 16 * 1024 * 1024;
constexpr std::size_t kDiscardChunkBytes = 64 * 1024;

constexpr unsigned kHttp11 = 11;

/** Limits the length of a log line; a header can have thousands of bytes. */
constexpr std::size_t kMaxLoggedTarget = 200;

}

HttpSession::HttpSession(asio::ip::tcp::socket aSocket,
                         std::shared_ptr<HttpServerState> aState,
                         std::atomic<std::size_t>& aSessionCounter)
  : stream_(std::move(aSocket))
  , state_(std::move(aState))
  , sessionCounter_(aSessionCounter)
  , timer_(stream_.get_executor())
{
  ++sessionCounter_;
}

HttpSession::~HttpSession()
{
  if (isHandling_) {
    --state_->requests;
  }
  --sessionCounter_;
  std::lock_guard lock(state_->sessionsMutex);
  state_->sessions.erase(this);
}

void
HttpSession::CloseIfIdle()
{
  asio::post(stream_.get_executor(), [self = shared_from_this()] {
    if (self->isIdle_) {
      self->Close();
    }
  });
}

void
HttpSession::Start()
{
  {
    std::lock_guard lock(state_->sessionsMutex);
    state_->sessions.emplace(this, weak_from_this());
  }
  asio::post(stream_.get_executor(), [self = shared_from_this()] {
    error_code ignored;
    self->stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    self->AwaitRequest(self->state_->limits.headerTimeout);
  });
}

void
HttpSession::StartRefusal()
{
  asio::post(stream_.get_executor(), [self = shared_from_this()] {
    self->Refuse(503, RefusalCode::eBusy, "too many open connections");
  });
}

void
HttpSession::AwaitRequest(std::chrono::milliseconds aTimeout)
{
  if (buffer_.size() != 0) {
    ReadHeader();
    return;
  }
  StartTimer(aTimeout);
  isIdle_ = true;
  stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                              [self = shared_from_this()](error_code aError) {
                                self->isIdle_ = false;
                                self->StopTimer();
                                if (aError) {
                                  self->Close();
                                  return;
                                }
                                self->ReadHeader();
                              });
}

void
HttpSession::ReadHeader()
{
  parser_.emplace();
  parser_->header_limit(
    static_cast<std::uint32_t>(state_->limits.maxHeaderBytes));
  parser_->body_limit(state_->limits.maxBodyBytes);
  StartTimer(state_->limits.headerTimeout);
  http::async_read_header(
    stream_,
    buffer_,
    *parser_,
    [self = shared_from_this()](error_code aError, std::size_t) {
      self->StopTimer();
      self->OnHeader(aError);
    });
}

void
HttpSession::OnHeader(error_code aError)
{
  if (aError == http::error::end_of_stream) {
    Close();
    return;
  }
  if (aError) {
    OnReadError(aError);
    return;
  }
  const auto& request = parser_->get();
  httpVersion_ = std::min(request.version(), kHttp11);
  isHeadRequest_ = request.method() == http::verb::head;
  if (beast::iequals(request[http::field::expect], "100-continue")) {
    SendContinue();
    return;
  }
  ReadBody();
}

void
HttpSession::SendContinue()
{
  // Clients such as curl wait for this response before they send a large body.
  continue_ = { http::status::continue_, kHttp11 };
  StartTimer(state_->limits.bodyTimeout);
  http::async_write(
    stream_,
    continue_,
    [self = shared_from_this()](error_code aError, std::size_t) {
      self->StopTimer();
      if (aError) {
        self->Close();
        return;
      }
      self->ReadBody();
    });
}

void
HttpSession::ReadBody()
{
  StartTimer(state_->limits.bodyTimeout);
  http::async_read(stream_,
                   buffer_,
                   *parser_,
                   [self = shared_from_this()](error_code aError, std::size_t) {
                     self->StopTimer();
                     if (aError) {
                       self->OnReadError(aError);
                       return;
                     }
                     self->Handle();
                   });
}

void
HttpSession::Handle()
{
  auto request = parser_->release();
  if (state_->abandonedHandler && IsClosedByPeer()) {
    Drop(request);
    return;
  }
  keepAlive_ = request.keep_alive();
  isHandling_ = true;
  ++state_->requests;
  HttpRequest value{ std::string(request.method_string()),
                     std::string(request.target()),
                     std::move(request.body()),
                     {},
                     state_->nextRequestNumber++,
                     std::chrono::steady_clock::now() };
  for (const auto& field : request) {
    value.headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  requestNumber_ = value.requestNumber;
  if (state_->abandonedHandler) {
    DetectDisconnect();
  }
  state_->handler(
    std::move(value), [self = shared_from_this()](HttpResponse aResponse) {
      asio::post(self->stream_.get_executor(),
                 [self, response = std::move(aResponse)]() mutable {
                   self->Write(std::move(response));
                 });
    });
}

void
HttpSession::DetectDisconnect()
{
  stream_.socket().async_wait(
    asio::ip::tcp::socket::wait_read,
    [weak = weak_from_this(),
     requestNumber = requestNumber_](error_code aError) {
      auto self = weak.lock();
      if (self && !aError) {
        self->OnPeerReadable(requestNumber);
      }
    });
}

void
HttpSession::OnPeerReadable(std::uint64_t aRequestNumber)
{
  if (!isHandling_ || requestNumber_ != aRequestNumber) {
    return;
  }
  // Bytes of the next request are read after the response to this one.
  if (IsClosedByPeer()) {
    state_->abandonedHandler(aRequestNumber);
  }
}

bool
HttpSession::IsClosedByPeer()
{
  // A reset is visible here even if bytes of the next request are unread.
  pollfd state{ stream_.socket().native_handle(), 0, 0 };
  if (::poll(&state, 1, 0) == 1 && (state.revents & (POLLERR | POLLHUP)) != 0) {
    return true;
  }
  char byte = 0;
  error_code error;
  stream_.socket().non_blocking(true, error);
  std::size_t bytes = stream_.socket().receive(
    asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error != asio::error::would_block && bytes == 0;
}

void
HttpSession::Drop(const http::request<Body>& aRequest)
{
  ++state_->droppedRequests;
  LogEvent(
    events::kRequestDropped,
    "method={} target={} reason=\"closed by its caller\"",
    std::string(aRequest.method_string()),
    QuoteValue(std::string(aRequest.target().substr(0, kMaxLoggedTarget))));
  Close();
}

void
HttpSession::OnReadError(error_code aError)
{
  if (timedOut_) {
    Refuse(408, RefusalCode::eBadRequest, "the request took too long");
  } else if (aError == http::error::body_limit) {
    Refuse(413, RefusalCode::eBadRequest, "the body is too large");
  } else if (aError == http::error::header_limit) {
    Refuse(431, RefusalCode::eBadRequest, "the header is too large");
  } else if (aError == http::error::partial_message) {
    Refuse(400, RefusalCode::eBadRequest, "the request ended too early");
  } else if (aError.category() ==
             http::make_error_code(http::error::bad_method).category()) {
    std::string message = "malformed HTTP request: " + aError.message();
    Refuse(400, RefusalCode::eBadRequest, message.c_str());
  } else {
    Close();
  }
}

void
HttpSession::Refuse(unsigned aStatus, RefusalCode aCode, const char* aMessage)
{
  keepAlive_ = false;
  HttpResponse response;
  response.status = aStatus;
  response.body = protocol::EncodeError(aCode, "", aMessage);
  Write(std::move(response));
}

void
HttpSession::Write(HttpResponse aResponse)
{
  if (state_->stopping) {
    keepAlive_ = false;
  }
  response_ = {};
  response_.version(httpVersion_);
  response_.result(aResponse.status);
  response_.set(http::field::content_type, aResponse.contentType);
  for (const HttpHeader& header : aResponse.headers) {
    response_.set(header.name, header.value);
  }
  response_.keep_alive(keepAlive_);
  response_.content_length(aResponse.body.size());
  if (!isHeadRequest_) {
    response_.body() = std::move(aResponse.body);
  }
  StartTimer(state_->limits.bodyTimeout);
  http::async_write(
    stream_,
    response_,
    [self = shared_from_this()](error_code aError, std::size_t) {
      self->StopTimer();
      self->OnWritten(aError);
    });
}

void
HttpSession::OnWritten(error_code aError)
{
  if (isHandling_) {
    isHandling_ = false;
    --state_->requests;
  }
  if (aError) {
    Close();
  } else if (keepAlive_) {
    AwaitRequest(state_->limits.idleTimeout);
  } else {
    Linger();
  }
}

void
HttpSession::Linger()
{
  error_code ignored;
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  StartTimer(kLingerTimeout);
  Discard();
}

void
HttpSession::Discard()
{
  buffer_.clear();
  stream_.async_read_some(
    buffer_.prepare(kDiscardChunkBytes),
    [self = shared_from_this()](error_code aError, std::size_t aBytes) {
      self->discardedBytes_ += aBytes;
      if (aError || self->discardedBytes_ > kMaxDiscardedBytes) {
        self->StopTimer();
        self->Close();
        return;
      }
      self->Discard();
    });
}

void
HttpSession::Close()
{
  stream_.close();
}

void
HttpSession::StartTimer(std::chrono::milliseconds aTimeout)
{
  // The timeout of tcp_stream would close the socket, and a slow client would
  // get no response. This timer only cancels the operation in progress.
  timedOut_ = false;
  timer_.expires_after(aTimeout);
  timer_.async_wait([weak = weak_from_this(),
                     generation = ++timerGeneration_](error_code aError) {
    auto self = weak.lock();
    if (!aError && self && self->timerGeneration_ == generation) {
      self->timedOut_ = true;
      self->stream_.cancel();
    }
  });
}

void
HttpSession::StopTimer()
{
  ++timerGeneration_;
  timer_.cancel();
}

}
