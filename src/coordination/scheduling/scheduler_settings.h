#pragma once

#include <chrono>
#include <compare>

namespace greengage::coordination {

/** Policy of one TaskScheduler; the design document has the same defaults. */
struct SchedulerSettings
{
  /** Waiting time that counts as much as one urgency level. */
  std::chrono::milliseconds agingPeriod{ 2000 };
  /**
   * Upper bound of the share of known servers that are ejected or on probation.
   */
  double maxEjectedShare = 0.20;
  /** Duration of the first ejection of a server. */
  std::chrono::milliseconds baseEjectionTime{ 5000 };
  /** Upper bound of the duration, which doubles with each repeated ejection. */
  std::chrono::milliseconds maxEjectionTime{ 60'000 };
  /** If false, a free slot is used at once, however slow its server is. */
  bool waitForFaster = true;

  auto operator<=>(const SchedulerSettings&) const = default;
};

}
