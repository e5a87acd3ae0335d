#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "state/clock.h"

namespace greengage::transport {

/** Span of one window; a summary covers one to two windows. */
inline constexpr std::chrono::seconds kLatencyWindow{ 10 };

/** A latency over the recent windows, and its totals since the start. */
struct LatencySummary
{
  double meanSeconds = 0;
  double p50Seconds = 0;
  double p99Seconds = 0;
  double maxSeconds = 0;
  std::uint64_t totalCount = 0;
  double totalSeconds = 0;

  bool operator==(const LatencySummary&) const = default;
};

/**
 * Mean, quantiles and maximum of a latency over a sliding window. Used by the
 * control thread only.
 */
class LatencyFigure
{
public:
  explicit LatencyFigure(const state::Clock& aClock);

  void Record(std::chrono::nanoseconds aLatency);

  /**
   * Mean and quantiles of the last full window, or of the current one while
   * there is no full one; the maximum of both. Zero without samples.
   */
  LatencySummary Summarise() const;

private:
  using Statistics = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::mean,
                               boost::accumulators::tag::max,
                               boost::accumulators::tag::extended_p_square>>;

  struct Window
  {
    Window();

    void Add(double aSeconds);
    double Quantile(std::size_t aIndex) const;

    Statistics statistics;
    /** First samples; the P-square estimate needs several to begin. */
    std::vector<double> first;
  };

  /** Drops windows that are too old. */
  void Advance();

  const state::Clock& clock_;
  state::MonotonicTime windowStart_;
  Window current_;
  std::optional<Window> previous_;
  std::uint64_t totalCount_ = 0;
  double totalSeconds_ = 0;
};

}
