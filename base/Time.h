#pragma once

// Monotonic time as the decision code sees it.
//
// Decision code never reads a clock: a `Time` comes in with each event. The
// shells take it from the clock in daemon/Clock.h, tests from a counter.

#include <chrono>

namespace jaydoor {

using namespace std::chrono_literals;

// Names the clock that a `Time` belongs to; it is never read.
struct MonotonicClock
{
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  static constexpr bool is_steady = true; // NOLINT: the standard's name
};

using Duration = std::chrono::microseconds;
using Time = std::chrono::time_point<MonotonicClock, Duration>;

// Whole milliseconds in a duration, rounded down.
constexpr long long
CountMs(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace jaydoor
