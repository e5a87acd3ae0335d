#pragma once

#include <array>
#include <cstdint>

#include "state/refusal_code.h"

namespace greengage::coordination {

/** Number of events per refusal code. */
class RefusalCounts
{
public:
  void Add(state::RefusalCode aCode) { ++counts_[Index(aCode)]; }
  std::uint64_t Of(state::RefusalCode aCode) const
  {
    return counts_[Index(aCode)];
  }

  auto operator<=>(const RefusalCounts&) const = default;

private:
  static std::size_t Index(state::RefusalCode aCode)
  {
    return static_cast<std::size_t>(aCode);
  }

  std::array<std::uint64_t,
             static_cast<std::size_t>(state::RefusalCode::eLast) + 1>
    counts_{};
};

/** Events of a JobOwner since its process started. */
struct OwnerCounters
{
  /** Task starts sent to agents. */
  std::uint64_t starts = 0;
  /** Answers with a failure, by code. */
  RefusalCounts refusals;
  /** Starts that agents refused, by code (wasted messages). */
  RefusalCounts refusedStarts;
  /** Task starts that an agent had already received (wasted messages). */
  std::uint64_t duplicateStarts = 0;
  /** Results for unknown or ended tasks (wasted messages). */
  std::uint64_t lateResults = 0;
  /** History replies that match no open query (wasted messages). */
  std::uint64_t lateHistoryReplies = 0;
  /** Retries of idempotent requests, by reason. */
  std::uint64_t retriesAfterFailure = 0;
  std::uint64_t retriesAfterAgentLoss = 0;
  std::uint64_t hedges = 0;
  /** Retries and hedges that exceeded the retry budget. */
  std::uint64_t retriesOverBudget = 0;
  /** Attempts that replace one that an agent did not start. */
  std::uint64_t moves = 0;
  /** Jobs whose history was collected from the agents. */
  std::uint64_t recoveries = 0;
  /** Ended jobs that were dropped early to limit memory. */
  std::uint64_t droppedJobs = 0;

  auto operator<=>(const OwnerCounters&) const = default;
};

}
