#include "control/OverloadMonitor.h"

#include <algorithm>

namespace jaydoor {
namespace {

constexpr Duration kWindow = 150ms;
// In each window the pressure changes by one of these parts of the difference
// between the mean delay and the target.
constexpr double kRiseGain = 0.07;
constexpr double kFallGain = 0.14;
constexpr double kTargetDelay = 0.5;
// VMs without slow answers do not report a server that is not overloaded, so a
// window with few answers is filled up with fast ones.
constexpr unsigned kMinAnswers = 8;
constexpr double kFastDelay = 0.2;
// Pressure up to which no work is withheld.
constexpr double kToleratedPressure = 0.1;
// Connections count as scarce for this long after a refusal: VMs that hold one
// see no refusals.
constexpr Duration kScarceConnectionsWindow = 1s;

} // namespace

// Evaluates the windows that have ended.
void
OverloadMonitor::Advance(Server& aServer, Time aNow)
{
  while (aNow >= aServer.windowAt_ + kWindow) {
    const unsigned answers = std::max(aServer.answers_, kMinAnswers);
    const double delay =
      (aServer.delay_ + kFastDelay * (answers - aServer.answers_)) / answers;
    const double gain = delay > kTargetDelay ? kRiseGain : kFallGain;
    aServer.pressure_ =
      std::clamp(aServer.pressure_ + gain * (delay - kTargetDelay), 0.0, 1.0);
    aServer.answers_ = 0;
    aServer.delay_ = 0;
    aServer.windowAt_ =
      aServer.pressure_ > 0 ? aServer.windowAt_ + kWindow : aNow;
  }
}

void
OverloadMonitor::Record(const wire::LeaseRequest& aRequest, Time aNow)
{
  for (const auto& report : aRequest.answers()) {
    const auto [at, isNew] = servers_.try_emplace(report.server());
    Server& server = at->second;
    if (isNew) {
      server.windowAt_ = aNow;
    }
    Advance(server, aNow);
    server.answers_ += report.count();
    server.delay_ += report.delay_permille() / 1000.0;
    if (report.connection_limit()) {
      server.connectionLimitAt_ = aNow;
    }
  }
}

void
OverloadMonitor::AddTo(wire::LeaseGrant& aGrant, Time aNow)
{
  for (auto at = servers_.begin(); at != servers_.end();) {
    auto& [id, server] = *at;
    Advance(server, aNow);
    const double withheld =
      std::max(0.0, server.pressure_ - kToleratedPressure);
    const bool areConnectionsScarce =
      aNow - server.connectionLimitAt_ < kScarceConnectionsWindow;
    const bool isOverloaded = withheld > 0;
    if (isOverloaded != server.isOverloaded_ ||
        areConnectionsScarce != server.areConnectionsScarce_) {
      server.isOverloaded_ = isOverloaded;
      server.areConnectionsScarce_ = areConnectionsScarce;
      changes_.push_back({ id, isOverloaded, areConnectionsScarce });
    }
    if (isOverloaded || areConnectionsScarce) {
      wire::ServerOverload& overload = *aGrant.add_overloaded();
      overload.set_server(id);
      overload.set_permille(
        static_cast<std::uint32_t>(1000 * withheld / (1 - kToleratedPressure)));
      overload.set_connections_scarce(areConnectionsScarce);
    }
    const bool isIdle =
      server.pressure_ == 0 && server.answers_ == 0 && !areConnectionsScarce;
    at = isIdle ? servers_.erase(at) : std::next(at);
  }
}

} // namespace jaydoor
