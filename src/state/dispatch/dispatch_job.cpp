#include "state/dispatch/dispatch_job.h"

namespace greengage::state {

const char*
ToString(DispatchReason aReason)
{
  switch (aReason) {
    case DispatchReason::eNone:
      return "none";
    case DispatchReason::eAttemptsUsed:
      return "attempts_used";
    case DispatchReason::eTooLate:
      return "too_late";
    case DispatchReason::eOverload:
      return "overload";
    case DispatchReason::eImpossible:
      return "impossible";
    case DispatchReason::eServerLost:
      return "server_lost";
    case DispatchReason::eCrashedServers:
      return "crashed_servers";
    case DispatchReason::eNotConfigured:
      return "not_configured";
    case DispatchReason::eTooLarge:
      return "too_large";
    case DispatchReason::eUnsupported:
      return "unsupported";
    case DispatchReason::ePaused:
      return "paused";
    case DispatchReason::eStopping:
      return "stopping";
    case DispatchReason::eAbandoned:
      return "abandoned";
    case DispatchReason::eCancelled:
      return "cancelled";
    case DispatchReason::eOutcomeUnknown:
      return "outcome_unknown";
    case DispatchReason::eEvacuated:
      return "evacuated";
    case DispatchReason::eNoMemory:
      return "no_memory";
  }
  return "unknown";
}

const char*
ToString(DispatchResult aResult)
{
  switch (aResult) {
    case DispatchResult::eCompleted:
      return "completed";
    case DispatchResult::eFailed:
      return "failed";
    case DispatchResult::eRejected:
      return "rejected";
    case DispatchResult::eUnknownQueue:
      return "unknown_queue";
  }
  return "unknown";
}

}
