#pragma once

// Estimates how long a message was on its way, without a common clock.
//
// The smallest difference seen between the receiver's and the sender's clock
// stands for a message that was hardly delayed; what a later message takes
// beyond it is time that its deadline has lost.

#include "base/Time.h"

#include <algorithm>

namespace jaydoor {

class DelayEstimate
{
public:
  // Returns the delay beyond the quickest message seen.
  Duration RecordArrival(std::int64_t aSentUs, Time aReceived)
  {
    const Duration difference =
      aReceived.time_since_epoch() - Duration(aSentUs);
    if (!known_ || difference < leastDifference_) {
      leastDifference_ = difference;
      known_ = true;
    }
    return difference - leastDifference_;
  }

private:
  Duration leastDifference_{};
  bool known_ = false;
};

} // namespace jaydoor
