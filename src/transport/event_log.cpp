#include "transport/event_log.h"

#include <atomic>
#include <chrono>
#include <cstdio>

#include <fmt/chrono.h>

namespace greengage::transport {

namespace {

std::atomic<LogLevel> gLevel{ LogLevel::eInfo };
std::string gProcess;

std::string_view
ToString(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::eDebug:
      return "debug";
    case LogLevel::eInfo:
      return "info";
    case LogLevel::eWarning:
      return "warning";
    case LogLevel::eError:
      return "error";
  }
  return "error";
}

}

void
SetLogLevel(LogLevel aLevel)
{
  gLevel = aLevel;
}

void
SetLogProcess(std::string aProgram, std::string aProcessId)
{
  gProcess = fmt::format("program={} process={}", aProgram, aProcessId);
}

void
WriteEvent(const EventKind& aKind, std::string_view aFields)
{
  if (aKind.level < gLevel.load(std::memory_order_relaxed)) {
    return;
  }
  auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
  auto millis = now.time_since_epoch().count() % 1000;
  // One call, so that lines of different threads do not mix.
  std::string line =
    fmt::format("time={:%FT%T}.{:03}Z level={} event={} "
                "name={} {} {}\n",
                fmt::gmtime(std::chrono::floor<std::chrono::seconds>(now)),
                millis,
                ToString(aKind.level),
                aKind.number,
                aKind.name,
                gProcess,
                aFields);
  std::fwrite(line.data(), 1, line.size(), stderr);
}

std::string
QuoteValue(std::string_view aValue)
{
  std::string quoted = "\"";
  for (char character : aValue) {
    if (character == '"' || character == '\\') {
      quoted += '\\';
      quoted += character;
    } else if (static_cast<unsigned char>(character) < 0x20) {
      quoted += ' ';
    } else {
      quoted += character;
    }
  }
  quoted += '"';
  return quoted;
}

}
