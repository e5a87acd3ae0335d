#include "transport/http_client.h"

#include <mutex>

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "transport/endpoint.h"

namespace greengage::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using Stream = beast::tcp_stream;

namespace {

constexpr std::size_t kMaxIdleConnections = 64;
constexpr std::size_t kMaxResponseBytes = 8 * 1024 * 1024;

/**
 * Returns true if the server has closed an idle connection or has sent
 * unexpected bytes on it.
 */
bool
IsStale(Stream& aStream)
{
  char byte = 0;
  error_code error;
  aStream.socket().non_blocking(true, error);
  if (error) {
    return true;
  }
  aStream.socket().receive(
    asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error != asio::error::would_block;
}

}

/** Pool of idle connections, shared by the requests in progress. */
struct HttpClient::Pool
{
  asio::ip::tcp::endpoint server;
  std::mutex mutex;
  std::list<std::unique_ptr<Stream>> idle;

  /** Returns an open idle connection, or null if there is none. */
  std::unique_ptr<Stream> Acquire()
  {
    std::lock_guard lock(mutex);
    while (!idle.empty()) {
      auto stream = std::move(idle.back());
      idle.pop_back();
      if (!IsStale(*stream)) {
        return stream;
      }
    }
    return nullptr;
  }

  /** Returns a connection to the pool; closes it if the pool is full. */
  void Release(std::unique_ptr<Stream> aStream)
  {
    std::lock_guard lock(mutex);
    if (idle.size() < kMaxIdleConnections) {
      aStream->expires_never();
      idle.push_back(std::move(aStream));
    }
  }
};

namespace {

/** A request and its response, including the connect if necessary. */
template<class Pool>
class Exchange : public std::enable_shared_from_this<Exchange<Pool>>
{
public:
  Exchange(std::shared_ptr<Pool> aPool,
           std::unique_ptr<Stream> aStream,
           HttpRequest aRequest,
           const HttpClient::TimeLimits& aLimits,
           HttpClient::Handler aHandler)
    : pool_(std::move(aPool))
    , stream_(std::move(aStream))
    , limits_(aLimits)
    , handler_(std::move(aHandler))
  {
    request_.version(11);
    request_.method_string(aRequest.method);
    request_.target(aRequest.target);
    request_.set(http::field::host, ToString(pool_->server));
    request_.set(http::field::content_type, "application/json");
    for (const HttpHeader& header : aRequest.headers) {
      request_.set(header.name, header.value);
    }
    request_.body() = std::move(aRequest.body);
    request_.prepare_payload();
    parser_.body_limit(kMaxResponseBytes);
    // Headers and body are parsed from the same bytes.
    parser_.eager(true);
  }

  void Start(bool aConnected)
  {
    asio::post(stream_->get_executor(),
               [self = this->shared_from_this(), aConnected] {
                 self->stream_->expires_after(self->limits_.total);
                 aConnected ? self->Write() : self->Connect();
               });
  }

  void Abort()
  {
    // A weak pointer, so that a queued abort does not keep the request alive.
    asio::post(executor_, [weak = this->weak_from_this()] {
      auto self = weak.lock();
      if (self && self->stream_) {
        self->aborted_ = true;
        self->stream_->cancel();
      }
    });
  }

private:
  void Connect()
  {
    stream_->async_connect(
      pool_->server, [self = this->shared_from_this()](error_code aError) {
        if (aError || self->aborted_) {
          self->FailConnect(aError);
          return;
        }
        error_code ignored;
        self->stream_->socket().set_option(asio::ip::tcp::no_delay(true),
                                           ignored);
        self->Write();
      });
  }

  void Write()
  {
    http::async_write(
      *stream_,
      request_,
      [self = this->shared_from_this()](error_code aError, std::size_t) {
        if (aError) {
          self->Fail(aError);
          return;
        }
        self->Read();
      });
  }

  void Read()
  {
    http::async_read_some(
      *stream_,
      buffer_,
      parser_,
      [self = this->shared_from_this()](error_code aError, std::size_t) {
        if (aError) {
          self->Fail(aError);
          return;
        }
        if (self->parser_.is_done()) {
          self->OnResponse();
          return;
        }
        if (self->limits_.progress.count() > 0) {
          self->stream_->expires_after(self->limits_.progress);
        }
        self->Read();
      });
  }

  void OnResponse()
  {
    auto response = parser_.release();
    HttpResponse value;
    value.status = response.result_int();
    value.contentType = std::string(response[http::field::content_type]);
    bool keepAlive = response.keep_alive();
    value.body = std::move(response.body());
    if (keepAlive) {
      pool_->Release(std::move(stream_));
    }
    Finish(std::move(value));
  }

  void FailConnect(error_code aError)
  {
    // Only a refusal comes from the server's host. A timer that expired before
    // this thread handled the connection is reported as a timeout instead.
    bool isRefused = !aborted_ && aError == asio::error::connection_refused;
    Finish(tl::unexpected(
      TransportError{ isRefused ? TransportErrorKind::eConnectionRefused
                                : TransportErrorKind::eNotConnected,
                      aError.message() }));
  }

  void Fail(error_code aError)
  {
    TransportErrorKind kind = TransportErrorKind::eBroken;
    if (aborted_) {
      kind = TransportErrorKind::eAborted;
    } else if (aError == beast::error::timeout) {
      kind = TransportErrorKind::eTimeout;
    }
    Finish(tl::unexpected(TransportError{ kind, aError.message() }));
  }

  void Finish(HttpClient::Result aResult)
  {
    auto handler = std::move(handler_);
    stream_.reset();
    handler(std::move(aResult));
  }

  std::shared_ptr<Pool> pool_;
  std::unique_ptr<Stream> stream_;
  HttpClient::TimeLimits limits_;
  asio::any_io_executor executor_ = stream_->get_executor();
  HttpClient::Handler handler_;
  bool aborted_ = false;
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> parser_;
  beast::flat_buffer buffer_;
};

}

HttpClient::HttpClient(TrafficPool& aTraffic,
                       const asio::ip::tcp::endpoint& aServer)
  : traffic_(aTraffic)
  , pool_(std::make_shared<Pool>())
{
  pool_->server = aServer;
}

HttpClient::~HttpClient() = default;

void
HttpClient::SetServer(const asio::ip::tcp::endpoint& aServer)
{
  // Requests in progress continue on connections to the previous address.
  pool_ = std::make_shared<Pool>();
  pool_->server = aServer;
}

HttpClient::Abort
HttpClient::Send(HttpRequest aRequest, TimeLimits aLimits, Handler aHandler)
{
  auto stream = pool_->Acquire();
  bool connected = stream != nullptr;
  if (!connected) {
    stream = std::make_unique<Stream>(asio::make_strand(traffic_.Context()));
  }
  auto exchange = std::make_shared<Exchange<Pool>>(pool_,
                                                   std::move(stream),
                                                   std::move(aRequest),
                                                   aLimits,
                                                   std::move(aHandler));
  exchange->Start(connected);
  return [weak = std::weak_ptr(exchange)] {
    if (auto running = weak.lock()) {
      running->Abort();
    }
  };
}

}
