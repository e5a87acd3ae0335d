#include "coordination/dispatch/order_contact.h"

#include <algorithm>

namespace greengage::coordination {

using state::MonotonicTime;
using std::chrono::milliseconds;

milliseconds
OrderContact::Age(MonotonicTime aNow) const
{
  return std::chrono::duration_cast<milliseconds>(aNow - confirmedAt);
}

bool
OrderContact::AllowsStart(MonotonicTime aNow,
                          MonotonicTime aPauseEndedAt,
                          bool aHasJustPaused) const
{
  if (!isProven) {
    return !aHasJustPaused;
  }
  return Age(aNow) <= kMaxOrderAge && confirmedAt >= aPauseEndedAt;
}

std::uint64_t
ToReportTime(MonotonicTime aTime)
{
  auto sinceEpoch =
    std::chrono::duration_cast<milliseconds>(aTime.time_since_epoch());
  return static_cast<std::uint64_t>(
    std::max<milliseconds::rep>(sinceEpoch.count(), 1));
}

OrderContact
ContactOf(const DispatchOrders& aOrders, MonotonicTime aArrivedAt)
{
  // A time after the arrival was not sent by this agent.
  bool isProven = aOrders.confirmedAtMs != 0 &&
                  aOrders.confirmedAtMs <= ToReportTime(aArrivedAt);
  if (!isProven) {
    return { aArrivedAt, false };
  }
  return { MonotonicTime(milliseconds(aOrders.confirmedAtMs)), true };
}

}
