// The faults of a SessionWorld: servers that crash, fall behind, lose answers
// or leave, and gateways that freeze.

#include "tests/SessionWorld.h"

namespace jaydoor::tests {

void
SessionWorld::CrashServer(std::size_t aServer)
{
  Server& server = servers_[aServer];
  server.up_ = false;
  server.running_ = 0;
  server.run_++;
  std::vector<ConnectionKey> lost;
  for (const auto& [key, connection] : connections_) {
    if (connection.server_ == aServer) {
      lost.push_back(key);
    }
  }
  for (const auto& key : lost) {
    LoseLink(key);
  }
}

void
SessionWorld::StartServer(std::size_t aServer)
{
  servers_[aServer].up_ = true;
  servers_[aServer].primary_ =
    servers_[aServer].primary_ && Primary() == aServer;
}

bool
SessionWorld::Draw(double aProbability)
{
  return std::uniform_real_distribution<>(0, 1)(random_) < aProbability;
}

void
SessionWorld::Disturb()
{
  switch (random_() % 8) {
    case 0:
      ChangePrimary(true);
      break;
    case 1:
      ChangePrimary(false);
      break;
    case 2: {
      const std::size_t primary = Primary();
      CrashServer(primary);
      ScheduleAfter(200ms, [this] { ChangePrimary(false); });
      ScheduleAfter(1500ms, [this, primary] { StartServer(primary); });
      break;
    }
    case 3: {
      const std::size_t server = random_() % servers_.size();
      if (server != Primary()) {
        CrashServer(server);
        ScheduleAfter(800ms, [this, server] { StartServer(server); });
      }
      break;
    }
    case 4:
      config_.lag_ = 400ms;
      ScheduleAfter(1s, [this] { config_.lag_ = 10ms; });
      break;
    case 5:
      loss_ = 0.1;
      ScheduleAfter(600ms, [this] { loss_ = 0; });
      break;
    case 6:
      frozenUntil_[random_() % gateways_.size()] = now_ + 2s;
      break;
    default:
      break;
  }
  ScheduleAfter(700ms + Duration(random_() % 1'500'000), [this] { Disturb(); });
}

// Some servers leave. They stay again once the drain bound has passed for long
// enough to see what still reaches them.
void
SessionWorld::LeaveServers()
{
  if (random_() % 2 == 0) {
    const std::size_t gateway = random_() % gateways_.size();
    const Duration held(random_() % 6'000'000);
    viewHeldUntil_[gateway] = now_ + held;
    ScheduleAfter(held, [this] { PublishFleet(); });
  }
  for (std::size_t i = 0; i < servers_.size(); i++) {
    if (random_() % 2 == 0) {
      servers_[i].leavingSince_ = now_;
      leavings_++;
      AnnounceServer(i);
    }
  }
  PublishFleet();
  if (servers_[Primary()].leavingSince_ && random_() % 2 == 0) {
    ChangePrimary(true);
  }
  ScheduleAfter(kServerDrainBound + 3s, [this] {
    for (std::size_t i = 0; i < servers_.size(); i++) {
      if (servers_[i].leavingSince_) {
        servers_[i].leavingSince_.reset();
        AnnounceServer(i);
      }
    }
    PublishFleet();
    ScheduleAfter(1s, [this] { LeaveServers(); });
  });
}

} // namespace jaydoor::tests
