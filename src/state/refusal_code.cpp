#include "state/refusal_code.h"

namespace greengage::state {

std::string_view
ToString(RefusalCode aCode)
{
  switch (aCode) {
    case RefusalCode::eNone:
      return "none";
    case RefusalCode::eBadRequest:
      return "bad_request";
    case RefusalCode::eJobIdExpired:
      return "job_id_expired";
    case RefusalCode::eJobIdInFuture:
      return "job_id_in_future";
    case RefusalCode::eJobIdConflict:
      return "job_id_conflict";
    case RefusalCode::eUnknownJob:
      return "unknown_job";
    case RefusalCode::eJobRunning:
      return "job_running";
    case RefusalCode::eUnknownTemplate:
      return "unknown_template";
    case RefusalCode::eUnknownOrganisation:
      return "unknown_organisation";
    case RefusalCode::eShardUnavailable:
      return "shard_unavailable";
    case RefusalCode::eNotOwner:
      return "not_owner";
    case RefusalCode::eNoWorkers:
      return "no_workers";
    case RefusalCode::eImpossibleRequirements:
      return "impossible_requirements";
    case RefusalCode::eDeadlineUnreachable:
      return "deadline_unreachable";
    case RefusalCode::eDeadlineExceeded:
      return "deadline_exceeded";
    case RefusalCode::eQueueFull:
      return "queue_full";
    case RefusalCode::eQuotaExceeded:
      return "quota_exceeded";
    case RefusalCode::eShuttingDown:
      return "shutting_down";
    case RefusalCode::eCancelled:
      return "cancelled";
    case RefusalCode::eTaskFailed:
      return "task_failed";
    case RefusalCode::eTaskTimeout:
      return "task_timeout";
    case RefusalCode::eBackendUnreachable:
      return "backend_unreachable";
    case RefusalCode::eOutcomeUnknown:
      return "outcome_unknown";
    case RefusalCode::eResultUnavailable:
      return "result_unavailable";
    case RefusalCode::eStaleToken:
      return "stale_token";
    case RefusalCode::eDraining:
      return "draining";
    case RefusalCode::eBusy:
      return "busy";
    case RefusalCode::eDuplicateStart:
      return "duplicate_start";
    case RefusalCode::eLogUnavailable:
      return "log_unavailable";
    case RefusalCode::eVersionConflict:
      return "version_conflict";
    case RefusalCode::eInternalError:
      return "internal_error";
  }
  return "internal_error";
}

}
