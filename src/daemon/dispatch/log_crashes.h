#pragma once

#include "coordination/dispatch/dispatch_records.h"

namespace greengage::daemon {

/** Logs a counted crash, and the job if it is given up. */
void
LogCrash(const coordination::TaskCrashRecord& aRecord);

/** Logs the begin or the end of the limit of a queue. */
void
LogQueueLimit(const coordination::QueueLimitRecord& aRecord);

}
