#include "coordination/dispatch/report_period.h"

#include <algorithm>
#include <cmath>

namespace greengage::coordination {

namespace {

/** Share of the entry's processor time that reports may take. */
constexpr double kReportShare = 0.15;
/** Processor time to handle one report and place the tasks it allows. */
constexpr double kReportCostMs = 0.03;
/** With a longer period, free capacity would be stale for short tasks. */
constexpr std::chrono::milliseconds kLongestReportPeriod{ 250 };
constexpr double kMsPerSecond = 1000;

}

std::chrono::milliseconds
ReportPeriod(double aProcessorCores,
             std::size_t aLocalAgents,
             std::size_t aRemoteAgents)
{
  if (aProcessorCores <= 0) {
    return kShortestReportPeriod;
  }
  double reportsPerSecond =
    aProcessorCores * kReportShare * kMsPerSecond / kReportCostMs;
  double reportsPerPeriod =
    static_cast<double>(aLocalAgents) +
    static_cast<double>(aRemoteAgents) / kRemoteReportPeriods;
  auto period = std::chrono::milliseconds(static_cast<std::int64_t>(
    std::ceil(reportsPerPeriod / reportsPerSecond * kMsPerSecond)));
  return std::clamp(period, kShortestReportPeriod, kLongestReportPeriod);
}

}
