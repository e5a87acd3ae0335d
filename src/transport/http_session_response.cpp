#include "protocol/caller_json.h"
#include "transport/http_session.h"

namespace greengage::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using state::RefusalCode;

namespace {

// Closing a socket that has unread data resets the connection, and the peer may
// lose the response. Therefore the remaining data is read and discarded first,
// within these limits.
constexpr std::chrono::milliseconds kLingerTimeout{ 1000 };
constexpr std::size_t kMaxDiscardedBytes = 16 * 1024 * 1024;

}

void
HttpSession::OnParseError()
{
  error_code error = input_.Error();
  if (error == http::error::body_limit) {
    Refuse(413, RefusalCode::eBadRequest, "the body is too large");
  } else if (error == http::error::header_limit) {
    ReportLimited(ConnectionLimit::eHeaderBytes, input_.HeldBytes());
    Refuse(431, RefusalCode::eBadRequest, "the header is too large");
  } else if (error == http::error::partial_message) {
    Refuse(400, RefusalCode::eBadRequest, "the request ended too early");
  } else {
    std::string message = "malformed HTTP request: " + error.message();
    Refuse(400, RefusalCode::eBadRequest, message.c_str());
  }
}

void
HttpSession::Refuse(unsigned aStatus, RefusalCode aCode, const char* aMessage)
{
  keepAlive_ = false;
  input_.Clear();
  HttpResponse response;
  response.status = aStatus;
  response.body = protocol::EncodeError(aCode, "", aMessage);
  Write(std::move(response));
}

void
HttpSession::Write(HttpResponse aResponse)
{
  phase_ = Phase::eWriting;
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
  CountBytes();
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
  response_ = {};
  if (phase_ == Phase::eClosed) {
    return;
  }
  if (aError) {
    Close();
  } else if (keepAlive_) {
    CountBytes();
    BeginRequest(state_->limits.idleTimeout);
  } else {
    Linger();
  }
}

void
HttpSession::Linger()
{
  phase_ = Phase::eLingering;
  if (isEnded_) {
    Close();
    return;
  }
  error_code ignored;
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  StartTimer(kLingerTimeout);
  AwaitReadable();
}

void
HttpSession::Discard()
{
  ReadResult result = Receive();
  discardedBytes_ += input_.UnparsedBytes();
  input_.Clear();
  if (result != ReadResult::eOpen || discardedBytes_ > kMaxDiscardedBytes) {
    Close();
    return;
  }
  AwaitReadable();
}

}
