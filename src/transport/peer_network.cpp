#include "transport/peer_network.h"

#include <algorithm>

#include <netinet/tcp.h>

#include <boost/asio/post.hpp>

#include "coordination/message_memory.h"
#include "transport/endpoint.h"
#include "transport/event_log.h"

namespace greengage::transport {

namespace asio = boost::asio;
using boost::system::error_code;
using coordination::Hello;
using coordination::PeerMessage;
using coordination::ProcessInfo;

namespace {

// Limit of pending messages per connection that is being opened; further ones
// are dropped.
constexpr std::size_t kMaxPendingMessages = 20'000;
constexpr std::size_t kMaxPendingBytes = 4 * 1024 * 1024;

// Without a delay, accepting would be retried in a busy loop while no file
// descriptor is available.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 100 };

// A peer sends its Hello as soon as it has connected. A process that was
// suspended for seconds sends it late.
constexpr std::chrono::milliseconds kHelloTimeout{ 10'000 };

}

namespace {

/**
 * A connection whose bytes are not acknowledged for this time is closed. With
 * the default of TCP, a connection across a network partition would stay open
 * for minutes.
 */
constexpr std::chrono::milliseconds kUnacknowledgedTimeout{ 1500 };

void
SetUnacknowledgedTimeout(asio::ip::tcp::socket& aSocket)
{
  using UserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  error_code ignored;
  aSocket.set_option(
    UserTimeout(static_cast<int>(kUnacknowledgedTimeout.count())), ignored);
}

}

/** State of a connection on the control thread. */
struct PeerNetwork::Connection
{
  /** Address that this process connects to; empty if accepted. */
  std::string address;
  /** Address of the remote end, for log lines. */
  std::string remoteAddress;
  /** Required process id of the peer; zero if every id is accepted. */
  state::ProcessId expectedId;
  /** Process at the remote end, once its Hello was received. */
  std::optional<ProcessInfo> peer;
  std::shared_ptr<FrameSession> session;
  /** Messages to send after the peer's Hello. */
  std::vector<PeerMessage> pendingMessages;
  std::size_t pendingBytes = 0;
  bool closed = false;
};

PeerNetwork::PeerNetwork(TrafficPool& aTraffic,
                         ControlThread& aControl,
                         PeerNetworkHooks aHooks)
  : traffic_(aTraffic)
  , control_(aControl)
  , hooks_(std::move(aHooks))
  , acceptor_(aTraffic.Context())
{
}

PeerNetwork::~PeerNetwork()
{
  Stop();
  // The handlers of a session hold a reference to its connection. Releasing the
  // session breaks that reference cycle, which would leak the socket.
  for (auto& [address, connection] : outbound_) {
    connection->session.reset();
  }
  for (auto& [pointer, connection] : inbound_) {
    connection->session.reset();
  }
}

tl::expected<asio::ip::tcp::endpoint, TransportError>
PeerNetwork::Listen(const asio::ip::tcp::endpoint& aEndpoint)
{
  return OpenListener(acceptor_, aEndpoint);
}

void
PeerNetwork::Start(const ProcessInfo& aSelf)
{
  self_ = aSelf;
  Accept();
}

void
PeerNetwork::SetPeer(const ProcessInfo& aPeer)
{
  if (aPeer.id != self_.id) {
    peers_.insert_or_assign(aPeer.id, aPeer);
  }
}

void
PeerNetwork::Send(const state::ProcessId& aPeer, PeerMessage aMessage)
{
  if (aPeer == self_.id) {
    control_.Post([this, message = std::move(aMessage)] {
      hooks_.received(self_, message);
    });
    return;
  }
  auto peer = peers_.find(aPeer);
  if (peer == peers_.end()) {
    return;
  }
  const std::string& address = peer->second.peerAddress;
  auto found = outbound_.find(address);
  if (found == outbound_.end()) {
    Open(address, aPeer);
    found = outbound_.find(address);
  }
  Connection& connection = *found->second;
  if (connection.peer) {
    if (connection.peer->id == aPeer) {
      connection.session->Send(std::move(aMessage));
    }
    return;
  }
  std::size_t bytes = coordination::MemoryOf(aMessage);
  if (connection.pendingMessages.empty() ||
      (connection.pendingMessages.size() < kMaxPendingMessages &&
       connection.pendingBytes + bytes <= kMaxPendingBytes)) {
    connection.pendingBytes += bytes;
    connection.pendingMessages.push_back(std::move(aMessage));
  }
}

void
PeerNetwork::ConnectSeed(const std::string& aAddress)
{
  if (!outbound_.contains(aAddress) && aAddress != self_.peerAddress) {
    Open(aAddress, {});
  }
}

void
PeerNetwork::Connect(const state::ProcessId& aPeer)
{
  auto peer = peers_.find(aPeer);
  if (peer != peers_.end() && !outbound_.contains(peer->second.peerAddress)) {
    Open(peer->second.peerAddress, aPeer);
  }
}

void
PeerNetwork::RemovePeer(const state::ProcessId& aPeer)
{
  auto peer = peers_.find(aPeer);
  if (peer == peers_.end()) {
    return;
  }
  Disconnect(aPeer);
  peers_.erase(peer);
}

void
PeerNetwork::Disconnect(const state::ProcessId& aPeer)
{
  auto peer = peers_.find(aPeer);
  if (peer == peers_.end()) {
    return;
  }
  auto connection = outbound_.find(peer->second.peerAddress);
  if (connection != outbound_.end() && connection->second->session &&
      (!connection->second->peer || connection->second->peer->id == aPeer)) {
    connection->second->session->Close();
  }
}

std::size_t
PeerNetwork::SessionCount() const
{
  auto opened = std::count_if(
    outbound_.begin(), outbound_.end(), [](const auto& aConnection) {
      return aConnection.second->session != nullptr;
    });
  return static_cast<std::size_t>(opened) + inbound_.size();
}

void
PeerNetwork::Stop()
{
  stopped_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  for (auto& [address, connection] : outbound_) {
    if (connection->session) {
      connection->session->Close();
    }
  }
  for (auto& [pointer, connection] : inbound_) {
    connection->session->Close();
  }
}

void
PeerNetwork::Accept()
{
  if (stopped_) {
    return;
  }
  acceptor_.async_accept(
    [this](error_code aError, asio::ip::tcp::socket aSocket) {
      control_.Post([this,
                     aError,
                     socket = std::make_shared<asio::ip::tcp::socket>(
                       std::move(aSocket))]() mutable {
        if (stopped_ || aError == asio::error::operation_aborted) {
          return;
        }
        if (aError) {
          LogEvent(events::kAcceptFailed,
                   "address={} reason={}",
                   self_.peerAddress,
                   QuoteValue(aError.message()));
          control_.After(kAcceptRetryDelay, [this] { Accept(); });
          return;
        }
        AddInbound(std::move(*socket));
        Accept();
      });
    });
}

void
PeerNetwork::AddInbound(asio::ip::tcp::socket aSocket)
{
  if (inbound_.size() >= traffic_.Guard().Limits().peerConnections) {
    if (unidentified_.empty()) {
      traffic_.Guard().ReportLimited(
        ConnectionLimit::ePeerConnections, "unknown", 0);
      return;
    }
    CloseUnidentified(unidentified_.front());
  }
  auto connection = std::make_shared<Connection>();
  inbound_.emplace(connection.get(), connection);
  unidentified_.push_back(connection);
  OnConnected(connection, std::move(aSocket));
  control_.After(kHelloTimeout, [this, weak = std::weak_ptr(connection)] {
    auto late = weak.lock();
    if (late && !late->peer && !late->closed) {
      CloseUnidentified(late);
    }
  });
}

void
PeerNetwork::CloseUnidentified(std::shared_ptr<Connection> aConnection)
{
  traffic_.Guard().ReportLimited(
    ConnectionLimit::eUnidentifiedPeer, aConnection->remoteAddress, 0);
  // It leaves inbound_ when its session has closed.
  aConnection->session->Close();
  std::erase(unidentified_, aConnection);
}

void
PeerNetwork::Open(const std::string& aAddress,
                  const state::ProcessId& aExpectedId)
{
  auto connection = std::make_shared<Connection>();
  connection->address = aAddress;
  connection->expectedId = aExpectedId;
  outbound_[aAddress] = connection;
  auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    control_.Post([this, connection, error = endpoint.error()] {
      OnClosed(connection, error);
    });
    return;
  }
  auto socket = std::make_shared<asio::ip::tcp::socket>(traffic_.Context());
  error_code ignored;
  socket->open(endpoint->protocol(), ignored);
  SetUnacknowledgedTimeout(*socket);
  socket->async_connect(
    *endpoint, [this, connection, socket](error_code aError) {
      control_.Post([this, connection, socket, aError] {
        if (aError || stopped_) {
          OnClosed(connection,
                   { TransportErrorKind::eNotConnected, aError.message() });
          return;
        }
        OnConnected(connection, std::move(*socket));
      });
    });
}

void
PeerNetwork::OnConnected(const std::shared_ptr<Connection>& aConnection,
                         asio::ip::tcp::socket aSocket)
{
  FrameSession::Handlers handlers;
  handlers.received = [this, aConnection](FrameSession::Messages aMessages) {
    control_.Post([this, aConnection, messages = std::move(aMessages)] {
      OnReceived(aConnection, messages);
    });
  };
  handlers.closed = [this, aConnection](const TransportError& aReason) {
    control_.Post(
      [this, aConnection, aReason] { OnClosed(aConnection, aReason); });
  };
  error_code ignored;
  SetUnacknowledgedTimeout(aSocket);
  auto remote = aSocket.remote_endpoint(ignored);
  aConnection->remoteAddress = ignored ? "unknown" : ToString(remote);
  handlers.frameSent = hooks_.frameSent;
  handlers.frameReceived = hooks_.frameReceived;
  aConnection->session = std::make_shared<FrameSession>(
    std::move(aSocket), std::move(handlers), traffic_.Guard());
  aConnection->session->Start();
  aConnection->session->Send(Hello{ self_ });
}

void
PeerNetwork::OnReceived(const std::shared_ptr<Connection>& aConnection,
                        const FrameSession::Messages& aMessages)
{
  for (const PeerMessage& message : aMessages) {
    if (aConnection->closed) {
      return;
    }
    if (const auto* hello = std::get_if<Hello>(&message)) {
      OnHello(aConnection, *hello);
    } else if (!aConnection->peer) {
      LogEvent(
        events::kPeerWithoutHello, "address={}", aConnection->remoteAddress);
    }
    if (!aConnection->peer) {
      aConnection->session->Close();
      return;
    }
    hooks_.received(*aConnection->peer, message);
  }
}

void
PeerNetwork::OnHello(const std::shared_ptr<Connection>& aConnection,
                     const Hello& aHello)
{
  const state::ProcessId none;
  if (aConnection->expectedId != none &&
      aConnection->expectedId != aHello.process.id) {
    // Another process listens on the address now.
    LogEvent(events::kPeerIdentityChanged,
             "address={} expected={} found={}",
             aConnection->address,
             aConnection->expectedId.ToString(),
             aHello.process.id.ToString());
    return;
  }
  if (!aConnection->peer) {
    LogEvent(events::kPeerConnected,
             "peer={} address={} role={}",
             aHello.process.id.ToString(),
             aHello.process.peerAddress,
             aHello.process.role == coordination::ProcessRole::eEntry
               ? "entry"
               : "agent");
  }
  aConnection->peer = aHello.process;
  std::erase(unidentified_, aConnection);
  for (PeerMessage& message : aConnection->pendingMessages) {
    aConnection->session->Send(std::move(message));
  }
  aConnection->pendingMessages.clear();
  aConnection->pendingBytes = 0;
}

void
PeerNetwork::OnClosed(const std::shared_ptr<Connection>& aConnection,
                      const TransportError& aReason)
{
  aConnection->closed = true;
  inbound_.erase(aConnection.get());
  std::erase(unidentified_, aConnection);
  auto outbound = outbound_.find(aConnection->address);
  if (outbound != outbound_.end() && outbound->second == aConnection) {
    outbound_.erase(outbound);
  }
  if (stopped_) {
    return;
  }
  if (aReason.kind == TransportErrorKind::eMalformed) {
    LogEvent(events::kPeerMalformed,
             "address={} reason={}",
             aConnection->remoteAddress,
             QuoteValue(aReason.message));
  } else if (aConnection->peer) {
    LogEvent(events::kPeerLost,
             "peer={} address={} reason={}",
             aConnection->peer->id.ToString(),
             aConnection->peer->peerAddress,
             QuoteValue(aReason.message));
  }
  if (aConnection->peer) {
    hooks_.connectionLost(aConnection->peer->id, true);
  } else if (aConnection->expectedId != state::ProcessId{}) {
    hooks_.connectionLost(aConnection->expectedId, false);
  }
}

}
