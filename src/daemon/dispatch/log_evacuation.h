#pragma once

#include "coordination/evacuation/evacuation_change.h"

namespace greengage::daemon {

/** Logs that the set of evacuated data centres has changed at this process. */
void
LogEvacuation(const coordination::EvacuationChange& aChange);

}
