#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace greengage::coordination {

/** The most recent run times of one template. */
class RunTimeWindow
{
public:
  void Add(std::chrono::microseconds aRunTime);

  /** 95th percentile; zero if there are fewer than kMinValues values. */
  std::chrono::microseconds Percentile95();

private:
  // Enough values for a stable 95th percentile, few enough to select it often.
  static constexpr std::size_t kSize = 100;
  static constexpr std::size_t kMinValues = 20;

  std::vector<std::chrono::microseconds> values_;
  std::size_t nextPosition_ = 0;
  std::size_t addedSinceUpdate_ = 0;
  std::chrono::microseconds percentile_{ 0 };
};

}
