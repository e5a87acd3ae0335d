#pragma once

#include <optional>

#include "state/dispatch/evacuation_state.h"
#include "state/process_id.h"

namespace greengage::coordination {

/** Record of a changed set of evacuated data centres, for the log. */
struct EvacuationChange
{
  state::EvacuationState before;
  state::EvacuationState after;
  /** Process from which the state came; empty: the operator's log. */
  std::optional<state::ProcessId> from;

  auto operator<=>(const EvacuationChange&) const = default;
};

}
