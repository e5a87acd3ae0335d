#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "state/job_id.h"
#include "state/refusal_code.h"

namespace greengage::state {

enum class TaskState : std::uint8_t
{
  /** Certainly never started; the code tells why. */
  eNotStarted,
  eRunning,
  eSucceeded,
  /** Started and failed, or its outcome cannot be known. */
  eFailed,
};

/** What an agent knows of one task that it was asked to start. */
struct TaskRecord
{
  JobKey key;
  std::uint32_t task = 0;
  /**
   * 0 for the first start. A later number follows when all earlier attempts
   * certainly did not start, and for retries of idempotent requests.
   */
  std::uint32_t attempt = 0;
  TaskState taskState = TaskState::eNotStarted;
  RefusalCode code = RefusalCode::eNone;
  /** JSON text of the result, or the reason of the failure. */
  std::string body;
  std::chrono::microseconds runTime{ 0 };

  bool operator==(const TaskRecord&) const = default;
};

}
