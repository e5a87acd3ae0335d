#pragma once

#include <chrono>
#include <optional>

#include "state/clock.h"
#include "state/dispatch/resource_amount.h"

namespace greengage::coordination {

/**
 * The time in which a cold server gets increasing load after the end of an
 * evacuation, because its runs are slow while it warms up.
 */
struct ColdRamp
{
  state::MonotonicTime beganAt;
  state::MonotonicTime endsAt;

  auto operator<=>(const ColdRamp&) const = default;
};

/**
 * Returns the ramp of a server that becomes available now.
 * @param aColdLeft time for which the server remains slow; empty if 0
 */
std::optional<ColdRamp>
RampOf(std::chrono::milliseconds aColdLeft, state::MonotonicTime aNow);

/**
 * Returns the part of the capacity that runs may not use yet: at first three
 * quarters of the cores, at the end of the ramp none.
 */
state::ResourceAmount
WithheldCapacity(const ColdRamp& aRamp,
                 const state::ResourceAmount& aCapacity,
                 state::MonotonicTime aNow);

}
