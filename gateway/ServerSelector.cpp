#include "gateway/ServerSelector.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace jaydoor {
namespace {

// Costs that are added to a server's expected response time.
//
// Another zone: latency, and the price of the traffic.
constexpr Duration kOtherZoneCost = 12ms;
// The primary: leaves room for statements that only it can run. With 6 ms the
// primary is the busiest server of its group at all loads, with 10 ms replicas
// in other zones get so many statements that more bytes cross zones.
constexpr Duration kPrimaryCost = 8ms;
// No idle link: one has to be opened.
constexpr Duration kOpenLinkCost = 15ms;
// The same while connections to the server are scarce: the attempt may be
// refused, and the link would be taken from another VM.
constexpr Duration kScarceOpenLinkCost = 45ms;
// The link of another organisation has to be replaced, which that organisation
// may have to open again in 12 ms.
constexpr Duration kReplaceLinkCost = 27ms;
// A replica that is not the VM's preferred one: if each VM used all replicas,
// each server would have a link from every VM.
constexpr Duration kUnpreferredCost = 12ms;
// A server that is leaving: used only if no other one can run the statement.
constexpr Duration kLeavingCost = 10s;

// Response time that a server without delay is expected to have.
constexpr Duration kUsualServiceTime = 20ms;
// A server that answers faster than usual gains no more than this.
constexpr Duration kMaxGain = 10ms;
// One answer counts for no more: it may have waited for a lock.
constexpr Duration kMaxExcess = 150ms;
// A delay fades to 1/e of its value in this time without an answer. Fading
// within 1 s leaves VMs with few statements blind, and within 4 s they avoid a
// server after its load has fallen.
constexpr Duration kFadeTime = 2s;
// Weight of a new excess in the delay: what has faded since the last one,
// within these limits. Less is slow to see that a server is good again; with
// more, noise sends statements to other zones.
constexpr double kLeastWeight = 1.0 / 16;
constexpr double kMostWeight = 1.0 / 8;
// A new response time has a weight of 1/64 in the usual one, once as many are
// known. It has to change more slowly than the delays measured against it.
constexpr int kUsualSmoothing = 64;
// A server whose cost is higher by this than the least gets 1/e as many
// statements. It is less than any fixed cost.
constexpr Duration kCostTolerance = 2ms;
// A server that would get fewer statements than this, compared with the best
// one, gets none: a few statements would keep links to it open.
constexpr double kLeastShare = 0.01;

double
Ratio(Duration aLeft, Duration aRight)
{
  return static_cast<double>(aLeft.count()) /
         static_cast<double>(aRight.count());
}

Duration
GetLinkCost(const ServerOption& aOption)
{
  switch (aOption.link_) {
    case LinkVerdict::Open:
      return aOption.isScarce_ ? kScarceOpenLinkCost : kOpenLinkCost;
    case LinkVerdict::Replace:
      return kReplaceLinkCost;
    case LinkVerdict::Use:
    case LinkVerdict::Wait: // is passed over before
      break;
  }
  return 0us;
}

// Returns true if the statement would take a link that others may need.
bool
TakesScarceLink(const ServerOption& aOption)
{
  return aOption.link_ == LinkVerdict::Replace ||
         (aOption.link_ == LinkVerdict::Open && aOption.isScarce_);
}

} // namespace

Duration
UsualTime::Record(Duration aResponseTime)
{
  const Duration excess = recordCount_ == 0 ? 0us : aResponseTime - usual_;
  recordCount_ = std::min(recordCount_ + 1, kUsualSmoothing);
  usual_ += std::min(aResponseTime - usual_, kMaxExcess) / recordCount_;
  return excess;
}

void
ServerDelay::Record(Duration aExcess, Time aNow)
{
  const double fade = FadeAt(aNow);
  const double weight = std::clamp(1 - fade, kLeastWeight, kMostWeight);
  const auto known = static_cast<double>(delay_.count()) * fade;
  const auto excess =
    static_cast<double>(std::min(aExcess, kMaxExcess).count());
  delay_ =
    Duration(static_cast<Duration::rep>(known + (excess - known) * weight));
  recordedAt_ = aNow;
}

void
ServerDelay::RecordFailure(Time aNow)
{
  Record(kMaxExcess, aNow);
}

// Returns the part of the delay that still counts.
double
ServerDelay::FadeAt(Time aNow) const
{
  return std::exp(-Ratio(std::max(0us, aNow - recordedAt_), kFadeTime));
}

Duration
ServerDelay::At(Time aNow) const
{
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(delay_.count()) * FadeAt(aNow)));
}

Duration
EstimateCost(const ServerOption& aOption)
{
  const Duration responseTime =
    kUsualServiceTime + std::max(-kMaxGain, aOption.delay_);
  Duration cost = responseTime + responseTime * aOption.running_ /
                                   std::max(1U, aOption.slots_);
  cost += aOption.isInOwnZone_ ? 0us : kOtherZoneCost;
  cost += aOption.isPrimary_     ? kPrimaryCost
          : aOption.isPreferred_ ? 0us
                                 : kUnpreferredCost;
  cost += GetLinkCost(aOption);
  cost += aOption.isLeaving_ ? kLeavingCost : 0us;
  return cost;
}

std::optional<std::size_t>
SelectServer(std::span<const ServerOption> aOptions, double aTicket)
{
  if (aOptions.empty()) {
    return std::nullopt;
  }
  std::vector<Duration> costs;
  costs.reserve(aOptions.size());
  for (const auto& option : aOptions) {
    costs.push_back(EstimateCost(option));
  }
  const auto cheapest = std::min_element(costs.begin(), costs.end());
  const Duration least = *cheapest;
  const auto first = static_cast<std::size_t>(cheapest - costs.begin());
  if (aOptions[first].link_ != LinkVerdict::Use) {
    return first; // shared work would need links to several servers
  }
  std::vector<double> weights;
  weights.reserve(costs.size());
  double sum = 0;
  for (std::size_t i = 0; i < costs.size(); i++) {
    const double weight = std::exp(-Ratio(costs[i] - least, kCostTolerance));
    const bool isUsed = weight >= kLeastShare && !TakesScarceLink(aOptions[i]);
    weights.push_back(isUsed ? weight : 0);
    sum += weights.back();
  }
  double rest = aTicket * sum;
  std::size_t chosen = first;
  for (std::size_t i = 0; i < weights.size() && rest >= 0; i++) {
    chosen = weights[i] > 0 ? i : chosen;
    rest -= weights[i];
  }
  return chosen;
}

} // namespace jaydoor
