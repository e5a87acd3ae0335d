#include "transport/http_session.h"

#include <poll.h>

#include <boost/asio/post.hpp>

#include "transport/endpoint.h"
#include "transport/event_log.h"

namespace greengage::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using state::RefusalCode;

namespace {

/** Space that is provided for a read; a usual request fits. */
constexpr std::size_t kReadBytes = 8 * 1024;
/** Reads of one connection before others of the thread get their turn. */
constexpr unsigned kReadsPerTurn = 8;
/** The same while the memory of the process is nearly used up. */
constexpr unsigned kReadsPerTurnNearlyFull = 1;

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
  , input_(state_->limits.maxHeaderBytes, state_->limits.maxBodyBytes)
{
  ++sessionCounter_;
}

HttpSession::~HttpSession()
{
  if (isHandling_) {
    --state_->requests;
  }
  --sessionCounter_;
  SetQuiet(false);
  std::lock_guard lock(state_->sessionsMutex);
  state_->sessions.erase(this);
}

void
HttpSession::CloseIfIdle()
{
  asio::post(stream_.get_executor(), [self = shared_from_this()] {
    if (self->phase_ == Phase::eIdle) {
      self->Close();
    }
  });
}

void
HttpSession::CloseIfQuiet()
{
  asio::post(stream_.get_executor(), [self = shared_from_this()] {
    if (self->phase_ <= Phase::eContinuing) {
      self->ReportLimited(ConnectionLimit::eConnections,
                          self->input_.HeldBytes());
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
  SetQuiet(true);
  account_ = state_->guard.Bytes().Open(
    [weak = weak_from_this(),
     executor = stream_.get_executor()](std::size_t aBytes) {
      asio::post(executor, [weak, aBytes] {
        if (auto self = weak.lock()) {
          self->OnEvicted(aBytes);
        }
      });
    });
  asio::post(stream_.get_executor(), [self = shared_from_this()] {
    error_code ignored;
    self->stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    self->stream_.socket().non_blocking(true, ignored);
    self->BeginRequest(self->state_->limits.headerTimeout);
  });
}

void
HttpSession::StartRefusal()
{
  asio::post(stream_.get_executor(), [self = shared_from_this()] {
    error_code ignored;
    self->stream_.socket().non_blocking(true, ignored);
    self->Refuse(503, RefusalCode::eBusy, "too many open connections");
  });
}

void
HttpSession::AwaitReadable()
{
  if (isWaiting_ || isEnded_ || phase_ == Phase::eClosed) {
    return;
  }
  isWaiting_ = true;
  stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                              [self = shared_from_this()](error_code aError) {
                                self->isWaiting_ = false;
                                self->OnReadable(aError);
                              });
}

void
HttpSession::OnReadable(error_code aError)
{
  switch (phase_) {
    case Phase::eIdle:
    case Phase::eReading:
      break;
    case Phase::eHandling:
    case Phase::eWriting:
      ReadAhead();
      return;
    case Phase::eLingering:
      Discard();
      return;
    case Phase::eContinuing:
    case Phase::eClosed:
      return;
  }
  if (phase_ == Phase::eIdle) {
    account_->BeginRequest();
  }
  ReadResult result = aError ? ReadResult::eReset : Receive();
  if (result == ReadResult::eReset) {
    Close();
    return;
  }
  isEnded_ = result == ReadResult::eEnd;
  if (!CountBytes()) {
    return;
  }
  if (!isEnded_ && phase_ == Phase::eIdle && input_.IsEmpty()) {
    // The socket was reported as readable without a byte.
    AwaitReadable();
    return;
  }
  Advance();
}

HttpSession::ReadResult
HttpSession::Receive()
{
  const unsigned reads = state_->guard.Bytes().IsNearlyFull()
                           ? kReadsPerTurnNearlyFull
                           : kReadsPerTurn;
  for (unsigned i = 0; i < reads; ++i) {
    error_code error;
    std::size_t bytes =
      stream_.socket().read_some(input_.Prepare(kReadBytes), error);
    input_.Commit(bytes);
    if (error == asio::error::would_block) {
      return ReadResult::eOpen;
    }
    if (error) {
      return error == asio::error::eof ? ReadResult::eEnd : ReadResult::eReset;
    }
    if (bytes < kReadBytes) {
      return ReadResult::eOpen;
    }
  }
  return ReadResult::eOpen;
}

void
HttpSession::BeginRequest(std::chrono::milliseconds aTimeout)
{
  phase_ = Phase::eIdle;
  SetQuiet(true);
  if (!input_.IsEmpty() || isEnded_) {
    Advance();
    return;
  }
  StartTimer(aTimeout);
  AwaitReadable();
}

void
HttpSession::Advance()
{
  if (phase_ == Phase::eIdle) {
    if (input_.IsEmpty() && isEnded_) {
      Close();
      return;
    }
    phase_ = Phase::eReading;
    StartTimer(state_->limits.headerTimeout);
  }
  HttpInput::Progress progress = input_.Parse();
  if (progress == HttpInput::Progress::eNeedsMore && isEnded_) {
    progress = input_.ParseEnd();
  }
  switch (progress) {
    case HttpInput::Progress::eHeader:
      OnHeader();
      return;
    case HttpInput::Progress::eRequest:
      StopTimer();
      Handle();
      return;
    case HttpInput::Progress::eFailed:
      OnParseError();
      return;
    case HttpInput::Progress::eNeedsMore:
      break;
  }
  if (isEnded_) {
    Close();
  } else if (CountBytes()) {
    AwaitReadable();
  }
}

void
HttpSession::OnHeader()
{
  const auto& request = input_.Current();
  httpVersion_ = std::min(request.version(), kHttp11);
  isHeadRequest_ = request.method() == http::verb::head;
  StartTimer(state_->limits.bodyTimeout);
  if (beast::iequals(request[http::field::expect], "100-continue")) {
    SendContinue();
    return;
  }
  Advance();
}

void
HttpSession::SendContinue()
{
  // Clients such as curl wait for this response before they send a large body.
  phase_ = Phase::eContinuing;
  continue_ = { http::status::continue_, kHttp11 };
  http::async_write(
    stream_,
    continue_,
    [self = shared_from_this()](error_code aError, std::size_t) {
      if (self->phase_ != Phase::eContinuing) {
        return;
      }
      if (aError) {
        self->Close();
        return;
      }
      self->phase_ = Phase::eReading;
      self->Advance();
    });
}

void
HttpSession::Handle()
{
  auto request = input_.Release();
  if (state_->abandonedHandler && (isEnded_ || IsClosedByPeer())) {
    Drop(request);
    return;
  }
  keepAlive_ = request.keep_alive();
  phase_ = Phase::eHandling;
  isHandling_ = true;
  ++state_->requests;
  SetQuiet(false);
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
  // If the bytes must be released, OnEvicted() is called soon.
  if (CountBytes()) {
    AwaitReadable();
  }
  state_->handler(
    std::move(value), [self = shared_from_this()](HttpResponse aResponse) {
      asio::post(self->stream_.get_executor(),
                 [self, response = std::move(aResponse)]() mutable {
                   if (self->phase_ == Phase::eHandling) {
                     self->Write(std::move(response));
                   }
                 });
    });
}

void
HttpSession::ReadAhead()
{
  ReadResult result = Receive();
  if (!keepAlive_) {
    // No further request is served on this connection.
    input_.Clear();
  }
  if (result == ReadResult::eReset) {
    Abandon();
    Close();
    return;
  }
  if (result == ReadResult::eEnd) {
    isEnded_ = true;
    Abandon();
    return;
  }
  if (input_.UnparsedBytes() > state_->guard.Limits().connectionBytes) {
    ReportLimited(ConnectionLimit::eConnectionBytes, input_.HeldBytes());
    Abandon();
    Close();
    return;
  }
  if (CountBytes()) {
    AwaitReadable();
  }
}

void
HttpSession::Abandon()
{
  if (phase_ == Phase::eHandling && state_->abandonedHandler) {
    state_->abandonedHandler(requestNumber_);
  }
}

bool
HttpSession::IsClosedByPeer()
{
  // The end is visible here even if bytes of the next request are unread.
  constexpr short kEnds = POLLERR | POLLHUP | POLLRDHUP;
  pollfd state{ stream_.socket().native_handle(), POLLRDHUP, 0 };
  if (::poll(&state, 1, 0) == 1 && (state.revents & kEnds) != 0) {
    return true;
  }
  char byte = 0;
  error_code error;
  std::size_t bytes = stream_.socket().receive(
    asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error != asio::error::would_block && bytes == 0;
}

void
HttpSession::Drop(const HttpInput::Request& aRequest)
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
HttpSession::Close()
{
  phase_ = Phase::eClosed;
  StopTimer();
  SetQuiet(false);
  input_.Clear();
  CountBytes();
  stream_.close();
}

bool
HttpSession::CountBytes()
{
  return !account_ ||
         account_->Set(input_.HeldBytes() + response_.body().size());
}

void
HttpSession::OnEvicted(std::size_t aBytes)
{
  if (phase_ == Phase::eClosed) {
    return;
  }
  ReportLimited(ConnectionLimit::eProcessBytes, aBytes);
  if (phase_ == Phase::eIdle || phase_ == Phase::eReading) {
    Refuse(503, RefusalCode::eBusy, "the memory for connections is used up");
    return;
  }
  Abandon();
  Close();
}

void
HttpSession::ReportLimited(ConnectionLimit aLimit, std::size_t aBytes)
{
  error_code error;
  auto remote = stream_.socket().remote_endpoint(error);
  state_->guard.ReportLimited(
    aLimit, error ? "unknown" : ToString(remote), aBytes);
}

void
HttpSession::SetQuiet(bool aQuiet)
{
  std::lock_guard lock(state_->sessionsMutex);
  if (aQuiet == quietPosition_.has_value()) {
    return;
  }
  if (aQuiet) {
    quietPosition_ = state_->quietSessions.insert(state_->quietSessions.end(),
                                                  weak_from_this());
  } else {
    state_->quietSessions.erase(*quietPosition_);
    quietPosition_.reset();
  }
}

void
HttpSession::StartTimer(std::chrono::milliseconds aTimeout)
{
  timer_.expires_after(aTimeout);
  timer_.async_wait([weak = weak_from_this(),
                     generation = ++timerGeneration_](error_code aError) {
    auto self = weak.lock();
    if (!aError && self && self->timerGeneration_ == generation) {
      self->OnTimeout();
    }
  });
}

void
HttpSession::StopTimer()
{
  ++timerGeneration_;
  timer_.cancel();
}

void
HttpSession::OnTimeout()
{
  if (phase_ == Phase::eReading) {
    Refuse(408, RefusalCode::eBadRequest, "the request took too long");
  } else {
    Close();
  }
}

}
