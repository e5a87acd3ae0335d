#pragma once

#include <cstdint>
#include <string_view>

namespace greengage::state {

/**
 * Stable codes of everything that can end a request other than success. The
 * text form is part of the interface to callers and names the counters.
 */
enum class RefusalCode : std::uint16_t
{
  eNone,
  eBadRequest,
  eJobIdExpired,
  eJobIdInFuture,
  eJobIdConflict,
  eUnknownJob,
  eJobRunning,
  eUnknownTemplate,
  eUnknownOrganisation,
  eShardUnavailable,
  eNotOwner,
  eNoWorkers,
  eImpossibleRequirements,
  eDeadlineUnreachable,
  eDeadlineExceeded,
  eQueueFull,
  eQuotaExceeded,
  eShuttingDown,
  eCancelled,
  eTaskFailed,
  eTaskTimeout,
  eBackendUnreachable,
  eOutcomeUnknown,
  eResultUnavailable,
  eStaleToken,
  eDraining,
  eBusy,
  eDuplicateStart,
  eLogUnavailable,
  eVersionConflict,
  eInternalError,
  eLast = eInternalError,
};

/** Lower-case text with underscores, for example `deadline_unreachable`. */
std::string_view
ToString(RefusalCode aCode);

}
