#include "gateway/IdleLinkPolicy.h"

#include <algorithm>

namespace jaydoor {
namespace {

// Longest time that scarcity is counted from: that of a link that is not the
// last one to its server.
constexpr Duration kLongestTimeout = 2s;
// A link is closed before a server that is short of connections gets the next
// statement of a busy caller.
constexpr Duration kShortestTimeout = 30ms;
// Signs of scarcity that follow within this time are of the same shortage: the
// leader repeats them for a second.
constexpr Duration kScarcityInterval = 1s;
constexpr int kShorteningDivisor = 2;
// Growth of the time, as a share of the time that has passed.
constexpr double kGrowth = 0.1;

} // namespace

void
IdleLinkPolicy::RecordScarcity(Time aNow)
{
  if (scarceAt_ != Time{} && aNow - scarceAt_ < kScarcityInterval) {
    return;
  }
  atScarcity_ = std::max(kShortestTimeout,
                         Timeout(kLongestTimeout, aNow) / kShorteningDivisor);
  scarceAt_ = aNow;
}

bool
IdleLinkPolicy::IsScarce(Time aNow) const
{
  return scarceAt_ != Time{} &&
         Timeout(kLongestTimeout, aNow) < kLongestTimeout;
}

Duration
IdleLinkPolicy::Timeout(Duration aUsual, Time aNow) const
{
  if (scarceAt_ == Time{}) {
    return aUsual;
  }
  const auto growth = Duration(static_cast<Duration::rep>(
    static_cast<double>((aNow - scarceAt_).count()) * kGrowth));
  const Duration timeout = atScarcity_ + growth;
  return timeout < kLongestTimeout ? timeout : aUsual;
}

} // namespace jaydoor
