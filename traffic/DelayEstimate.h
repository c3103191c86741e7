#pragma once

// Estimates the delay of messages from another VM without a common clock.
//
// The smallest difference seen between receive time and send time, each by its
// own VM's clock, stands for a message with hardly any delay. The excess of a
// later message over this difference is its delay, which the receiver deducts
// from the time that the message has left until its deadline.

#include "base/Time.h"

#include <algorithm>

namespace jaydoor {

class DelayEstimate
{
public:
  // Records a message and returns its delay beyond that of the fastest message
  // seen so far. `aSentUs`: microseconds by the sender's clock.
  Duration RecordArrival(std::int64_t aSentUs, Time aReceivedAt)
  {
    const Duration difference =
      aReceivedAt.time_since_epoch() - Duration(aSentUs);
    if (!known_ || difference < leastDifference_) {
      leastDifference_ = difference;
      known_ = true;
    }
    return difference - leastDifference_;
  }

private:
  Duration leastDifference_{}; // smallest receive time minus send time
  bool known_ = false;         // a message has been recorded
};

} // namespace jaydoor
