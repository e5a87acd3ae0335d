#pragma once

#include <string>
#include <string_view>

#include <boost/json/value.hpp>

namespace greengage::tools {

/**
 * Formats a JSON object as text: one line per plain field, then one table per
 * list of objects. The column of a nested field is named by its path, for
 * example `document.memory_mb`.
 */
std::string
FormatObject(const boost::json::value& aValue);

/** Formats the samples of a Prometheus text as a table of name and value. */
std::string
FormatMetrics(std::string_view aText);

/** Converts the samples of a Prometheus text to one JSON object. */
std::string
MetricsToJson(std::string_view aText);

}
