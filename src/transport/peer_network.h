#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include <boost/asio/ip/tcp.hpp>

#include "coordination/messages.h"
#include "transport/control_thread.h"
#include "transport/frame_session.h"
#include "transport/traffic_pool.h"

namespace greengage::transport {

/** Callbacks of a PeerNetwork; they run on the control thread unless stated. */
struct PeerNetworkHooks
{
  /** Called with every message, including the Hello of a peer. */
  std::function<void(const coordination::ProcessInfo& aFrom,
                     const coordination::PeerMessage& aMessage)>
    received;
  /**
   * Called when a connection with this peer has ended. If aReachable is false,
   * no connection was established: connecting failed, the connection ended
   * before the peer's Hello, or another process listens on the address.
   */
  std::function<void(const state::ProcessId& aPeer, bool aReachable)>
    connectionLost;
  /** Called for every frame, in a traffic thread; may be empty. */
  FrameSession::FrameCounter frameSent;
  FrameSession::FrameCounter frameReceived;
};

/**
 * Connections between this process and its peers. A process sends on the
 * connections that it opened, and receives on these and on the connections that
 * it accepted. Both ends of a connection send a Hello first. Methods must be
 * called on the control thread.
 */
class PeerNetwork
{
public:
  PeerNetwork(TrafficPool& aTraffic,
              ControlThread& aControl,
              PeerNetworkHooks aHooks);
  /** The control and traffic threads must have stopped before. */
  ~PeerNetwork();

  /** Binds the listener and returns its address; port 0 selects a free port. */
  tl::expected<boost::asio::ip::tcp::endpoint, TransportError> Listen(
    const boost::asio::ip::tcp::endpoint& aEndpoint);

  /** Sets the content of the Hello of this process and starts accepting. */
  void Start(const coordination::ProcessInfo& aSelf);

  /** Sets the content of later Hello messages, for example when draining. */
  void SetSelf(const coordination::ProcessInfo& aSelf) { self_ = aSelf; }

  /** Adds a peer or updates its address. */
  void SetPeer(const coordination::ProcessInfo& aPeer);

  /**
   * Sends a message to a peer and opens a connection if there is none. Messages
   * to unknown peers are dropped.
   */
  void Send(const state::ProcessId& aPeer, coordination::PeerMessage aMessage);

  /** Opens a connection to an address whose process id is not known yet. */
  void ConnectSeed(const std::string& aAddress);

  /** Opens a connection to a known peer unless this process has one open. */
  void Connect(const state::ProcessId& aPeer);

  /** Removes a peer and closes the connection that was opened to it. */
  void RemovePeer(const state::ProcessId& aPeer);

  /**
   * Closes the connection that was opened to a peer, for example because the
   * peer is unresponsive. The next message opens a new connection.
   */
  void Disconnect(const state::ProcessId& aPeer);

  /** Number of open connections, both opened and accepted. */
  std::size_t SessionCount() const;

  /** Stops accepting and closes all connections. */
  void Stop();

private:
  struct Connection;

  void Accept();
  /**
   * Adds an accepted connection. At the limit, it replaces the oldest one whose
   * peer has not said which process it is.
   */
  void AddInbound(boost::asio::ip::tcp::socket aSocket);
  void CloseUnidentified(std::shared_ptr<Connection> aConnection);
  void Open(const std::string& aAddress, const state::ProcessId& aExpectedId);
  void OnConnected(const std::shared_ptr<Connection>& aConnection,
                   boost::asio::ip::tcp::socket aSocket);
  void OnReceived(const std::shared_ptr<Connection>& aConnection,
                  const FrameSession::Messages& aMessages);
  void OnHello(const std::shared_ptr<Connection>& aConnection,
               const coordination::Hello& aHello);
  void OnClosed(const std::shared_ptr<Connection>& aConnection,
                const TransportError& aReason);

  TrafficPool& traffic_;
  ControlThread& control_;
  PeerNetworkHooks hooks_;
  boost::asio::ip::tcp::acceptor acceptor_;
  coordination::ProcessInfo self_;
  bool stopped_ = false;
  std::unordered_map<state::ProcessId, coordination::ProcessInfo> peers_;
  /** Connections that this process opened or is opening, by address. */
  std::map<std::string, std::shared_ptr<Connection>> outbound_;
  /** Accepted connections. */
  std::map<Connection*, std::shared_ptr<Connection>> inbound_;
  /** Accepted connections without a Hello, in the order of their arrival. */
  std::deque<std::shared_ptr<Connection>> unidentified_;
};

}
