#include "transport/connection_guard.h"

#include <algorithm>

#include "transport/event_log.h"

namespace greengage::transport {

namespace {

constexpr std::chrono::seconds kReportPeriod{ 1 };

/** The equal share of a connection if all are open. */
std::size_t
OrdinaryBytes(const ConnectionLimits& aLimits)
{
  return aLimits.processBytes /
         std::max<std::size_t>(1,
                               aLimits.callerConnections +
                                 aLimits.serviceConnections +
                                 aLimits.peerConnections);
}

}

const char*
ToString(ConnectionLimit aLimit)
{
  switch (aLimit) {
    case ConnectionLimit::eProcessBytes:
      return "process_bytes";
    case ConnectionLimit::eConnectionBytes:
      return "connection_bytes";
    case ConnectionLimit::eHeaderBytes:
      return "header_bytes";
    case ConnectionLimit::eConnections:
      return "connections";
    case ConnectionLimit::ePeerConnections:
      return "peer_connections";
    case ConnectionLimit::eUnidentifiedPeer:
      break;
  }
  return "unidentified_peer";
}

ConnectionGuard::ConnectionGuard(const ConnectionLimits& aLimits)
  : limits_(aLimits)
  , bytes_(aLimits.processBytes, OrdinaryBytes(aLimits))
{
}

void
ConnectionGuard::LogLimits() const
{
  LogEvent(events::kConnectionLimits,
           "process_bytes={} connection_bytes={} callers={} services={} "
           "peers={}",
           limits_.processBytes,
           limits_.connectionBytes,
           limits_.callerConnections,
           limits_.serviceConnections,
           limits_.peerConnections);
}

void
ConnectionGuard::ReportLimited(ConnectionLimit aLimit,
                               const std::string& aAddress,
                               std::size_t aBytes)
{
  if (limitedHook_) {
    limitedHook_(aLimit);
  }
  std::uint64_t count = 0;
  {
    std::lock_guard lock(reportsMutex_);
    Report& report = reports_.at(static_cast<std::size_t>(aLimit));
    ++report.unreported;
    auto now = std::chrono::steady_clock::now();
    if (now - report.loggedAt < kReportPeriod) {
      return;
    }
    report.loggedAt = now;
    count = std::exchange(report.unreported, 0);
  }
  LogEvent(events::kConnectionLimited,
           "reason={} address={} bytes={} connections={} held_bytes={}",
           ToString(aLimit),
           aAddress,
           aBytes,
           count,
           bytes_.HeldBytes());
}

}
