#include "daemon/peer_listener.h"

#include "daemon/process_identity.h"
#include "transport/endpoint.h"
#include "transport/event_log.h"

namespace greengage::daemon {

using coordination::ProcessInfo;
using coordination::ProcessRole;

tl::expected<ProcessInfo, DaemonError>
OpenPeerListener(transport::PeerNetwork& aNetwork,
                 const CommonSettings& aSettings,
                 ProcessRole aRole)
{
  auto endpoint =
    aNetwork.Listen(*transport::ParseEndpoint(aSettings.peerAddress));
  if (!endpoint) {
    return tl::unexpected(DaemonError{ endpoint.error().message });
  }
  ProcessInfo self;
  self.id = CreateProcessId();
  self.role = aRole;
  self.peerAddress = transport::ToString(*endpoint);
  self.dataCentre = aSettings.dataCentre;
  self.rack = aSettings.rack;
  transport::SetLogProcess(aRole == ProcessRole::eEntry ? "greengage-entry"
                                                        : "greengage-agent",
                           self.id.ToString());
  return self;
}

}
