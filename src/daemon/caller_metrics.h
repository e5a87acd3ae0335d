#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "state/clock.h"
#include "state/job_outcome.h"
#include "transport/metrics.h"

namespace greengage::daemon {

/**
 * Figures of an entry about its callers: requests, answers, refusals by reason
 * and latency per template. Used by the control thread except where stated.
 */
class CallerMetrics
{
public:
  CallerMetrics(transport::MetricsRegistry& aMetrics,
                const state::Clock& aClock);

  /** A job request was taken in under this submission number. */
  void OnJobRequest(std::uint64_t aSubmission, const std::string& aTemplate);

  /** A query or cancellation was taken in. */
  void OnControlRequest();

  /** The caller of this submission gets this answer. */
  void OnAnswer(std::uint64_t aSubmission, const state::JobOutcome& aOutcome);

  /** An answer came for a submission that was answered before. */
  void OnLateAnswer() { lateAnswers_.Add(); }

  /** A request was refused before it became a submission; any thread. */
  void OnRefused(state::RefusalCode aCode) { refused_[Index(aCode)]->Add(); }

private:
  struct Request
  {
    std::string templateName;
    state::MonotonicTime since;
  };

  static constexpr std::size_t Index(state::RefusalCode aCode)
  {
    return static_cast<std::size_t>(aCode);
  }
  static constexpr std::size_t kCodes =
    static_cast<std::size_t>(state::RefusalCode::eLast) + 1;

  transport::MetricsRegistry& metrics_;
  const state::Clock& clock_;
  transport::Counter& jobRequests_;
  transport::Counter& controlRequests_;
  transport::Counter& complete_;
  transport::Counter& lateAnswers_;
  std::array<transport::Counter*, kCodes> refused_{};
  std::map<std::uint64_t, Request> requests_;
};

}
