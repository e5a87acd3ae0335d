#include "transport/event_log.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

#include <fmt/chrono.h>

namespace greengage::transport {

namespace {

/** A target or a name that a client sends can have thousands of bytes. */
constexpr std::size_t kMaxQuotedBytes = 300;

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

/** Limits the lines per second and counts the dropped lines. */
class LineRateLimiter
{
public:
  /** Counts one line; returns false above kMaxLinesPerSecond. */
  bool TryAcquire(LogLevel aLevel, std::chrono::system_clock::time_point aNow)
  {
    auto second = std::chrono::floor<std::chrono::seconds>(aNow);
    if (second != currentSecond_) {
      currentSecond_ = second;
      ordinaryLines_ = 0;
      severeLines_ = 0;
    }
    unsigned& lines = aLevel <= LogLevel::eInfo ? ordinaryLines_ : severeLines_;
    return ++lines <= kMaxLinesPerSecond;
  }

  void AddDropped() { ++droppedLines_; }
  /** Returns the number of dropped lines and resets it. */
  std::uint64_t ResetDropped() { return std::exchange(droppedLines_, 0); }

private:
  std::chrono::sys_seconds currentSecond_{};
  /** Lines of this second of the levels debug and info. */
  unsigned ordinaryLines_ = 0;
  /** Lines of this second of the levels warning and error. */
  unsigned severeLines_ = 0;
  std::uint64_t droppedLines_ = 0;
};

std::mutex gRateLimiterMutex;
LineRateLimiter gRateLimiter;

std::string
FormatLine(const EventKind& aKind,
           std::chrono::system_clock::time_point aNow,
           std::string_view aFields)
{
  auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(aNow);
  auto millis = now.time_since_epoch().count() % 1000;
  return fmt::format("time={:%FT%T}.{:03}Z level={} event={} "
                     "name={} {} {}\n",
                     fmt::gmtime(std::chrono::floor<std::chrono::seconds>(now)),
                     millis,
                     ToString(aKind.level),
                     aKind.number,
                     aKind.name,
                     gProcess,
                     aFields);
}

/**
 * Writes the line in a single system call, so that lines of different threads
 * are not interleaved. Returns false if it could not be written completely.
 */
bool
WriteLine(const std::string& aLine)
{
  return ::write(STDOUT_FILENO, aLine.data(), aLine.size()) ==
         static_cast<ssize_t>(aLine.size());
}

}

void
SetLogLevel(LogLevel aLevel)
{
  gLevel = aLevel;
}

void
SetLogNonBlocking()
{
  int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
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
  auto now = std::chrono::system_clock::now();
  std::lock_guard lock(gRateLimiterMutex);
  if (!gRateLimiter.TryAcquire(aKind.level, now)) {
    gRateLimiter.AddDropped();
    return;
  }
  std::uint64_t dropped = gRateLimiter.ResetDropped();
  if (dropped > 0) {
    WriteLine(
      FormatLine(events::kLinesDropped, now, fmt::format("lines={}", dropped)));
  }
  if (!WriteLine(FormatLine(aKind, now, aFields))) {
    gRateLimiter.AddDropped();
  }
}

std::string
QuoteValue(std::string_view aValue)
{
  std::string quoted = "\"";
  for (char character : aValue.substr(0, kMaxQuotedBytes)) {
    if (character == '"' || character == '\\') {
      quoted += '\\';
      quoted += character;
    } else if (static_cast<unsigned char>(character) < 0x20) {
      quoted += ' ';
    } else {
      quoted += character;
    }
  }
  quoted += aValue.size() > kMaxQuotedBytes ? "...\"" : "\"";
  return quoted;
}

}
