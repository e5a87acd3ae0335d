#pragma once

#include <chrono>

namespace greengage::daemon {

/** Logs that this process did not run for a while. */
void
LogPause(std::chrono::milliseconds aLength);

}
