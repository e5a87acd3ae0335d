#include "coordination/admission/retry_delay.h"

#include <algorithm>
#include <cmath>

namespace greengage::coordination {

namespace {

/** Callers read whole seconds, so less than one cannot be stated. */
constexpr double kMinDelayMs = 1000;
/**
 * Limit of the spread. Bursts last for seconds, and callers wait for at most
 * 9 s in all.
 */
constexpr double kMaxSpreadMs = 3000;

/** Returns a number from 0 to 1 that is the same in each process. */
double
HashOf(const state::DispatchJobId& aJob)
{
  // Finalizer of SplitMix64: neighbouring ids get unrelated values.
  std::uint64_t value = aJob.Number() + 0x9e3779b97f4a7c15;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  value ^= value >> 31;
  return std::ldexp(static_cast<double>(value >> 11), -53);
}

}

std::chrono::milliseconds
RetryDelay(const RetryInputs& aInputs)
{
  double spread = std::clamp(
    aInputs.excessMs + aInputs.rejectedMs, kMinDelayMs, kMaxSpreadMs);
  double delay = kMinDelayMs + HashOf(aInputs.job) * spread - aInputs.waitedMs;
  double seconds = std::floor(std::max(delay, kMinDelayMs) / 1000);
  return std::chrono::seconds(static_cast<std::int64_t>(seconds));
}

}
