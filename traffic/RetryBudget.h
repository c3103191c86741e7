#pragma once

// Bounds retries to a share of the traffic, so that they never amplify a
// flood.

#include "base/Time.h"

#include <algorithm>

namespace jaydoor {

class RetryBudget
{
public:
  // Each first attempt earns a part of a retry.
  void RecordAttempt()
  {
    tokens_ = std::min(kMaxTokens, tokens_ + kRetriesPerAttempt);
  }

  // Takes one retry. False if the budget is spent.
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
  static constexpr double kMaxTokens = 100;         // retries saved up at most

  double tokens_ = kMaxTokens;
};

} // namespace jaydoor
