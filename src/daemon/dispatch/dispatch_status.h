#pragma once

#include <functional>
#include <string>

#include "coordination/dispatch/job_dispatcher.h"
#include "coordination/dispatch/run_controller.h"
#include "daemon/status_server.h"
#include "transport/control_thread.h"
#include "transport/metrics.h"

namespace greengage::daemon {

/** Returns JSON for operators: the jobs and servers known to an entry. */
std::string
DescribeDispatcher(const coordination::JobDispatcher& aDispatcher,
                   const state::EvacuationState& aEvacuation,
                   bool aReady);

/** Returns JSON for operators: the server of an agent and its runs. */
std::string
DescribeRunController(const coordination::RunController& aController);

/**
 * Returns hooks that serve the metrics and a description of the process.
 * @param aDescribe returns the description; runs on the control thread
 */
StatusServerHooks
MakeStatusHooks(transport::ControlThread& aControl,
                const transport::MetricsRegistry& aMetrics,
                std::function<std::string()> aDescribe);

/** Returns the name of a condition for logs and operators. */
const char*
ToString(coordination::ServerCondition aCondition);

}
