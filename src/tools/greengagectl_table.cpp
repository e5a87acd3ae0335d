#include "tools/greengagectl_table.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <map>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace greengage::tools {

namespace json = boost::json;

namespace {

using Row = std::map<std::string, std::string>;

std::string
PlainText(const json::value& aValue)
{
  return aValue.is_string() ? std::string(aValue.get_string())
                            : json::serialize(aValue);
}

/** Adds the fields of an object to a row; nested fields under their path. */
void
Flatten(const json::object& aObject,
        const std::string& aPrefix,
        Row& aRow,
        std::vector<std::string>& aColumns)
{
  for (const auto& field : aObject) {
    std::string name = aPrefix + std::string(field.key());
    if (const json::object* nested = field.value().if_object()) {
      Flatten(*nested, name + ".", aRow, aColumns);
      continue;
    }
    if (std::find(aColumns.begin(), aColumns.end(), name) == aColumns.end()) {
      aColumns.push_back(name);
    }
    aRow[name] = PlainText(field.value());
  }
}

std::string
FormatRows(const std::vector<std::string>& aColumns,
           const std::vector<Row>& aRows)
{
  std::vector<std::string> lines(aRows.size() + 1);
  for (const std::string& column : aColumns) {
    std::size_t width = column.size();
    for (const Row& row : aRows) {
      auto cell = row.find(column);
      width = std::max(width, cell == row.end() ? 1 : cell->second.size());
    }
    lines[0] += fmt::format("{:<{}}  ", column, width);
    for (std::size_t i = 0; i < aRows.size(); ++i) {
      auto cell = aRows[i].find(column);
      lines[i + 1] += fmt::format(
        "{:<{}}  ", cell == aRows[i].end() ? "-" : cell->second, width);
    }
  }
  std::string text;
  for (std::string& line : lines) {
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

bool
IsTable(const json::value& aValue)
{
  const json::array* list = aValue.if_array();
  return list && !list->empty() &&
         std::all_of(list->begin(), list->end(), [](const json::value& aItem) {
           return aItem.is_object();
         });
}

std::string
FormatTable(const json::array& aList)
{
  std::vector<std::string> columns;
  std::vector<Row> rows;
  for (const json::value& item : aList) {
    Flatten(item.get_object(), "", rows.emplace_back(), columns);
  }
  return FormatRows(columns, rows);
}

/** Returns the name with labels and the value of each sample. */
std::vector<std::pair<std::string, std::string>>
ReadSamples(std::string_view aText)
{
  std::vector<std::pair<std::string, std::string>> samples;
  while (!aText.empty()) {
    std::size_t end = std::min(aText.find('\n'), aText.size());
    std::string_view line = aText.substr(0, end);
    aText.remove_prefix(std::min(end + 1, aText.size()));
    std::size_t space = line.rfind(' ');
    if (line.starts_with('#') || space == std::string_view::npos) {
      continue;
    }
    samples.emplace_back(line.substr(0, space), line.substr(space + 1));
  }
  return samples;
}

}

std::string
FormatObject(const json::value& aValue)
{
  if (IsTable(aValue)) {
    return FormatTable(aValue.get_array());
  }
  const json::object* object = aValue.if_object();
  if (!object) {
    return PlainText(aValue) + "\n";
  }
  std::string text;
  std::string tables;
  for (const auto& field : *object) {
    if (IsTable(field.value())) {
      tables += fmt::format("\n{}\n{}",
                            std::string_view(field.key()),
                            FormatTable(field.value().get_array()));
    } else {
      text += fmt::format(
        "{}: {}\n", std::string_view(field.key()), PlainText(field.value()));
    }
  }
  return text + tables;
}

std::string
FormatMetrics(std::string_view aText)
{
  std::vector<Row> rows;
  for (auto& [name, value] : ReadSamples(aText)) {
    rows.push_back(
      { { "name", std::move(name) }, { "value", std::move(value) } });
  }
  return FormatRows({ "name", "value" }, rows);
}

std::string
MetricsToJson(std::string_view aText)
{
  json::object object;
  for (const auto& [name, value] : ReadSamples(aText)) {
    char* end = nullptr;
    double number = std::strtod(value.c_str(), &end);
    bool isNumber =
      end == value.c_str() + value.size() && std::isfinite(number);
    object[name] = isNumber ? json::value(number) : json::value(value);
  }
  return json::serialize(object) + "\n";
}

}
