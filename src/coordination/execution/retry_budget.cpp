#include "coordination/execution/retry_budget.h"

#include <algorithm>

namespace greengage::coordination {

void
RetryBudget::OnStart()
{
  retries_ = std::min(retries_ + kRetriesPerStart, kMaxRetries);
}

bool
RetryBudget::TryTake()
{
  if (retries_ < 1.0) {
    return false;
  }
  retries_ -= 1.0;
  return true;
}

}
