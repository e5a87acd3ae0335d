#include "coordination/scheduling/run_time_window.h"

#include <algorithm>

namespace greengage::coordination {

void
RunTimeWindow::Add(std::chrono::microseconds aRunTime)
{
  ++addedSinceUpdate_;
  if (values_.size() < kSize) {
    values_.push_back(aRunTime);
    return;
  }
  values_[nextPosition_] = aRunTime;
  nextPosition_ = (nextPosition_ + 1) % kSize;
}

std::chrono::microseconds
RunTimeWindow::Percentile95()
{
  if (values_.size() < kMinValues) {
    return {};
  }
  bool isUpToDate = percentile_.count() != 0 && addedSinceUpdate_ < kMinValues;
  if (isUpToDate) {
    return percentile_;
  }
  auto sorted = values_;
  auto position =
    sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() * 95 / 100);
  std::nth_element(sorted.begin(), position, sorted.end());
  percentile_ = *position;
  addedSinceUpdate_ = 0;
  return percentile_;
}

}
