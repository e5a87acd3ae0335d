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
#include "transport/latency_figure.h"

namespace greengage::transport {

/** Names one time series: a family and its labels. */
struct MetricName
{
  /** For example `greengage_answers_total`. */
  std::string family;
  /** Prometheus label text, for example `code="busy"`; may be empty. */
  std::string labels;

  auto operator<=>(const MetricName&) const = default;
};

/** `name="value"` with the value escaped. */
std::string
MetricLabel(std::string_view aName, std::string_view aValue);

/** A number that only grows; may be used from any thread. */
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

/** A number that goes up and down; may be used from any thread. */
class Gauge
{
public:
  void Set(double aValue) { value_.store(aValue, std::memory_order_relaxed); }
  double Value() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<double> value_{ 0 };
};

/**
 * All figures of one process. Figures are created on first use and stay at
 * their address, so that callers keep references to them. Counters and gauges
 * may be used from any thread; latency figures and ToPrometheusText() belong to
 * the control thread.
 */
class MetricsRegistry
{
public:
  explicit MetricsRegistry(const state::Clock& aClock);

  Counter& FindCounter(const MetricName& aName, std::string_view aHelp);
  Gauge& FindGauge(const MetricName& aName, std::string_view aHelp);
  LatencyFigure& FindLatency(const MetricName& aName, std::string_view aHelp);

  /** All figures in the Prometheus text format, version 0.0.4. */
  std::string ToPrometheusText() const;

private:
  template<class Figure>
  using Table = std::map<MetricName, std::unique_ptr<Figure>>;

  void SetHelp(const MetricName& aName, std::string_view aHelp);
  /** HELP and TYPE lines, once per family. */
  void AppendHead(std::string& aText,
                  std::string& aLastFamily,
                  const std::string& aFamily,
                  std::string_view aType) const;

  const state::Clock& clock_;
  /** Guards the tables, not the figures. */
  mutable std::mutex mutex_;
  std::map<std::string, std::string> help_;
  Table<Counter> counters_;
  Table<Gauge> gauges_;
  Table<LatencyFigure> latencies_;
};

}
