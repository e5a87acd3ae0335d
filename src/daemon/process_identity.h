#pragma once

#include "state/job_id.h"
#include "state/process_id.h"

namespace greengage::daemon {

/** A random identity for this run of the process. */
state::ProcessId
CreateProcessId();

/** A job ID created now, for callers that give none. */
state::JobId
CreateJobId(state::WallTime aNow);

}
