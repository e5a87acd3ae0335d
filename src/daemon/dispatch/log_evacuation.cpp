#include "daemon/dispatch/log_evacuation.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "transport/event_log.h"

namespace greengage::daemon {

void
LogEvacuation(const coordination::EvacuationChange& aChange)
{
  transport::LogEvent(
    transport::events::kEvacuationChanged,
    "data_centres={} before={} revision={} earlier_revision={} origin={}",
    transport::QuoteValue(
      fmt::format("{}", fmt::join(aChange.after.dataCentres, ","))),
    transport::QuoteValue(
      fmt::format("{}", fmt::join(aChange.before.dataCentres, ","))),
    aChange.after.revision,
    aChange.before.revision,
    aChange.from ? aChange.from->ToString() : std::string("store"));
}

}
