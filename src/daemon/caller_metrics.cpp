#include "daemon/caller_metrics.h"

#include <fmt/format.h>

namespace greengage::daemon {

using state::RefusalCode;
using transport::MetricLabel;

namespace {

constexpr const char* kRequests = "greengage_requests_total";
constexpr const char* kRequestsHelp = "Requests of callers taken in, by kind";
constexpr const char* kAnswers = "greengage_answers_total";
constexpr const char* kAnswersHelp =
  "Answers to callers by code; none is a complete answer";

}

CallerMetrics::CallerMetrics(transport::MetricsRegistry& aMetrics,
                             const state::Clock& aClock)
  : metrics_(aMetrics)
  , clock_(aClock)
  , jobRequests_(aMetrics.FindCounter({ kRequests, MetricLabel("kind", "job") },
                                      kRequestsHelp))
  , controlRequests_(
      aMetrics.FindCounter({ kRequests, MetricLabel("kind", "control") },
                           kRequestsHelp))
  , complete_(aMetrics.FindCounter({ kAnswers, MetricLabel("code", "none") },
                                   kAnswersHelp))
  , lateAnswers_(aMetrics.FindCounter(
      { "greengage_late_answers_total", "" },
      "Answers of owners that came after the caller was answered"))
{
  refused_[0] = &complete_;
  for (std::size_t i = 1; i < kCodes; ++i) {
    auto code = ToString(static_cast<RefusalCode>(i));
    refused_[i] = &aMetrics.FindCounter({ kAnswers, MetricLabel("code", code) },
                                        kAnswersHelp);
  }
}

void
CallerMetrics::OnJobRequest(std::uint64_t aSubmission,
                            const std::string& aTemplate)
{
  jobRequests_.Add();
  requests_[aSubmission] = { aTemplate, clock_.MonotonicNow() };
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
  auto request = requests_.extract(aSubmission);
  // Names of callers that no operator published would grow the table.
  if (request.empty() || !aOutcome.complete) {
    return;
  }
  metrics_
    .FindLatency({ "greengage_request_seconds",
                   MetricLabel("template", request.mapped().templateName) },
                 "Time from a job request to its complete answer; quantiles "
                 "over the last 10 s window")
    .Record(clock_.MonotonicNow() - request.mapped().since);
}

}
