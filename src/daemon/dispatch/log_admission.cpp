#include "daemon/dispatch/log_admission.h"

#include "transport/event_log.h"

namespace greengage::daemon {

using coordination::AdmissionDecision;
namespace events = transport::events;

namespace {

/** Converts millicore milliseconds to core milliseconds, and so on. */
constexpr double kMillicores = 1000;

const transport::EventKind&
EventOf(AdmissionDecision aDecision)
{
  switch (aDecision) {
    case AdmissionDecision::eRejected:
      return events::kAdmissionRejected;
    case AdmissionDecision::eWithdrawn:
      return events::kAdmissionWithdrawn;
    case AdmissionDecision::eAccepted:
      break;
  }
  return events::kAdmissionAccepted;
}

}

void
LogAdmission(const coordination::AdmissionRecord& aRecord)
{
  const coordination::AdmissionInputs& inputs = aRecord.inputs;
  transport::LogEvent(EventOf(aRecord.decision),
                      "job={} queue={} forecast_ms={:.0f} left_ms={:.0f} "
                      "waited_ms={:.0f} ahead_core_ms={:.0f} "
                      "own_core_ms={:.0f} cores={:.1f} urgent_cores={:.1f} "
                      "correction={:.2f} retry_ms={}",
                      aRecord.job.ToString(),
                      aRecord.queue,
                      aRecord.forecastMs,
                      inputs.timeLeftMs,
                      inputs.waitedMs,
                      inputs.workAhead / kMillicores,
                      inputs.ownWork / kMillicores,
                      inputs.capacity / kMillicores,
                      inputs.urgentArrivals / kMillicores,
                      inputs.correction,
                      aRecord.retryAfter.count());
}

}
