#pragma once

#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "state/clock.h"
#include "transport/latency_metric.h"

namespace greengage::transport {

/** Name of a time series: a metric family and labels. */
struct MetricName
{
  /** For example `greengage_answers_total`. */
  std::string family;
  /** Prometheus label text, for example `code="busy"`; may be empty. */
  std::string labels;

  auto operator<=>(const MetricName&) const = default;
};

/** Returns `name="value"` with the value escaped. */
std::string
MetricLabel(std::string_view aName, std::string_view aValue);

/** A number that never decreases; may be used from any thread. */
class Counter
{
public:
  void Add(std::uint64_t aCount = 1)
  {
    value_.fetch_add(aCount, std::memory_order_relaxed);
  }
  std::uint64_t Value() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> value_{ 0 };
};

/** A number that can be set to any value; may be used from any thread. */
class Gauge
{
public:
  void Set(double aValue) { value_.store(aValue, std::memory_order_relaxed); }
  double Value() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<double> value_{ 0 };
};

/**
 * All metrics of a process. A metric is created on first use and never moved or
 * removed, so callers may keep references to it. Counters and gauges may be
 * used from any thread; latency metrics and ToPrometheusText() may be used on
 * the control thread only.
 */
class MetricsRegistry
{
public:
  explicit MetricsRegistry(const state::Clock& aClock);

  // Each function returns the metric of this name and creates it if it does not
  // exist. The help text of a family is that of its first metric.
  Counter& FindCounter(const MetricName& aName, std::string_view aHelp);
  Gauge& FindGauge(const MetricName& aName, std::string_view aHelp);
  LatencyMetric& FindLatency(const MetricName& aName, std::string_view aHelp);

  /** Returns all metrics in the Prometheus text format, version 0.0.4. */
  std::string ToPrometheusText() const;

private:
  template<class Metric>
  using Table = std::map<MetricName, std::unique_ptr<Metric>>;

  /** Sets the help text of the family if it has none. */
  void SetHelp(const MetricName& aName, std::string_view aHelp);
  /** Appends the HELP and TYPE lines if aFamily is not aLastFamily. */
  void AppendFamilyHeader(std::string& aText,
                          std::string& aLastFamily,
                          const std::string& aFamily,
                          std::string_view aType) const;

  const state::Clock& clock_;
  /** Protects the tables, not the metrics in them. */
  mutable std::mutex mutex_;
  std::map<std::string, std::string> help_;
  Table<Counter> counters_;
  Table<Gauge> gauges_;
  Table<LatencyMetric> latencies_;
};

}
