#include "coordination/admission/waiting_history.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace greengage::coordination {

namespace {

/** Observations of more than a second ago belong to another load. */
constexpr std::chrono::milliseconds kWindow{ 1000 };
/** Fewer observations say nothing about the present load. */
constexpr std::size_t kMinObservations = 5;
/** Bounds the memory and the time of a decision at high rates. */
constexpr std::size_t kMaxObservations = 64;
/**
 * Added to both times, so that the ratio of two short times, which no decision
 * depends on, is near 1. It is the interval of the ticks.
 */
constexpr double kNoiseMs = 25;
/**
 * Limit of the correction in both directions. A wrong correction rejects the
 * jobs that would show that it is wrong.
 */
constexpr double kMaxCorrection = 3;

double
QuantileOf(const std::deque<ObservedWait>& aWaits,
           double aQuantile,
           double aDefault,
           state::MonotonicTime aNow,
           const std::function<double(const ObservedWait&)>& aValue)
{
  std::vector<double> values;
  for (const ObservedWait& wait : aWaits) {
    if (aNow - wait.at <= kWindow) {
      values.push_back(aValue(wait));
    }
  }
  if (values.size() < kMinObservations) {
    return aDefault;
  }
  auto last = static_cast<double>(values.size() - 1);
  auto middle = values.begin() + static_cast<std::ptrdiff_t>(
                                   std::clamp(aQuantile, 0.0, 1.0) * last);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}

WaitingHistory::WaitingHistory(const state::Clock& aClock)
  : clock_(aClock)
{
}

void
WaitingHistory::Add(std::uint32_t aPriority, double aForecastMs, double aWaitMs)
{
  auto& waits = waits_[aPriority];
  waits.push_back({ clock_.MonotonicNow(), aForecastMs, aWaitMs });
  if (waits.size() > kMaxObservations) {
    waits.pop_front();
  }
}

double
WaitingHistory::Correction(std::uint32_t aPriority, double aQuantile) const
{
  auto found = waits_.find(aPriority);
  if (found == waits_.end()) {
    return 1;
  }
  double ratio = QuantileOf(found->second,
                            aQuantile,
                            1,
                            clock_.MonotonicNow(),
                            [](const ObservedWait& aWait) {
                              return (aWait.waitMs + kNoiseMs) /
                                     (aWait.forecastMs + kNoiseMs);
                            });
  return std::clamp(ratio, 1 / kMaxCorrection, kMaxCorrection);
}

double
WaitingHistory::WaitMs(std::uint32_t aPriority, double aQuantile) const
{
  auto found = waits_.find(aPriority);
  if (found == waits_.end()) {
    return 0;
  }
  return QuantileOf(found->second,
                    aQuantile,
                    0,
                    clock_.MonotonicNow(),
                    [](const ObservedWait& aWait) { return aWait.waitMs; });
}

}
