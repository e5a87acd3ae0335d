#pragma once

#include <string>

#include <tl/expected.hpp>

#include "daemon/daemon_error.h"
#include "transport/http_server.h"

namespace greengage::daemon {

/** Serves on `ip:port`; does nothing if the address is empty. */
tl::expected<void, DaemonError>
StartListening(transport::HttpServer& aServer, const std::string& aAddress);

}
