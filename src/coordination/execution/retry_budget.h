#pragma once

namespace greengage::coordination {

/**
 * Token bucket that limits retries and hedges to a share of the started
 * requests, so that retries cannot multiply the load of an overload.
 */
class RetryBudget
{
public:
  /** Adds to the budget for a started request that is not a retry. */
  void OnStart();

  /** Consumes one retry; returns false if the budget is exhausted. */
  bool TryConsume();

private:
  static constexpr double kRetriesPerStart = 0.1;
  // Without it the first requests after a change of owner could not be
  // retried.
  static constexpr double kInitialRetries = 10.0;
  // Limits the burst of retries after a long time without retries.
  static constexpr double kMaxRetries = 1000.0;

  double availableRetries_ = kInitialRetries;
};

}
