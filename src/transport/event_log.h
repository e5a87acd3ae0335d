#pragma once

#include <string>
#include <string_view>

#include <fmt/format.h>

#include "transport/events.h"

namespace greengage::transport {

/**
 * Limit of log lines of a process, for the levels debug and info together and
 * for warning and error together; a line has about 250 bytes.
 */
inline constexpr unsigned kMaxLinesPerSecond = 400;

/** Sets the lowest level that is written; the default is eInfo. */
void
SetLogLevel(LogLevel aLevel);

/**
 * Makes standard output non-blocking: a line that cannot be written at once is
 * dropped instead of blocking the process.
 */
void
SetLogNonBlocking();

/** Sets the program name and process id that every line contains. */
void
SetLogProcess(std::string aProgram, std::string aProcessId);

/**
 * Writes one line to standard output; aFields are `key=value` pairs. Lines
 * above kMaxLinesPerSecond are dropped; warnings and errors have a limit of
 * their own, so that ordinary lines do not displace them. Lines are also
 * dropped if standard output is non-blocking and full. The event kLinesDropped
 * reports the number of dropped lines.
 */
void
WriteEvent(const EventKind& aKind, std::string_view aFields);

/** Formats the fields with fmt and writes the event. */
template<class... Args>
void
LogEvent(const EventKind& aKind,
         fmt::format_string<Args...> aFormat,
         Args&&... aArguments)
{
  WriteEvent(aKind, fmt::format(aFormat, std::forward<Args>(aArguments)...));
}

/**
 * Quotes a value that may contain spaces, quotes or line breaks. Control
 * characters are replaced by spaces.
 */
std::string
QuoteValue(std::string_view aValue);

}
