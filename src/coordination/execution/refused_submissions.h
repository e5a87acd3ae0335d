#pragma once

#include <deque>
#include <map>
#include <optional>

#include "coordination/execution/job_table.h"
#include "state/job_outcome.h"

namespace greengage::coordination {

/**
 * The latest submissions that were answered "not run". A copy of such a
 * submission that arrives later must not be accepted after all.
 */
class RefusedSubmissions
{
public:
  void Add(const Requester& aRequester, const state::JobOutcome& aOutcome);

  /** The earlier refusal, without its message; empty if there was none. */
  std::optional<state::JobOutcome> Find(const Requester& aRequester) const;

private:
  struct Refusal
  {
    state::RefusalCode code = state::RefusalCode::eNone;
    std::chrono::milliseconds retryAfter{ 0 };
  };

  // About 8 MB. Copies arise only when a connection is replaced, so the latest
  // submissions are the ones that matter.
  static constexpr std::size_t kMaxRefusals = 65'536;

  std::map<Requester, Refusal> refusals_;
  std::deque<Requester> order_;
};

}
