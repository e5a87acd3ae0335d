#pragma once

#include <string>

#include <tl/expected.hpp>

#include "coordination/messages.h"
#include "daemon/daemon_error.h"
#include "daemon/settings.h"
#include "transport/peer_network.h"

namespace greengage::daemon {

/**
 * Opens the listener for the other processes, creates the identity of this
 * process and adds it to every log line. Returns the description of the
 * process, without its capacity.
 */
tl::expected<coordination::ProcessInfo, DaemonError>
OpenPeerListener(transport::PeerNetwork& aNetwork,
                 const CommonSettings& aSettings,
                 coordination::ProcessRole aRole);

}
