#pragma once

#include "daemon/settings.h"
#include "daemon/signal_wait.h"
#include "transport/event_log.h"

namespace greengage::daemon {

/**
 * Starts a process and waits for a stop signal; returns the exit code.
 * @param aSignals handles signals since the start of the program
 * @param aReload called on each SIGHUP
 */
template<class Process>
int
RunProcess(Process& aProcess,
           SignalWait& aSignals,
           const std::function<void()>& aReload = nullptr)
{
  auto started = aProcess.Start();
  if (!started) {
    transport::LogEvent(transport::events::kStartFailed,
                        "reason={}",
                        transport::QuoteValue(started.error().message));
    return 1;
  }
  aSignals.Wait(
    [&](std::function<void()> aStopped) { aProcess.Stop(std::move(aStopped)); },
    aReload);
  return 0;
}

/** Runs greengage-entry or greengage-agent; returns the exit code. */
template<class Process, class Settings>
int
RunDaemon(SignalWait& aSignals, const ParsedSettings<Settings>& aParsed)
{
  if (aParsed.exitCode) {
    return *aParsed.exitCode;
  }
  transport::SetLogNonBlocking();
  transport::SetLogLevel(aParsed.settings.common.logLevel);
  Process process(aParsed.settings);
  return RunProcess(process, aSignals);
}

}
