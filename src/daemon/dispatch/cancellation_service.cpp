#include "daemon/dispatch/cancellation_service.h"

#include <utility>

#include "transport/event_log.h"

namespace greengage::daemon {

using namespace coordination;
using state::ProcessId;
using transport::LogEvent;
using transport::MetricLabel;
namespace events = transport::events;

CancellationService::CancellationService(PeerNode& aPeers,
                                         const state::Clock& aClock,
                                         CancelledJobs& aJobs,
                                         transport::MetricsRegistry& aMetrics,
                                         std::function<void()> aCaughtUp)
  : jobs_(aJobs)
  , metrics_(aMetrics)
  , caughtUp_(std::move(aCaughtUp))
  , exchange_(aClock, aJobs, MakeHooks(aPeers))
{
}

CancellationHooks
CancellationService::MakeHooks(PeerNode& aPeers)
{
  CancellationHooks hooks;
  hooks.send = [&aPeers](const ProcessId& aEntry, const EntryNews& aNews) {
    aPeers.Send(aEntry, aNews);
  };
  hooks.answered = [this](const CancellationRecord& aRecord) {
    OnAnswered(aRecord);
  };
  hooks.caughtUp = [this](const CatchUpRecord& aRecord) {
    OnCaughtUp(aRecord);
  };
  return hooks;
}

void
CancellationService::Cancel(state::DispatchJobId aJob,
                            bool aIsHere,
                            std::function<void(CancelAnswer)> aAnswer)
{
  auto answer = aIsHere ? CancelAnswer::eCancelled : CancelAnswer::eNotHere;
  exchange_.Cancel(
    aJob, [answer, send = std::move(aAnswer)](CancellationResult aResult) {
      send(aResult == CancellationResult::eUnconfirmed
             ? CancelAnswer::eUnconfirmed
             : answer);
    });
}

void
CancellationService::OnAnswered(const CancellationRecord& aRecord)
{
  metrics_
    .FindCounter({ "greengage_cancellations_total",
                   MetricLabel("result", ToString(aRecord.result)) },
                 "Cancellations that were answered, by how many other entries "
                 "have recorded them")
    .Add();
  metrics_
    .FindLatency({ "greengage_cancellation_seconds", "" },
                 "Time from a cancellation to its answer")
    .Record(aRecord.waited);
  LogEvent(aRecord.result == CancellationResult::eUnconfirmed
             ? events::kCancellationUnconfirmed
             : events::kCancellationAnswered,
           "job={} result={} waited_ms={} entries={} confirmed={}",
           aRecord.job.ToString(),
           ToString(aRecord.result),
           aRecord.waited.count(),
           aRecord.entries,
           aRecord.confirmed);
}

void
CancellationService::OnCaughtUp(const CatchUpRecord& aRecord)
{
  metrics_
    .FindGauge({ "greengage_cancelled_jobs", "" },
               "Cancelled jobs that this entry knows, when it last caught up")
    .Set(static_cast<double>(jobs_.Count()));
  LogEvent(events::kCancellationsCaughtUp,
           "reason={} waited_ms={} asked={} answered={} complete={} known={}",
           ToString(aRecord.reason),
           aRecord.waited.count(),
           aRecord.asked,
           aRecord.answered,
           aRecord.isComplete,
           jobs_.Count());
  caughtUp_();
}

}
