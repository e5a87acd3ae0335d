#include "transport/latency_metric.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace greengage::transport {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array kProbabilities{ 0.5, 0.9, 0.99 };
constexpr std::size_t kMedianIndex = 0;
constexpr std::size_t kPercentile99Index = 2;

// Up to this number of samples, quantiles are computed from the samples. The
// P-square estimate for three probabilities has nine markers, which the
// first samples initialise.
constexpr std::size_t kMaxExactSamples = 100;

}

LatencyMetric::Window::Window()
  : statistics(accumulators::extended_p_square_probabilities = kProbabilities)
{
}

void
LatencyMetric::Window::Add(double aSeconds)
{
  statistics(aSeconds);
  if (firstSamples.size() < kMaxExactSamples) {
    firstSamples.push_back(aSeconds);
  }
}

double
LatencyMetric::Window::Quantile(std::size_t aIndex) const
{
  if (accumulators::count(statistics) > kMaxExactSamples) {
    return accumulators::extended_p_square(statistics)[aIndex];
  }
  std::vector<double> sorted = firstSamples;
  std::sort(sorted.begin(), sorted.end());
  auto rank = static_cast<std::size_t>(
    std::ceil(kProbabilities[aIndex] * static_cast<double>(sorted.size())));
  return sorted[std::max<std::size_t>(rank, 1) - 1];
}

LatencyMetric::LatencyMetric(const state::Clock& aClock)
  : clock_(aClock)
  , windowStart_(aClock.MonotonicNow())
{
}

void
LatencyMetric::Record(std::chrono::nanoseconds aLatency)
{
  Advance();
  double seconds = std::chrono::duration<double>(aLatency).count();
  current_.Add(seconds);
  ++totalCount_;
  totalSeconds_ += seconds;
}

LatencySummary
LatencyMetric::Summarise() const
{
  LatencyMetric advanced = *this;
  advanced.Advance();
  LatencySummary summary;
  summary.totalCount = totalCount_;
  summary.totalSeconds = totalSeconds_;
  const Window& window =
    advanced.previous_ ? *advanced.previous_ : advanced.current_;
  if (!window.firstSamples.empty()) {
    summary.meanSeconds = accumulators::mean(window.statistics);
    summary.p50Seconds = window.Quantile(kMedianIndex);
    summary.p99Seconds = window.Quantile(kPercentile99Index);
    summary.maxSeconds = accumulators::max(window.statistics);
  }
  if (!advanced.current_.firstSamples.empty()) {
    summary.maxSeconds = std::max(
      summary.maxSeconds, accumulators::max(advanced.current_.statistics));
  }
  return summary;
}

void
LatencyMetric::Advance()
{
  auto elapsed = clock_.MonotonicNow() - windowStart_;
  if (elapsed < kLatencyWindow) {
    return;
  }
  bool adjacent = elapsed < 2 * kLatencyWindow;
  bool hasSamples = !current_.firstSamples.empty();
  previous_.reset();
  if (adjacent && hasSamples) {
    previous_.emplace(std::move(current_));
  }
  current_ = Window();
  windowStart_ += (elapsed / kLatencyWindow) * kLatencyWindow;
}

}
