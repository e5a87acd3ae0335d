#pragma once

#include <string>

#include <tl/expected.hpp>

#include "coordination/messages.h"
#include "daemon/daemon_error.h"
#include "daemon/settings.h"
#include "transport/peer_network.h"

namespace greengage::daemon {

/**
 * Opens the listener for the other processes, gives this run of the process
 * its identity and puts it on every log line. The capacity is left empty.
 */
tl::expected<coordination::ProcessInfo, DaemonError>
OpenPeerListener(transport::PeerNetwork& aNetwork,
                 const CommonSettings& aSettings,
                 coordination::ProcessRole aRole);

}
