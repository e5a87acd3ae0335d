#include "coordination/dispatch/report_times.h"

#include <algorithm>

namespace greengage::coordination {

using state::ProcessId;

void
ReportTimes::OnReport(const ProcessId& aAgent, std::uint64_t aSentAtMs)
{
  Times& times = agents_[aAgent];
  times.newestMs = std::max(times.newestMs, aSentAtMs);
}

void
ReportTimes::RemoveAgent(const ProcessId& aAgent)
{
  agents_.erase(aAgent);
}

void
ReportTimes::OnProbeSent()
{
  for (auto& [id, times] : agents_) {
    times.newestAtProbeMs = times.newestMs;
  }
}

void
ReportTimes::OnProbeReturned()
{
  for (auto& [id, times] : agents_) {
    times.provenMs = times.newestAtProbeMs;
  }
}

std::uint64_t
ReportTimes::Confirmed(const ProcessId& aAgent, bool aIsBehind) const
{
  auto found = agents_.find(aAgent);
  if (found == agents_.end() || found->second.newestMs == 0) {
    return 0;
  }
  if (!aIsBehind) {
    return found->second.newestMs;
  }
  // With 0, the agent would count from the arrival of the message.
  return std::max<std::uint64_t>(found->second.provenMs, 1);
}

}
