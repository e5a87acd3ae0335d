#pragma once

#include <string>

#include "coordination/dispatch/job_dispatcher.h"
#include "coordination/dispatch/run_keeper.h"

namespace greengage::daemon {

/** JSON for operators: jobs and servers as an entry sees them. */
std::string
DescribeDispatcher(const coordination::JobDispatcher& aDispatcher, bool aReady);

/** JSON for operators: the agent's server and its runs. */
std::string
DescribeKeeper(const coordination::RunKeeper& aKeeper);

/** Name of a condition for logs and operators. */
const char*
ToString(coordination::ServerCondition aCondition);

}
