#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace greengage::tools {

/** One event of a process, read back from its output. */
struct LogLine
{
  /** What a collector of logs put before the event, for example the host. */
  std::string source;
  /** Since 1970. */
  std::chrono::milliseconds time{ 0 };
  std::string name;
  /** All fields, without the quotes around their values. */
  std::map<std::string, std::string, std::less<>> fields;

  auto operator<=>(const LogLine&) const = default;

  /** Empty if the event has no such field. */
  std::string Field(std::string_view aName) const;
  /** Zero if the event has no such field or it is no number. */
  double Number(std::string_view aName) const;
};

/** Empty if the text is no event of greengageworks. */
std::optional<LogLine>
ParseLogLine(std::string_view aText);

}
