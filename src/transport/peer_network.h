#pragma once

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

/** Events of a PeerNetwork; they run on the control thread if not stated. */
struct PeerNetworkHooks
{
  std::function<void(const coordination::ProcessInfo& aFrom,
                     const coordination::PeerMessage& aMessage)>
    received;
  /**
   * A connection with this peer ended, or, if aReachable is false, could not
   * be opened because nothing or another process listens on its address.
   */
  std::function<void(const state::ProcessId& aPeer, bool aReachable)> lost;
  /** Count frames; run in a traffic thread and may be empty. */
  FrameSession::FrameCounter sentFrame;
  FrameSession::FrameCounter receivedFrame;
};

/**
 * Connections to and from the other processes. A process sends on the
 * connections it opened and receives on those it accepted and opened; every
 * connection begins with a Hello in both directions. Methods are called on the
 * control thread.
 */
class PeerNetwork
{
public:
  PeerNetwork(TrafficPool& aTraffic,
              ControlThread& aControl,
              PeerNetworkHooks aHooks);
  /** The control and traffic threads must have ended. */
  ~PeerNetwork();

  /** Binds the listener; port 0 selects a free port. */
  tl::expected<boost::asio::ip::tcp::endpoint, TransportError> Listen(
    const boost::asio::ip::tcp::endpoint& aEndpoint);

  /** Sets the Hello of this process and starts accepting. */
  void Start(const coordination::ProcessInfo& aSelf);

  /** Changes the Hello of later connections, for example when draining. */
  void SetSelf(const coordination::ProcessInfo& aSelf) { self_ = aSelf; }

  /** Remembers where a peer can be reached. */
  void SetPeer(const coordination::ProcessInfo& aPeer);

  /** Sends to a known peer; messages to unknown peers are dropped. */
  void Send(const state::ProcessId& aPeer, coordination::PeerMessage aMessage);

  /** Opens a connection to an address whose process is not known yet. */
  void ConnectSeed(const std::string& aAddress);

  /** Opens a connection to a known peer if there is none. */
  void Connect(const state::ProcessId& aPeer);

  /** Closes connections to a peer that is gone. */
  void Forget(const state::ProcessId& aPeer);

  /**
   * Closes the connection opened to a peer, because nothing is heard from it;
   * the next message opens a new one.
   */
  void Disconnect(const state::ProcessId& aPeer);

  /** Open connections, accepted and opened. */
  std::size_t SessionCount() const;

  void Stop();

private:
  struct Connection;

  void Accept();
  void Open(const std::string& aAddress, const state::ProcessId& aExpected);
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
  /** Connections opened by this process, by address. */
  std::map<std::string, std::shared_ptr<Connection>> outbound_;
  std::map<Connection*, std::shared_ptr<Connection>> inbound_;
};

}
