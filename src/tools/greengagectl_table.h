#pragma once

#include <string>
#include <string_view>

#include <boost/json/value.hpp>

namespace greengage::tools {

/**
 * A JSON object as text: one line per plain field, then one table per list of
 * objects. Nested fields have their path as the column, for example
 * `document.memory_mb`.
 */
std::string
FormatObject(const boost::json::value& aValue);

/** Samples of a Prometheus text as a table of name and value. */
std::string
FormatMetrics(std::string_view aText);

/** Samples of a Prometheus text as one JSON object. */
std::string
MetricsToJson(std::string_view aText);

}
