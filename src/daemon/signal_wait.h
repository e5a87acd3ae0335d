#pragma once

#include <functional>

namespace greengage::daemon {

/**
 * Blocks until SIGTERM or SIGINT, then calls aStop with a function that ends
 * the wait, and returns when that was called. A second signal ends it at once.
 * aReload is called on each SIGHUP; if it is empty, SIGHUP is ignored.
 */
void
WaitForStopSignal(
  const std::function<void(std::function<void()> aStopped)>& aStop,
  const std::function<void()>& aReload = nullptr);

}
