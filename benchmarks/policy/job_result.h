#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

#include "state/refusal_code.h"

namespace greengage::policy {

/** Outcome of one arrival. Lists of results have the order of the arrivals. */
struct JobResult
{
  double responseSeconds = 0;
  double endedAt = 0;
  bool complete = false;
  state::RefusalCode code = state::RefusalCode::eNone;

  auto operator<=>(const JobResult&) const = default;
};

/** Mean and 99th percentile of response times, in seconds. */
struct ResponseTimes
{
  double mean = 0;
  double p99 = 0;
  std::size_t count = 0;

  auto operator<=>(const ResponseTimes&) const = default;
};

inline ResponseTimes
Summarise(std::vector<double> aResponses)
{
  ResponseTimes times;
  times.count = aResponses.size();
  if (aResponses.empty()) {
    return times;
  }
  for (double response : aResponses) {
    times.mean += response / double(times.count);
  }
  auto rank = aResponses.begin() + (times.count - 1) * 99 / 100;
  std::nth_element(aResponses.begin(), rank, aResponses.end());
  times.p99 = *rank;
  return times;
}

}
