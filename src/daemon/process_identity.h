#pragma once

#include "state/job_id.h"
#include "state/process_id.h"

namespace greengage::daemon {

/** Returns a new random process identity. */
state::ProcessId
CreateProcessId();

/** Returns a new job ID, for requests without one. */
state::JobId
CreateJobId(state::WallTime aNow);

}
