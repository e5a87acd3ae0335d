#pragma once

#include <string>
#include <string_view>

#include <fmt/format.h>

#include "transport/events.h"

namespace greengage::transport {

/** Lines below this level are not written; the default is eInfo. */
void
SetLogLevel(LogLevel aLevel);

/** Program and process identity that every line carries. */
void
SetLogProcess(std::string aProgram, std::string aProcessId);

/** Writes one line to standard error; aFields are `key=value` pairs. */
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
