#include "transport/metrics.h"

#include <fmt/format.h>

namespace greengage::transport {

namespace {

/** Appends the line `family{labels,extra labels} value`. */
void
AppendSample(std::string& aText,
             std::string_view aFamily,
             std::string_view aLabels,
             std::string_view aExtraLabels,
             double aValue)
{
  std::string_view comma = !aLabels.empty() && !aExtraLabels.empty() ? "," : "";
  std::string labels = fmt::format("{}{}{}", aLabels, comma, aExtraLabels);
  if (!labels.empty()) {
    labels = "{" + labels + "}";
  }
  fmt::format_to(
    std::back_inserter(aText), "{}{} {}\n", aFamily, labels, aValue);
}

void
AppendLatency(std::string& aText,
              const MetricName& aName,
              const LatencySummary& aSummary)
{
  auto append = [&](std::string_view aSuffix,
                    std::string_view aExtraLabels,
                    double aValue) {
    AppendSample(aText,
                 aName.family + std::string(aSuffix),
                 aName.labels,
                 aExtraLabels,
                 aValue);
  };
  append("", "quantile=\"0.5\"", aSummary.p50Seconds);
  append("", "quantile=\"0.99\"", aSummary.p99Seconds);
  append("", "quantile=\"1\"", aSummary.maxSeconds);
  append("_sum", "", aSummary.totalSeconds);
  append("_count", "", static_cast<double>(aSummary.totalCount));
}

}

std::string
MetricLabel(std::string_view aName, std::string_view aValue)
{
  std::string label = fmt::format("{}=\"", aName);
  for (char character : aValue) {
    if (character == '"' || character == '\\') {
      label += '\\';
    }
    label += character == '\n' ? ' ' : character;
  }
  return label + '"';
}

MetricsRegistry::MetricsRegistry(const state::Clock& aClock)
  : clock_(aClock)
{
}

Counter&
MetricsRegistry::FindCounter(const MetricName& aName, std::string_view aHelp)
{
  std::lock_guard lock(mutex_);
  auto& counter = counters_[aName];
  if (!counter) {
    counter = std::make_unique<Counter>();
    SetHelp(aName, aHelp);
  }
  return *counter;
}

Gauge&
MetricsRegistry::FindGauge(const MetricName& aName, std::string_view aHelp)
{
  std::lock_guard lock(mutex_);
  auto& gauge = gauges_[aName];
  if (!gauge) {
    gauge = std::make_unique<Gauge>();
    SetHelp(aName, aHelp);
  }
  return *gauge;
}

LatencyMetric&
MetricsRegistry::FindLatency(const MetricName& aName, std::string_view aHelp)
{
  std::lock_guard lock(mutex_);
  auto& latency = latencies_[aName];
  if (!latency) {
    latency = std::make_unique<LatencyMetric>(clock_);
    SetHelp(aName, aHelp);
  }
  return *latency;
}

std::string
MetricsRegistry::ToPrometheusText() const
{
  std::lock_guard lock(mutex_);
  std::string text;
  std::string family;
  for (const auto& [name, counter] : counters_) {
    AppendFamilyHeader(text, family, name.family, "counter");
    fmt::format_to(std::back_inserter(text),
                   "{}{}{}{} {}\n",
                   name.family,
                   name.labels.empty() ? "" : "{",
                   name.labels,
                   name.labels.empty() ? "" : "}",
                   counter->Value());
  }
  for (const auto& [name, gauge] : gauges_) {
    AppendFamilyHeader(text, family, name.family, "gauge");
    AppendSample(text, name.family, name.labels, "", gauge->Value());
  }
  for (const auto& [name, latency] : latencies_) {
    AppendFamilyHeader(text, family, name.family, "summary");
    AppendLatency(text, name, latency->Summarise());
  }
  return text;
}

void
MetricsRegistry::SetHelp(const MetricName& aName, std::string_view aHelp)
{
  help_.try_emplace(aName.family, aHelp);
}

void
MetricsRegistry::AppendFamilyHeader(std::string& aText,
                                    std::string& aLastFamily,
                                    const std::string& aFamily,
                                    std::string_view aType) const
{
  if (aLastFamily == aFamily) {
    return;
  }
  aLastFamily = aFamily;
  fmt::format_to(std::back_inserter(aText),
                 "# HELP {0} {1}\n# TYPE {0} {2}\n",
                 aFamily,
                 help_.at(aFamily),
                 aType);
}

}
