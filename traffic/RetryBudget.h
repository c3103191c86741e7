#pragma once

// Limits retries to a share of the first attempts, so that retries never
// amplify an overload.

#include "base/Time.h"

#include <algorithm>

namespace jaydoor {

class RetryBudget
{
public:
  // Records a first attempt, which adds a fraction of a retry to the budget.
  void RecordAttempt()
  {
    tokens_ = std::min(kMaxTokens, tokens_ + kRetriesPerAttempt);
  }

  // Deducts one retry from the budget. False if less than one is left.
  bool TrySpendRetry()
  {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

private:
  static constexpr double kRetriesPerAttempt = 0.2; // retries per first attempt
  static constexpr double kMaxTokens = 100;         // most retries kept

  double tokens_ = kMaxTokens; // retries left
};

} // namespace jaydoor
