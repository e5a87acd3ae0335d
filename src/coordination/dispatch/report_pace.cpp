#include "coordination/dispatch/report_pace.h"

#include <algorithm>
#include <cmath>

namespace greengage::coordination {

namespace {

/** Part of the processor that reports may take. */
constexpr double kReportShare = 0.15;
/** Processor time to read one report and look for work that it allows. */
constexpr double kReportCostMs = 0.03;
/** Beyond this, what an entry knows of room is of no use for short tasks. */
constexpr std::chrono::milliseconds kLongestReportPeriod{ 250 };
constexpr double kMsPerSecond = 1000;

}

std::chrono::milliseconds
ReportPeriod(double aProcessorShare,
             std::size_t aNearAgents,
             std::size_t aFarAgents)
{
  if (aProcessorShare <= 0) {
    return kShortestReportPeriod;
  }
  double reportsPerSecond =
    aProcessorShare * kReportShare * kMsPerSecond / kReportCostMs;
  double reportsPerPeriod = static_cast<double>(aNearAgents) +
                            static_cast<double>(aFarAgents) / kFarReportPeriods;
  auto period = std::chrono::milliseconds(static_cast<std::int64_t>(
    std::ceil(reportsPerPeriod / reportsPerSecond * kMsPerSecond)));
  return std::clamp(period, kShortestReportPeriod, kLongestReportPeriod);
}

}
