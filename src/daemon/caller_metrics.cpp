#include "daemon/caller_metrics.h"

#include <fmt/format.h>

namespace greengage::daemon {

using state::RefusalCode;
using transport::MetricLabel;

namespace {

constexpr const char* kRequestsName = "greengage_requests_total";
constexpr const char* kRequestsHelp = "Requests accepted from callers, by kind";
constexpr const char* kAnswersName = "greengage_answers_total";
constexpr const char* kAnswersHelp =
  "Answers to callers, by code; none means a complete answer";

}

CallerMetrics::CallerMetrics(transport::MetricsRegistry& aMetrics,
                             const state::Clock& aClock)
  : metrics_(aMetrics)
  , clock_(aClock)
  , jobRequests_(
      aMetrics.FindCounter({ kRequestsName, MetricLabel("kind", "job") },
                           kRequestsHelp))
  , controlRequests_(
      aMetrics.FindCounter({ kRequestsName, MetricLabel("kind", "control") },
                           kRequestsHelp))
  , completeAnswers_(
      aMetrics.FindCounter({ kAnswersName, MetricLabel("code", "none") },
                           kAnswersHelp))
  , lateAnswers_(aMetrics.FindCounter(
      { "greengage_late_answers_total", "" },
      "Answers of owners that arrived after the caller was answered"))
{
  answersByCode_[0] = &completeAnswers_;
  for (std::size_t i = 1; i < kCodeCount; ++i) {
    auto code = ToString(static_cast<RefusalCode>(i));
    answersByCode_[i] = &aMetrics.FindCounter(
      { kAnswersName, MetricLabel("code", code) }, kAnswersHelp);
  }
}

void
CallerMetrics::OnJobRequest(std::uint64_t aSubmission,
                            const std::string& aTemplate)
{
  jobRequests_.Add();
  pendingRequests_[aSubmission] = { aTemplate, clock_.MonotonicNow() };
}

void
CallerMetrics::OnControlRequest()
{
  controlRequests_.Add();
}

void
CallerMetrics::OnAnswer(std::uint64_t aSubmission,
                        const state::JobOutcome& aOutcome)
{
  OnRefused(aOutcome.code);
  auto request = pendingRequests_.extract(aSubmission);
  // Template names in incomplete answers may be unknown ones chosen by callers;
  // recording them would let the metrics grow without limit.
  if (request.empty() || !aOutcome.complete) {
    return;
  }
  metrics_
    .FindLatency({ "greengage_request_seconds",
                   MetricLabel("template", request.mapped().templateName) },
                 "Time from a job request to its complete answer; quantiles "
                 "over the last 10 s window")
    .Record(clock_.MonotonicNow() - request.mapped().submittedAt);
}

}
