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

/** Length of a window; a summary covers one to two windows. */
inline constexpr std::chrono::seconds kLatencyWindow{ 10 };

/**
 * Statistics of a latency over the recent windows, and its totals since the
 * process started.
 */
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
 * Computes mean, quantiles and maximum of a latency over recent windows of
 * fixed length. Used on the control thread only.
 */
class LatencyMetric
{
public:
  explicit LatencyMetric(const state::Clock& aClock);

  /** Adds a sample. */
  void Record(std::chrono::nanoseconds aLatency);

  /**
   * Returns the mean and the quantiles of the previous window, or of the
   * current window if the previous one has no samples, and the maximum of both
   * windows. Without samples these values are zero.
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
    /** Returns the quantile with this index in kProbabilities. */
    double Quantile(std::size_t aIndex) const;

    Statistics statistics;
    /**
     * First samples, for exact quantiles; the P-square estimate is inaccurate
     * for few samples.
     */
    std::vector<double> firstSamples;
  };

  /** Starts a new window if the current one has ended. */
  void Advance();

  const state::Clock& clock_;
  state::MonotonicTime windowStart_;
  Window current_;
  std::optional<Window> previous_;
  std::uint64_t totalCount_ = 0;
  double totalSeconds_ = 0;
};

}
