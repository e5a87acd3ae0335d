#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace greengage::tools {

/** One log event, parsed from the output of a process. */
struct LogLine
{
  /** Text that a log collector put before the event, for example the host. */
  std::string source;
  /** Time since the Unix epoch. */
  std::chrono::milliseconds time{ 0 };
  std::string name;
  /** Values of all fields by name, without quotes and escapes. */
  std::map<std::string, std::string, std::less<>> fields;

  auto operator<=>(const LogLine&) const = default;

  /** Returns the value of a field; empty if the event has no such field. */
  std::string Field(std::string_view aName) const;
  /** Returns a field as a number; zero if it is missing or not a number. */
  double Number(std::string_view aName) const;
};

/** Returns std::nullopt if the text is not an event of greengageworks. */
std::optional<LogLine>
ParseLogLine(std::string_view aText);

}
