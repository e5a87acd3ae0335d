#include "coordination/execution/retry_budget.h"

#include <algorithm>

namespace greengage::coordination {

void
RetryBudget::OnStart()
{
  availableRetries_ =
    std::min(availableRetries_ + kRetriesPerStart, kMaxRetries);
}

bool
RetryBudget::TryConsume()
{
  if (availableRetries_ < 1.0) {
    return false;
  }
  availableRetries_ -= 1.0;
  return true;
}

}
