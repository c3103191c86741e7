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
  Duration Note(std::int64_t aSentUs, Time aReceived)
  {
    const Duration difference =
      aReceived.time_since_epoch() - Duration(aSentUs);
    if (!known_ || difference < least_) {
      least_ = difference;
      known_ = true;
    }
    return difference - least_;
  }

private:
  Duration least_{};
  bool known_ = false;
};

} // namespace jaydoor
