#pragma once

#include "daemon/settings.h"
#include "daemon/signal_wait.h"
#include "transport/event_log.h"

namespace greengage::daemon {

/** Runs a process until it is told to stop; returns the exit code. */
template<class Process, class Settings>
int
RunDaemon(const ParsedSettings<Settings>& aParsed)
{
  if (aParsed.exitCode) {
    return *aParsed.exitCode;
  }
  transport::SetLogNonBlocking();
  transport::SetLogLevel(aParsed.settings.common.logLevel);
  Process process(aParsed.settings);
  auto started = process.Start();
  if (!started) {
    transport::LogEvent(transport::events::kStartFailed,
                        "reason={}",
                        transport::QuoteValue(started.error().message));
    return 1;
  }
  WaitForStopSignal(
    [&](std::function<void()> aStopped) { process.Stop(std::move(aStopped)); });
  return 0;
}

}
