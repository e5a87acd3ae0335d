#include "daemon/dispatch/log_pause.h"

#include "transport/event_log.h"

namespace greengage::daemon {

void
LogPause(std::chrono::milliseconds aLength)
{
  transport::LogEvent(
    transport::events::kProcessPaused, "length_ms={}", aLength.count());
}

}
