#pragma once

#include <chrono>

namespace greengage::daemon {

/** Logs that this process was paused for aLength. */
void
LogPause(std::chrono::milliseconds aLength);

}
