#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "state/job_id.h"
#include "state/refusal_code.h"

namespace greengage::state {

enum class TaskState : std::uint8_t
{
  /** Was certainly never started; the code gives the reason. */
  eNotStarted,
  eRunning,
  eSucceeded,
  /** Was started and failed, or its outcome cannot be determined. */
  eFailed,
};

/** An agent's record of one attempt to run a task. */
struct TaskRecord
{
  JobKey key;
  /** Index of the task in the job. */
  std::uint32_t task = 0;
  /**
   * Number of the attempt, starting at 0. A higher number is used only when all
   * earlier attempts certainly did not start, and for retries of idempotent
   * requests.
   */
  std::uint32_t attempt = 0;
  TaskState taskState = TaskState::eNotStarted;
  RefusalCode code = RefusalCode::eNone;
  /** JSON text of the result, or the reason for the failure. */
  std::string body;
  std::chrono::microseconds runTime{ 0 };

  bool operator==(const TaskRecord&) const = default;
};

}
