#include "transport/http_server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include "transport/endpoint.h"
#include "transport/event_log.h"
#include "transport/http_session.h"

namespace greengage::transport {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Limit of connections that are being refused with a response at the same time.
// Further ones are closed without a response, so that refusals cannot exhaust
// the file descriptors.
constexpr std::size_t kMaxRefusals = 64;

// Without a delay, accepting would be retried in a busy loop while no file
// descriptor is available.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 100 };

constexpr std::chrono::seconds kRefusalReportPeriod{ 1 };

// The readiness check and the metrics are read with GET; a body has no use.
constexpr std::size_t kMaxServiceBodyBytes = 16 * 1024;

// Received bytes that are not read yet occupy memory of the host. Without this
// bound the system would let each connection keep megabytes of them; with it a
// body of the largest size still arrives within a few round trips.
constexpr int kReceiveBufferBytes = 64 * 1024;

}

HttpServer::HttpServer(TrafficPool& aTraffic,
                       HttpHandler aHandler,
                       HttpServerLimits aLimits,
                       HttpAbandonedHandler aAbandoned)
  : traffic_(aTraffic)
  , acceptor_(asio::make_strand(aTraffic.Context()))
  , acceptRetryTimer_(acceptor_.get_executor())
  , state_(std::make_shared<HttpServerState>(aTraffic.Guard()))
{
  state_->handler = std::move(aHandler);
  state_->limits = aLimits;
  state_->abandonedHandler = std::move(aAbandoned);
}

HttpServerLimits
ServiceLimits(const ConnectionLimits& aLimits)
{
  HttpServerLimits limits;
  limits.maxBodyBytes = kMaxServiceBodyBytes;
  limits.maxConnections = aLimits.serviceConnections;
  return limits;
}

std::string_view
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (boost::beast::iequals(header.name, aName)) {
      return header.value;
    }
  }
  return {};
}

void
HttpServer::CloseIdle()
{
  std::vector<std::shared_ptr<HttpSession>> sessions;
  {
    std::lock_guard lock(state_->sessionsMutex);
    for (const auto& [pointer, session] : state_->sessions) {
      sessions.push_back(session.lock());
    }
  }
  for (const auto& session : sessions) {
    if (session) {
      session->CloseIfIdle();
    }
  }
}

void
HttpServer::CloseAfterResponses()
{
  state_->stopping = true;
}

std::size_t
HttpServer::OpenConnections() const
{
  return state_->connections + state_->refusals;
}

std::size_t
HttpServer::RequestsInProgress() const
{
  return state_->requests;
}

tl::expected<asio::ip::tcp::endpoint, TransportError>
HttpServer::Start(const asio::ip::tcp::endpoint& aEndpoint)
{
  auto opened = OpenListener(acceptor_, aEndpoint);
  if (!opened) {
    return opened;
  }
  address_ = ToString(*opened);
  error_code ignored;
  // Accepted sockets inherit the size.
  acceptor_.set_option(
    asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
  asio::post(acceptor_.get_executor(), [this] { Accept(); });
  return opened;
}

std::uint64_t
HttpServer::DroppedRequests() const
{
  return state_->droppedRequests;
}

void
HttpServer::StopAccepting()
{
  CloseAfterResponses();
  asio::post(acceptor_.get_executor(), [this] {
    error_code ignored;
    acceptor_.close(ignored);
    acceptRetryTimer_.cancel();
  });
}

void
HttpServer::Accept()
{
  if (!acceptor_.is_open()) {
    return;
  }
  acceptor_.async_accept(
    asio::make_strand(traffic_.Context()),
    [this](error_code aError, asio::ip::tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted || !acceptor_.is_open()) {
        return;
      }
      if (aError) {
        AcceptLater(aError);
        return;
      }
      Serve(std::move(aSocket));
      Accept();
    });
}

void
HttpServer::AcceptLater(error_code aError)
{
  LogEvent(events::kAcceptFailed,
           "address={} reason={}",
           address_,
           QuoteValue(aError.message()));
  acceptRetryTimer_.expires_after(kAcceptRetryDelay);
  acceptRetryTimer_.async_wait([this](error_code aWaitError) {
    if (!aWaitError) {
      Accept();
    }
  });
}

void
HttpServer::Serve(asio::ip::tcp::socket aSocket)
{
  if (state_->connections < state_->limits.maxConnections || CloseQuiet()) {
    std::make_shared<HttpSession>(
      std::move(aSocket), state_, state_->connections)
      ->Start();
    return;
  }
  ReportRefusal();
  if (state_->refusals < kMaxRefusals) {
    std::make_shared<HttpSession>(std::move(aSocket), state_, state_->refusals)
      ->StartRefusal();
  }
}

bool
HttpServer::CloseQuiet()
{
  std::shared_ptr<HttpSession> session;
  {
    std::lock_guard lock(state_->sessionsMutex);
    if (state_->quietSessions.empty()) {
      return false;
    }
    // Moved to the end, so that the next new connection closes another one.
    state_->quietSessions.splice(state_->quietSessions.end(),
                                 state_->quietSessions,
                                 state_->quietSessions.begin());
    session = state_->quietSessions.back().lock();
  }
  if (session) {
    session->CloseIfQuiet();
  }
  return session != nullptr;
}

void
HttpServer::ReportRefusal()
{
  ++unreportedRefusals_;
  auto now = std::chrono::steady_clock::now();
  if (now - lastRefusalReport_ < kRefusalReportPeriod) {
    return;
  }
  LogEvent(events::kConnectionRefused,
           "address={} limit={} refused={}",
           address_,
           state_->limits.maxConnections,
           unreportedRefusals_);
  lastRefusalReport_ = now;
  unreportedRefusals_ = 0;
}

}
