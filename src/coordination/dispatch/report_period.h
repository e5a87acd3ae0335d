#pragma once

#include <chrono>
#include <cstddef>

namespace greengage::coordination {

/** Shortest interval of capacity reports within a data centre. */
inline constexpr std::chrono::milliseconds kShortestReportPeriod{ 25 };
/**
 * Agents in other data centres report once in this many periods, because
 * traffic between data centres is paid for.
 */
inline constexpr int kRemoteReportPeriods = 4;

/**
 * Returns the interval at which agents in the data centre of an entry should
 * report their free capacity. It limits the share of the entry's processor time
 * that reports take, for any number of agents.
 * @param aProcessorCores number of cores that the entry may use; 0: unknown
 */
std::chrono::milliseconds
ReportPeriod(double aProcessorCores,
             std::size_t aLocalAgents,
             std::size_t aRemoteAgents);

}
