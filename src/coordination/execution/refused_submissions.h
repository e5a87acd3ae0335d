#pragma once

#include <deque>
#include <map>
#include <optional>

#include "coordination/execution/job_table.h"
#include "state/job_outcome.h"

namespace greengage::coordination {

/**
 * The latest submissions that were answered with "not run". A copy of such a
 * submission that arrives later must be refused as well.
 */
class RefusedSubmissions
{
public:
  void Add(const Requester& aRequester, const state::JobOutcome& aOutcome);

  /** Returns the earlier refusal without its message, or empty. */
  std::optional<state::JobOutcome> Find(const Requester& aRequester) const;

private:
  struct Refusal
  {
    state::RefusalCode code = state::RefusalCode::eNone;
    std::chrono::milliseconds retryAfter{ 0 };
  };

  // About 8 MB. Copies occur only when a connection is replaced, so only the
  // latest submissions are needed.
  static constexpr std::size_t kMaxRefusals = 65'536;

  std::map<Requester, Refusal> refusals_;
  std::deque<Requester> order_;
};

}
