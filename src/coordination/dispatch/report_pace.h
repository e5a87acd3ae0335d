#pragma once

#include <chrono>
#include <cstddef>

namespace greengage::coordination {

/** Room reports go to entries of the same data centre this often at most. */
inline constexpr std::chrono::milliseconds kShortestReportPeriod{ 25 };
/**
 * Agents of other data centres report once in this many periods, because
 * bytes between data centres are paid for.
 */
inline constexpr int kFarReportPeriods = 4;

/**
 * How often an entry wants agents of its data centre to report their room, so
 * that reports take a bounded part of its processor however many agents there
 * are.
 * @param aProcessorShare cores that the entry may use; 0: not known
 */
std::chrono::milliseconds
ReportPeriod(double aProcessorShare,
             std::size_t aNearAgents,
             std::size_t aFarAgents);

}
