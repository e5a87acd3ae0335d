#pragma once

#include <cstddef>

#include "state/dispatch/dispatch_job.h"

namespace greengage::state {

/** Returns the memory of the texts and lists that a job owns. */
std::size_t
OwnedMemory(const DispatchJob& aJob);

}
