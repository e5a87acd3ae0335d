#pragma once

#include <string>
#include <string_view>

#include <fmt/format.h>

#include "transport/events.h"

namespace greengage::transport {

/** Bound of the lines of one process; a line has about 250 bytes. */
inline constexpr unsigned kMaxLinesPerSecond = 400;

/** Lines below this level are not written; the default is eInfo. */
void
SetLogLevel(LogLevel aLevel);

/**
 * A line that standard output cannot take at once is dropped instead of
 * blocking the process.
 */
void
SetLogNonBlocking();

/** Program and process identity that every line carries. */
void
SetLogProcess(std::string aProgram, std::string aProcessId);

/**
 * Writes one line to standard output; aFields are `key=value` pairs. Lines of
 * the level info and below are dropped above kMaxLinesPerSecond, and all lines
 * while standard output takes none; kLinesDropped tells how many.
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

/** Quotes a value that may hold spaces, quotes or line breaks. */
std::string
QuoteValue(std::string_view aValue);

}
