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
 * Metrics of an entry about its callers: requests, answers, refusals by reason
 * and latency per template. Used on the control thread except where stated.
 */
class CallerMetrics
{
public:
  CallerMetrics(transport::MetricsRegistry& aMetrics,
                const state::Clock& aClock);

  /** Counts a job request that was accepted under this submission number. */
  void OnJobRequest(std::uint64_t aSubmission, const std::string& aTemplate);

  /** Counts an accepted query or cancellation. */
  void OnControlRequest();

  /** Counts the answer that is sent to the caller of a submission. */
  void OnAnswer(std::uint64_t aSubmission, const state::JobOutcome& aOutcome);

  /** Counts an answer for a submission that was already answered. */
  void OnLateAnswer() { lateAnswers_.Add(); }

  /** Counts a request refused before its submission; any thread. */
  void OnRefused(state::RefusalCode aCode)
  {
    answersByCode_[Index(aCode)]->Add();
  }

private:
  struct Request
  {
    std::string templateName;
    state::MonotonicTime submittedAt;
  };

  static constexpr std::size_t Index(state::RefusalCode aCode)
  {
    return static_cast<std::size_t>(aCode);
  }
  static constexpr std::size_t kCodeCount =
    static_cast<std::size_t>(state::RefusalCode::eLast) + 1;

  transport::MetricsRegistry& metrics_;
  const state::Clock& clock_;
  transport::Counter& jobRequests_;
  transport::Counter& controlRequests_;
  transport::Counter& completeAnswers_;
  transport::Counter& lateAnswers_;
  std::array<transport::Counter*, kCodeCount> answersByCode_{};
  std::map<std::uint64_t, Request> pendingRequests_;
};

}
