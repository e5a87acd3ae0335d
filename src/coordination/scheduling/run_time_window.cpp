#include "coordination/scheduling/run_time_window.h"

#include <algorithm>

namespace greengage::coordination {

void
RunTimeWindow::Add(std::chrono::microseconds aRunTime)
{
  ++addedSinceSort_;
  if (values_.size() < kSize) {
    values_.push_back(aRunTime);
    return;
  }
  values_[next_] = aRunTime;
  next_ = (next_ + 1) % kSize;
}

std::chrono::microseconds
RunTimeWindow::Percentile95()
{
  if (values_.size() < kMinValues) {
    return {};
  }
  bool fresh = percentile_.count() != 0 && addedSinceSort_ < kMinValues;
  if (fresh) {
    return percentile_;
  }
  auto sorted = values_;
  auto position =
    sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() * 95 / 100);
  std::nth_element(sorted.begin(), position, sorted.end());
  percentile_ = *position;
  addedSinceSort_ = 0;
  return percentile_;
}

}
