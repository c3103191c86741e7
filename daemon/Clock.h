#pragma once

// The only clock whose times the shells pass to the decision code.
//
// CLOCK_BOOTTIME keeps counting while the machine is suspended, so a lease that
// expired during a suspension is seen as expired. Timers only wait for
// durations, so they may use a clock that stops during a suspension.

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
