#pragma once

#include <chrono>
#include <compare>

namespace greengage::coordination {

/** Policy of one TaskScheduler; the defaults are those of the design page. */
struct SchedulerSettings
{
  /** Time waited that raises a job by one urgency level. */
  std::chrono::milliseconds agingPeriod{ 2000 };
  /** Upper bound of the ejected part of the known servers. */
  double maxEjectedShare = 0.20;
  /** First time an ejected server gets no task. */
  std::chrono::milliseconds firstEjection{ 5000 };
  /** Each further ejection doubles the time up to this. */
  std::chrono::milliseconds longestEjection{ 60'000 };
  /** False: a free slot is always used, however slow it is. */
  bool waitForFaster = true;

  auto operator<=>(const SchedulerSettings&) const = default;
};

}
