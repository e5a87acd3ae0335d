#pragma once

namespace greengage::coordination {

/**
 * Token bucket that keeps retries and hedges to a share of the started
 * requests, so that retries cannot multiply an overload.
 */
class RetryBudget
{
public:
  /** A start of a request that is not itself a retry. */
  void OnStart();

  /** Takes the right to one retry; false if the budget is used up. */
  bool TryTake();

private:
  static constexpr double kRetriesPerStart = 0.1;
  // Without a reserve the first requests after a takeover could not be
  // retried at all.
  static constexpr double kInitialRetries = 10.0;
  // Bounds the burst that a long quiet time allows.
  static constexpr double kMaxRetries = 1000.0;

  double retries_ = kInitialRetries;
};

}
