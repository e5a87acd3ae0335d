#pragma once

#include <cstdint>
#include <string_view>

namespace greengage::state {

/**
 * Stable codes for every outcome of a request other than success. The text form
 * is part of the interface to callers and is used in metrics.
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

/** Returns lower-case text, for example `deadline_unreachable`. */
std::string_view
ToString(RefusalCode aCode);

}
