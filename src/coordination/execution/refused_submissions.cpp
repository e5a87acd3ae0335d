#include "coordination/execution/refused_submissions.h"

namespace greengage::coordination {

void
RefusedSubmissions::Add(const Requester& aRequester,
                        const state::JobOutcome& aOutcome)
{
  auto [entry, isNew] = refusals_.try_emplace(
    aRequester, Refusal{ aOutcome.code, aOutcome.retryAfter });
  if (!isNew) {
    return;
  }
  order_.push_back(aRequester);
  if (order_.size() > kMaxRefusals) {
    refusals_.erase(order_.front());
    order_.pop_front();
  }
}

std::optional<state::JobOutcome>
RefusedSubmissions::Find(const Requester& aRequester) const
{
  auto refusal = refusals_.find(aRequester);
  if (refusal == refusals_.end()) {
    return std::nullopt;
  }
  return state::JobOutcome::Failed(
    refusal->second.code,
    state::RunState::eNotRun,
    "an earlier copy of the submission was refused",
    refusal->second.retryAfter);
}

}
