#pragma once

#include <functional>
#include <string>

#include "coordination/document/document_exchange.h"
#include "coordination/messages.h"
#include "daemon/dispatch/peer_node.h"
#include "state/clock.h"

namespace greengage::daemon {

/**
 * Copies of the configuration document that an entry or agent exchanges with
 * its peers: connects DocumentExchange to the peer network and the log. Control
 * thread only.
 */
class DocumentService
{
public:
  /** Called with a document of a newer version that a peer sent. */
  using ReceivedFunction = std::function<void(const state::ProcessId& aFrom,
                                              std::uint64_t aVersion,
                                              const std::string& aDocument)>;

  DocumentService(PeerNode& aPeers,
                  const state::Clock& aClock,
                  ReceivedFunction aReceived);

  coordination::DocumentExchange& Exchange() { return exchange_; }
  const coordination::DocumentExchange& Exchange() const { return exchange_; }

  /** Returns true if the message belongs to the exchange of documents. */
  bool OnMessage(const state::ProcessId& aFrom,
                 const coordination::PeerMessage& aMessage);

private:
  coordination::DocumentExchangeHooks MakeHooks(PeerNode& aPeers);

  ReceivedFunction received_;
  coordination::DocumentExchange exchange_;
};

}
