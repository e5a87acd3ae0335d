#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "state/refusal_code.h"

namespace greengage::state {

/** Whether any task of a job was started. */
enum class RunState : std::uint8_t
{
  eNotRun,
  eRan,
  eUnknown,
};

/**
 * Final outcome of a job: complete with one result per task, or failed. There
 * are no partial results.
 */
struct JobOutcome
{
  bool complete = false;
  /** One JSON text per task, in task order; empty unless complete. */
  std::vector<std::string> results;
  /** Why the job failed; eNone if complete. */
  RefusalCode code = RefusalCode::eNone;
  RunState run = RunState::eNotRun;
  std::string message;
  /** Time after which a retry may succeed; zero if a retry cannot help. */
  std::chrono::milliseconds retryAfter{ 0 };

  bool operator==(const JobOutcome&) const = default;

  static JobOutcome Complete(std::vector<std::string> aResults)
  {
    JobOutcome outcome;
    outcome.complete = true;
    outcome.results = std::move(aResults);
    outcome.run = RunState::eRan;
    return outcome;
  }

  static JobOutcome Failed(RefusalCode aCode,
                           RunState aRun,
                           std::string aMessage,
                           std::chrono::milliseconds aRetryAfter = {})
  {
    JobOutcome outcome;
    outcome.code = aCode;
    outcome.run = aRun;
    outcome.message = std::move(aMessage);
    outcome.retryAfter = aRetryAfter;
    return outcome;
  }
};

}
