#pragma once

// Monotonic time in the decision code.
//
// Decision code never reads a clock: it gets a `Time` with each event. The
// shells read it from the clock in daemon/Clock.h, the tests from a counter.

#include <chrono>

namespace jaydoor {

using namespace std::chrono_literals;

// Clock type that std::chrono::time_point needs. It has no now(), since nothing
// reads it.
struct MonotonicClock
{
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  static constexpr bool is_steady = true; // NOLINT: required by std
};

using Duration = std::chrono::microseconds;
using Time = std::chrono::time_point<MonotonicClock, Duration>;

// Number of whole milliseconds in a duration, rounded towards zero.
constexpr long long
CountMs(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace jaydoor
