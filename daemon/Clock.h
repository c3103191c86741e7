#pragma once

// The only place where the shells read a clock for decision code.
//
// It goes on while the machine is suspended, so that a lease that ran out
// meanwhile is known to have run out. Timers wait for durations: theirs may
// stand still.

#include "base/Time.h"

#include <ctime>

namespace jaydoor {

inline Time
ReadClock()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace jaydoor
