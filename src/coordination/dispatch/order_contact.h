#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

#include "coordination/dispatch/dispatch_messages.h"
#include "state/clock.h"

namespace greengage::coordination {

/**
 * Maximum age of a start order. A caller submits a job again 1,300 ms after a
 * broken attempt at the earliest; a start that is at most this old is stopped
 * or loses its lease before that. It covers the heartbeat interval of 150 ms,
 * a tick and the transfer between data centres.
 */
constexpr std::chrono::milliseconds kMaxOrderAge{ 300 };

/**
 * How recent the orders of an entry are, on the clock of the agent that
 * received them. The entry returns the time of the newest report that it has
 * received from the agent, so the orders were sent after that time, however
 * long they were delayed. No clocks of two hosts are compared.
 */
struct OrderContact
{
  /** The orders were sent after this time. */
  state::MonotonicTime confirmedAt;
  /**
   * False if the entry returned no time, because it or this agent's report was
   * of the previous version. The time of arrival is used instead.
   */
  bool isProven = false;

  auto operator<=>(const OrderContact&) const = default;

  std::chrono::milliseconds Age(state::MonotonicTime aNow) const;
  /**
   * Returns true if runs may be started: the orders are at most kMaxOrderAge
   * old and were sent after the end of the agent's last pause.
   * @param aHasJustPaused used for orders without a proven time only
   */
  bool AllowsStart(state::MonotonicTime aNow,
                   state::MonotonicTime aPauseEndedAt,
                   bool aHasJustPaused) const;
};

/** Returns the time for ServerReport::sentAtMs; it is never 0. */
std::uint64_t
ToReportTime(state::MonotonicTime aTime);

OrderContact
ContactOf(const DispatchOrders& aOrders, state::MonotonicTime aArrivedAt);

}
