#include "transport/http_server.h"

#include <optional>

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include "transport/endpoint.h"

namespace greengage::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

/** One connection; requests are handled one after the other. */
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  HttpSession(asio::ip::tcp::socket aSocket,
              const HttpHandler& aHandler,
              const HttpServerLimits& aLimits,
              std::shared_ptr<std::atomic<std::size_t>> aConnections)
    : stream_(std::move(aSocket))
    , handler_(aHandler)
    , limits_(aLimits)
    , connections_(std::move(aConnections))
  {
    ++*connections_;
  }

  ~HttpSession() { --*connections_; }

  void Start()
  {
    error_code ignored;
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    ReadHeader(limits_.headerTimeout);
  }

private:
  void ReadHeader(std::chrono::milliseconds aTimeout)
  {
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.maxHeaderBytes));
    parser_->body_limit(limits_.maxBodyBytes);
    stream_.expires_after(aTimeout);
    http::async_read_header(
      stream_,
      buffer_,
      *parser_,
      [self = shared_from_this()](error_code aError, std::size_t) {
        self->OnHeader(aError);
      });
  }

  void OnHeader(error_code aError)
  {
    if (aError == http::error::end_of_stream ||
        aError == beast::error::timeout) {
      Close();
      return;
    }
    if (aError) {
      Reject(aError);
      return;
    }
    if (parser_->get()[http::field::expect] == "100-continue") {
      // Clients such as curl wait for this before a large body.
      continueResponse_ = { http::status::continue_, 11 };
      http::async_write(
        stream_,
        continueResponse_,
        [self = shared_from_this()](error_code aWriteError, std::size_t) {
          if (!aWriteError) {
            self->ReadBody();
          }
        });
      return;
    }
    ReadBody();
  }

  void ReadBody()
  {
    stream_.expires_after(limits_.bodyTimeout);
    http::async_read(
      stream_,
      buffer_,
      *parser_,
      [self = shared_from_this()](error_code aError, std::size_t) {
        if (aError) {
          self->Reject(aError);
          return;
        }
        self->Handle();
      });
  }

  void Handle()
  {
    stream_.expires_never();
    auto request = parser_->release();
    keepAlive_ = request.keep_alive();
    HttpRequest value{ std::string(request.method_string()),
                       std::string(request.target()),
                       std::move(request.body()) };
    handler_(std::move(value),
             [self = shared_from_this()](HttpResponse aResponse) {
               asio::post(self->stream_.get_executor(),
                          [self, response = std::move(aResponse)]() mutable {
                            self->Write(std::move(response));
                          });
             });
  }

  /** Answers malformed, oversized and slow requests, then closes. */
  void Reject(error_code aError)
  {
    HttpResponse response;
    keepAlive_ = false;
    if (aError == http::error::body_limit) {
      response.status = 413;
    } else if (aError == http::error::header_limit) {
      response.status = 431;
    } else if (aError == beast::error::timeout) {
      response.status = 408;
    } else if (aError.category() ==
               make_error_code(http::error::bad_method).category()) {
      response.status = 400;
    } else {
      Close();
      return;
    }
    response.body = fmt::format(
      "{{\"status\":\"failed\",\"run\":\"not_run\",\"code\":\"bad_request\","
      "\"field\":\"\",\"message\":\"{}\"}}\n",
      aError.message());
    Write(std::move(response));
  }

  void Write(HttpResponse aResponse)
  {
    response_ = {};
    response_.version(11);
    response_.result(aResponse.status);
    response_.set(http::field::content_type, aResponse.contentType);
    for (const HttpHeader& header : aResponse.headers) {
      response_.set(header.name, header.value);
    }
    response_.keep_alive(keepAlive_);
    response_.body() = std::move(aResponse.body);
    response_.prepare_payload();
    stream_.expires_after(limits_.bodyTimeout);
    http::async_write(
      stream_,
      response_,
      [self = shared_from_this()](error_code aError, std::size_t) {
        if (aError || !self->keepAlive_) {
          self->Close();
          return;
        }
        self->ReadHeader(self->limits_.idleTimeout);
      });
  }

  void Close()
  {
    error_code ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    stream_.close();
  }

  beast::tcp_stream stream_;
  const HttpHandler& handler_;
  HttpServerLimits limits_;
  std::shared_ptr<std::atomic<std::size_t>> connections_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::empty_body> continueResponse_;
  http::response<http::string_body> response_;
  bool keepAlive_ = true;
};

}

HttpServer::HttpServer(TrafficPool& aTraffic,
                       HttpHandler aHandler,
                       HttpServerLimits aLimits)
  : traffic_(aTraffic)
  , handler_(std::move(aHandler))
  , limits_(aLimits)
  , acceptor_(aTraffic.Context())
  , connections_(std::make_shared<std::atomic<std::size_t>>(0))
{
}

tl::expected<asio::ip::tcp::endpoint, TransportError>
HttpServer::Start(const asio::ip::tcp::endpoint& aEndpoint)
{
  error_code error;
  acceptor_.open(aEndpoint.protocol(), error);
  if (!error) {
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(aEndpoint, error);
  }
  if (!error) {
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return tl::unexpected(TransportError{
      TransportErrorKind::eInvalidArgument,
      "cannot listen on " + ToString(aEndpoint) + ": " + error.message() });
  }
  auto endpoint = acceptor_.local_endpoint();
  Accept();
  return endpoint;
}

void
HttpServer::StopAccepting()
{
  asio::post(acceptor_.get_executor(), [this] {
    error_code ignored;
    acceptor_.close(ignored);
  });
}

void
HttpServer::Accept()
{
  acceptor_.async_accept(
    asio::make_strand(traffic_.Context()),
    [this](error_code aError, asio::ip::tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted || !acceptor_.is_open()) {
        return;
      }
      if (!aError && *connections_ < limits_.maxConnections) {
        std::make_shared<HttpSession>(
          std::move(aSocket), handler_, limits_, connections_)
          ->Start();
      }
      Accept();
    });
}

}
