#pragma once

// The only place where the shells read a clock for decision code.

#include "base/Time.h"

namespace jaydoor {

inline Time
ReadClock()
{
  return Time(std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace jaydoor
