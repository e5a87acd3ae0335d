#include "tools/log_line.h"

#include <charconv>
#include <ctime>

namespace greengage::tools {

namespace {

constexpr std::string_view kTimeField = "time=";

/**
 * Removes one `name=value` from the start of the text and returns it; returns
 * std::nullopt if the text does not start with one.
 */
std::optional<std::pair<std::string, std::string>>
ConsumeField(std::string_view& aText)
{
  while (!aText.empty() && aText.front() == ' ') {
    aText.remove_prefix(1);
  }
  std::size_t equals = aText.find_first_of("= ");
  if (equals == std::string_view::npos || aText[equals] != '=') {
    return std::nullopt;
  }
  std::string name(aText.substr(0, equals));
  aText.remove_prefix(equals + 1);
  std::string value;
  if (!aText.empty() && aText.front() == '"') {
    std::size_t i = 1;
    for (; i < aText.size() && aText[i] != '"'; ++i) {
      bool escaped = aText[i] == '\\' && i + 1 < aText.size();
      value += escaped ? aText[++i] : aText[i];
    }
    aText.remove_prefix(std::min(i + 1, aText.size()));
  } else {
    value = aText.substr(0, aText.find(' '));
    aText.remove_prefix(value.size());
  }
  return std::pair(std::move(name), std::move(value));
}

/** Parses a UTC time such as `2026-12-04T15:43:13.737Z`. */
std::optional<std::chrono::milliseconds>
ParseTime(const std::string& aText)
{
  std::tm parts{};
  const char* rest = strptime(aText.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
  if (!rest || *rest != '.') {
    return std::nullopt;
  }
  int fraction = 0;
  const char* end = aText.c_str() + aText.size();
  if (std::from_chars(rest + 1, end, fraction).ec != std::errc()) {
    return std::nullopt;
  }
  return std::chrono::seconds(timegm(&parts)) +
         std::chrono::milliseconds(fraction);
}

}

std::string
LogLine::Field(std::string_view aName) const
{
  auto found = fields.find(aName);
  return found == fields.end() ? std::string() : found->second;
}

double
LogLine::Number(std::string_view aName) const
{
  std::string text = Field(aName);
  double value = 0;
  auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  return result.ec == std::errc() ? value : 0;
}

std::optional<LogLine>
ParseLogLine(std::string_view aText)
{
  std::size_t begin = aText.find(kTimeField);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  LogLine line;
  line.source = aText.substr(0, begin);
  while (!line.source.empty() && line.source.back() == ' ') {
    line.source.pop_back();
  }
  aText.remove_prefix(begin);
  while (auto field = ConsumeField(aText)) {
    line.fields.insert(*std::move(field));
  }
  auto time = ParseTime(line.Field("time"));
  line.name = line.Field("name");
  if (!time || line.name.empty()) {
    return std::nullopt;
  }
  line.time = *time;
  return line;
}

}
