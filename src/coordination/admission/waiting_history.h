#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>

#include "state/clock.h"

namespace greengage::coordination {

/** The end of the waiting time of one job: its start or its rejection. */
struct ObservedWait
{
  state::MonotonicTime at;
  /** Forecast on arrival, without correction, in ms. */
  double forecastMs = 0;
  /** For a rejected job, the least time that it would have waited. */
  double waitMs = 0;

  auto operator<=>(const ObservedWait&) const = default;
};

/**
 * Waiting times of the last second by priority, and how far their forecasts
 * were off. Used by the control thread only.
 */
class WaitingHistory
{
public:
  explicit WaitingHistory(const state::Clock& aClock);

  void Add(std::uint32_t aPriority, double aForecastMs, double aWaitMs);
  /** Returns a quantile of wait / forecast; 1 without enough observations. */
  double Correction(std::uint32_t aPriority, double aQuantile) const;
  /** Returns a quantile of the waits; 0 without enough observations. */
  double WaitMs(std::uint32_t aPriority, double aQuantile) const;

private:
  const state::Clock& clock_;
  std::map<std::uint32_t, std::deque<ObservedWait>> waits_;
};

}
