#include "tests/World.h"

#include "tests/DiskModel.h"

#include <algorithm>

#include <fmt/format.h>

namespace jaydoor::tests {
namespace {

constexpr Duration kServerTick = 1ms;
constexpr Duration kAnnounce = 500ms;

std::string
ZoneName(std::size_t aZone)
{
  return fmt::format("zone-{}", static_cast<char>('a' + aZone));
}

} // namespace

// ---- The world

World::World(WorldConfig aConfig)
  : config_(std::move(aConfig))
{
  const std::size_t zones = config_.vmsPerZone_.size();
  for (std::size_t zone = 0; zone < zones; zone++) {
    for (std::size_t i = 0; i < config_.vmsPerZone_[zone]; i++) {
      VmState vm;
      const VmId id =
        fmt::format("vm-{}{}", static_cast<char>('a' + zone), i + 1);
      vm.info_.set_id(id);
      vm.info_.set_zone(ZoneName(zone));
      vm.zone_ = ZoneName(zone);
      vm.votes_ = i == 0;
      vms_.emplace(id, std::move(vm));
    }
  }
  for (std::size_t d = 0; d < config_.databases_; d++) {
    for (std::size_t i = 0; i < 3; i++) {
      wire::Upstream info;
      info.set_database(fmt::format("db{}", d + 1));
      info.set_server(fmt::format("db{}-{}", d + 1, i + 1));
      info.set_zone(ZoneName((i + d) % zones));
      info.set_host(info.server());
      info.set_port(1);
      info.set_slots(config_.slots_);
      info.set_connection_limit(config_.connections_);
      info.set_group_size(3);
      servers_.try_emplace(info.server(), info);
      TickServer(info.server());
    }
  }
  for (auto& [id, vm] : vms_) {
    Boot(vm);
  }
}

void
World::At(Duration aAfter, std::function<void()> aRun)
{
  events_.push({ now_ + aAfter, order_++, std::move(aRun) });
}

void
World::Run(Duration aTime)
{
  const Time until = now_ + aTime;
  while (!events_.empty() && events_.top().at_ <= until) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at_;
    event.run_();
  }
  now_ = until;
}

void
World::Fold(std::uint64_t aValue)
{
  fingerprint_ = (fingerprint_ ^ aValue) * 0x100000001b3ULL;
}

void
World::Boot(VmState& aVm)
{
  aVm.life_++;
  aVm.up_ = true;
  aVm.frozen_ = false;
  aVm.held_.clear();
  aVm.view_ = std::make_shared<FleetView>();
  aVm.rulesSeen_ = 0;
  aVm.info_.set_incarnation(aVm.life_ * 1'000'000);
  aVm.info_.set_voter(
    aVm.votes_ ? fmt::format("{}/{}", aVm.info_.id(), aVm.disk_) : "");
  const std::uint64_t seed = config_.seed_ * 1000 +
                             std::hash<std::string>{}(aVm.info_.id()) % 997 +
                             aVm.life_;
  ControlConfig control;
  control.self_ = aVm.info_;
  control.randomSeed_ = seed;
  for (const auto& [id, vm] : vms_) {
    control.seeds_.push_back(vm.info_);
    if (vm.votes_) {
      control.voterVms_.push_back(id);
    }
  }
  aVm.control_ = std::make_unique<ControlNode>(
    std::move(control), aVm.votes_ ? std::optional(aVm.saved_) : std::nullopt);
  TrafficConfig traffic;
  traffic.self_ = aVm.info_.id();
  traffic.zone_ = aVm.zone_;
  traffic.seed_ = seed;
  traffic.sessionKeys_ = { "a-key-for-tests-only" };
  aVm.traffic_ = std::make_unique<TrafficNode>(std::move(traffic));
  TickControl(aVm.info_.id(), aVm.life_);
  TickTraffic(aVm.info_.id(), aVm.life_);
}

// Runs the event on the VM, later if it is frozen, never if it has died.
void
World::Deliver(VmState& aVm, std::uint64_t aLife, std::function<void()> aRun)
{
  if (!aVm.up_ || aVm.life_ != aLife) {
    return;
  }
  if (aVm.frozen_) {
    aVm.held_.push_back(std::move(aRun));
    return;
  }
  aRun();
}

void
World::TickControl(const VmId& aVm, std::uint64_t aLife)
{
  VmState& vm = vms_.at(aVm);
  Deliver(vm, aLife, [this, &vm, aVm, aLife] {
    StepControl(vm, ControlTick{});
    At(vm.control_->NextWake(now_) - now_,
       [this, aVm, aLife] { TickControl(aVm, aLife); });
  });
}

void
World::TickTraffic(const VmId& aVm, std::uint64_t aLife)
{
  VmState& vm = vms_.at(aVm);
  Deliver(vm, aLife, [this, &vm, aVm, aLife] {
    StepTraffic(vm, TrafficTick{});
    const Duration wait =
      std::min<Duration>(vm.traffic_->NextWake(now_) - now_, 5ms);
    At(wait, [this, aVm, aLife] { TickTraffic(aVm, aLife); });
  });
}

void
World::StepControl(VmState& aVm, ControlEvent aEvent)
{
  ControlActions actions;
  aVm.control_->Step(std::move(aEvent), now_, actions);
  for (auto& action : actions) {
    Fold(action.index() + 100);
    Perform(aVm, action);
  }
}

void
World::StepTraffic(VmState& aVm, TrafficEvent aEvent)
{
  TrafficActions actions;
  aVm.traffic_->Step(std::move(aEvent), now_, actions);
  for (auto& action : actions) {
    Fold(action.index());
    Perform(aVm, action);
  }
}

// ---- Control actions

void
World::Perform(VmState& aVm, ControlAction& aAction)
{
  ApplySaveAction(aVm.saved_, aAction);
  const VmId id = aVm.info_.id();
  const std::uint64_t life = aVm.life_;
  if (auto* send = std::get_if<SendToVm>(&aAction)) {
    VmState& to = vms_.at(send->to_);
    if (Reaches(aVm.zone_, to.zone_)) {
      At(DelayBetween(aVm.zone_, to.zone_),
         [this, &to, message = send->message_, toLife = to.life_] {
           Deliver(to, toLife, [this, &to, message] {
             StepControl(to, ControlMessageReceived{ message });
           });
         });
    }
  } else if (auto* view = std::get_if<PublishView>(&aAction)) {
    aVm.view_ = view->view_;
    rulesWentBack_ += aVm.view_->rulesVersion_ < aVm.rulesSeen_ ? 1U : 0U;
    aVm.rulesSeen_ = aVm.view_->rulesVersion_;
    StepTraffic(aVm, TrafficViewChanged{ view->view_ });
  } else if (auto* answer = std::get_if<AnswerRuleChange>(&aAction)) {
    operators_[answer->operatorCall_] = answer->outcome_;
  } else if (auto* call = std::get_if<SendPromoterRequest>(&aAction)) {
    FakeServer& server = servers_.at(call->server_);
    const bool reached =
      Reaches(aVm.zone_, server.info_.zone()) && server.up_ && !server.frozen_;
    const Duration way = DelayBetween(aVm.zone_, server.info_.zone());
    const auto finish = [this, &aVm, life, number = call->callId_](
                          const std::optional<UpstreamAnswer>& aAnswer) {
      Deliver(aVm, life, [this, &aVm, number, aAnswer] {
        StepControl(aVm, PromoterRequestCompleted{ number, aAnswer });
      });
    };
    if (!reached) {
      At(400ms, [finish] { finish(std::nullopt); });
      return;
    }
    At(config_.connect_ + way,
       [this, &server, finish, way, request = call->request_] {
         auto result = server.Handle(request, 0);
         At(way, [finish, result] { finish(result); });
       });
  }
}

// ---- Traffic actions

std::uint64_t
World::KeyOf(const VmState& aVm, ConnectionId aId)
{
  return std::hash<std::string>{}(
    fmt::format("{}/{}/{}", aVm.info_.id(), aVm.life_, aId));
}

void
World::Perform(VmState& aVm, TrafficAction& aAction)
{
  const std::uint64_t life = aVm.life_;
  if (auto* open = std::get_if<OpenConnection>(&aAction)) {
    const std::uint64_t key = KeyOf(aVm, open->id_);
    const FakeServer& server = servers_.at(open->host_);
    connections_[key] = { open->id_, aVm.info_.id(), open->host_, life, false };
    const ZoneId zone = server.info_.zone();
    if (!Reaches(aVm.zone_, zone) || server.frozen_) {
      return; // it hangs
    }
    const ConnectionId id = open->id_;
    At(config_.connect_ + 2 * DelayBetween(aVm.zone_, zone),
       [this, &aVm, &server, life, id, key] {
         Deliver(aVm, life, [this, &aVm, &server, id, key] {
           if (!connections_.contains(key)) {
             return;
           }
           if (server.up_) {
             StepTraffic(aVm, UpstreamConnectionOpened{ id });
           } else {
             connections_.erase(key);
             StepTraffic(aVm, UpstreamConnectionLost{ id });
           }
         });
       });
  } else if (auto* close = std::get_if<CloseConnection>(&aAction)) {
    const std::uint64_t key = KeyOf(aVm, close->id_);
    const auto found = connections_.find(key);
    if (found != connections_.end()) {
      servers_.at(found->second.server_).CloseConnection(key);
      connections_.erase(found);
    }
  } else if (auto* send = std::get_if<SendUpstreamRequest>(&aAction)) {
    Ask(aVm, send->id_, send->request_);
  } else if (auto* answer = std::get_if<AnswerCaller>(&aAction)) {
    answers_[answer->request_] = answer->answer_;
  } else if (auto* peer = std::get_if<SendTrafficMessage>(&aAction)) {
    VmState& to = vms_.at(peer->to_);
    peer->message_.set_from(aVm.info_.id());
    peer->message_.set_sent_us(now_.time_since_epoch().count());
    if (Reaches(aVm.zone_, to.zone_)) {
      At(DelayBetween(aVm.zone_, to.zone_),
         [this, &to, message = peer->message_, toLife = to.life_] {
           Deliver(to, toLife, [this, &to, message] {
             StepTraffic(to, TrafficMessageReceived{ message });
           });
         });
    }
  } else if (auto* suspect = std::get_if<ReportSuspicion>(&aAction)) {
    At(0us, [this, &aVm, life, suspicion = suspect->suspicion_] {
      Deliver(aVm, life, [this, &aVm, suspicion] {
        StepControl(aVm, SuspicionReported{ suspicion });
      });
    });
  }
}

void
World::Ask(VmState& aVm, ConnectionId aId, const UpstreamRequest& aRequest)
{
  const std::uint64_t key = KeyOf(aVm, aId);
  const auto found = connections_.find(key);
  if (found == connections_.end() || found->second.silent_) {
    return;
  }
  FakeServer& server = servers_.at(found->second.server_);
  const ZoneId zone = server.info_.zone();
  const Duration way = DelayBetween(aVm.zone_, zone);
  const std::uint64_t life = aVm.life_;
  const auto back =
    [this, &aVm, life, aId, key, zone, way](const UpstreamAnswer& aAnswer) {
      if (!Reaches(zone, aVm.zone_)) {
        return;
      }
      At(way, [this, &aVm, life, aId, key, aAnswer] {
        Deliver(aVm, life, [this, &aVm, aId, key, aAnswer] {
          const auto at = connections_.find(key);
          if (at != connections_.end() && !at->second.silent_) {
            StepTraffic(aVm, ConnectionAnswerReceived{ aId, aAnswer });
          }
        });
      });
    };
  if (!Reaches(aVm.zone_, zone)) {
    return;
  }
  const auto run = [this, &server, aRequest, key, back] {
    server.running_--;
    if (connections_.contains(key) || aRequest.step_ == TransactionStep::None) {
      back(server.Handle(aRequest, key));
    }
  };
  const auto arrive = [this, &server, aRequest, key, back, run] {
    if (aRequest.op_ != UpstreamOp::Execute) {
      back(server.Handle(aRequest, key));
      return;
    }
    if (!server.HasSlot()) {
      server.oversubscribed_++;
      UpstreamAnswer refused;
      refused.reason_ = Reason::Overloaded;
      back(refused);
      return;
    }
    server.running_++;
    At(config_.work_, [&server, run, serverLife = server.life_] {
      DeliverServer(server, serverLife, run);
    });
  };
  At(way, [&server, arrive, serverLife = server.life_] {
    DeliverServer(server, serverLife, arrive);
  });
}

void
World::Lose(std::uint64_t aKey, Duration aAfter)
{
  At(aAfter, [this, aKey] {
    const auto found = connections_.find(aKey);
    if (found == connections_.end()) {
      return;
    }
    const Connection connection = found->second;
    VmState& vm = vms_.at(connection.vm_);
    if (connection.silent_ ||
        !Reaches(vm.zone_, servers_.at(connection.server_).info_.zone())) {
      return;
    }
    connections_.erase(found);
    Deliver(vm, connection.life_, [this, &vm, id = connection.id_] {
      StepTraffic(vm, UpstreamConnectionLost{ id });
    });
  });
}

// Runs the event on the server, later if it is frozen, never if it has died.
void
World::DeliverServer(FakeServer& aServer,
                     std::uint64_t aLife,
                     std::function<void()> aRun)
{
  if (!aServer.up_ || aServer.life_ != aLife) {
    return;
  }
  if (aServer.frozen_) {
    aServer.held_.push_back(std::move(aRun));
    return;
  }
  aRun();
}

// ---- Servers by themselves

void
World::TickServer(const ServerId& aServer)
{
  FakeServer& server = servers_.at(aServer);
  const auto ticks =
    static_cast<std::uint64_t>(now_.time_since_epoch() / kServerTick);
  const bool active = server.up_ && !server.frozen_;
  if (active &&
      ticks % static_cast<std::uint64_t>(kAnnounce / kServerTick) == 0) {
    for (auto& [id, vm] : vms_) {
      if (Reaches(server.info_.zone(), vm.zone_)) {
        Deliver(vm, vm.life_, [this, &vm = vm, info = server.info_] {
          StepControl(vm, UpstreamAnnounced{ info });
        });
      }
    }
  }
  const auto lag = std::max<std::uint64_t>(
    1, static_cast<std::uint64_t>(config_.lag_ / kServerTick));
  if (active && !server.primaryHost_.empty() && ticks % lag == 0) {
    const FakeServer& primary = servers_.at(server.primaryHost_);
    const bool reached = primary.up_ && !primary.frozen_ &&
                         Reaches(server.info_.zone(), primary.info_.zone());
    if (reached) {
      server.PullFrom(primary);
    }
  }
  At(kServerTick, [this, aServer] { TickServer(aServer); });
}

// ---- Callers and operators

RequestId
World::Send(const VmId& aVm, const CallerRequest& aRequest)
{
  const RequestId id = nextRequest_++;
  VmState& vm = vms_.at(aVm);
  askedAt_[id] = aVm;
  At(0us, [this, &vm, id, aRequest, life = vm.life_] {
    Deliver(vm, life, [this, &vm, id, aRequest] {
      StepTraffic(vm, CallerRequestReceived{ id, aRequest });
    });
  });
  return id;
}

std::optional<CallerAnswer>
World::AnswerOf(RequestId aId) const
{
  const auto found = answers_.find(aId);
  return found == answers_.end() ? std::nullopt : std::optional(found->second);
}

CallerAnswer
World::Execute(const VmId& aVm, const CallerRequest& aRequest)
{
  const RequestId id = Send(aVm, aRequest);
  const Time until = now_ + aRequest.deadline_ + 1s;
  while (!answers_.contains(id) && now_ < until) {
    Run(1ms);
  }
  CallerAnswer unknown;
  unknown.outcome_ = Outcome::Unknown;
  return AnswerOf(id).value_or(unknown);
}

std::optional<wire::RuleOutcome>
World::ChangeRules(const VmId& aVm, const wire::RuleChange& aChange)
{
  const std::uint64_t id = nextRequest_++;
  StepControl(vms_.at(aVm), RuleChangeRequested{ id, aChange });
  for (int i = 0; i < 7000 && !operators_.contains(id); i++) {
    Run(1ms);
  }
  return operators_[id];
}

// ---- Faults

void
World::Kill(const std::string& aName)
{
  const auto vm = vms_.find(aName);
  if (vm != vms_.end()) {
    vm->second.up_ = false;
    std::erase_if(connections_, [this, &aName](const auto& aEntry) {
      if (aEntry.second.vm_ == aName) {
        servers_.at(aEntry.second.server_).CloseConnection(aEntry.first);
      }
      return aEntry.second.vm_ == aName;
    });
    return;
  }
  FakeServer& server = servers_.at(aName);
  server.up_ = false;
  for (const auto& [key, connection] : connections_) {
    if (connection.server_ == aName) {
      Lose(key, config_.zoneDelay_);
    }
  }
}

void
World::Start(const std::string& aName)
{
  const auto vm = vms_.find(aName);
  if (vm != vms_.end()) {
    if (!vm->second.up_) {
      Boot(vm->second);
    }
  } else if (!servers_.at(aName).up_) {
    servers_.at(aName).Restart();
  }
}

void
World::Freeze(const std::string& aName)
{
  const auto vm = vms_.find(aName);
  (vm != vms_.end() ? vm->second.frozen_ : servers_.at(aName).frozen_) = true;
}

void
World::Thaw(const std::string& aName)
{
  const auto vm = vms_.find(aName);
  if (vm == vms_.end()) {
    FakeServer& server = servers_.at(aName);
    server.frozen_ = false;
    for (auto& held : std::exchange(server.held_, {})) {
      held();
    }
    return;
  }
  vm->second.frozen_ = false;
  for (auto& held : std::exchange(vm->second.held_, {})) {
    held();
  }
}

void
World::Wipe(const std::string& aName)
{
  VmState& vm = vms_.at(aName);
  vm.saved_ = RaftDisk{};
  vm.disk_++;
}

void
World::Leave(const std::string& aName)
{
  servers_.at(aName).info_.set_leaving(true);
}

void
World::Drain(const std::string& aName)
{
  VmState& vm = vms_.at(aName);
  StepControl(vm, LeavingChanged{ true });
  StepTraffic(vm, TrafficDrainChanged{ true });
}

void
World::CutOff(const ZoneId& aZone)
{
  for (std::size_t i = 0; i < config_.vmsPerZone_.size(); i++) {
    if (ZoneName(i) != aZone) {
      Cut(aZone, ZoneName(i));
    }
  }
}

// Connections through the cut have lost bytes and stay silent for good.
void
World::Cut(const ZoneId& aZone, const ZoneId& aOther)
{
  cuts_.insert({ aZone, aOther });
  cuts_.insert({ aOther, aZone });
  for (auto& [key, connection] : connections_) {
    connection.silent_ = connection.silent_ ||
                         !Reaches(vms_.at(connection.vm_).zone_,
                                  servers_.at(connection.server_).info_.zone());
  }
}

void
World::Heal()
{
  cuts_.clear();
}

void
World::Silence(const ServerId& aServer)
{
  for (auto& [key, connection] : connections_) {
    connection.silent_ = connection.silent_ || connection.server_ == aServer;
  }
}

void
World::Reset(const ServerId& aServer)
{
  for (const auto& [key, connection] : connections_) {
    if (connection.server_ == aServer) {
      Lose(key, 0us);
    }
  }
}

// ---- Questions

bool
World::Reaches(const ZoneId& aFrom, const ZoneId& aTo) const
{
  return !cuts_.contains({ aFrom, aTo });
}

Duration
World::DelayBetween(const ZoneId& aFrom, const ZoneId& aTo) const
{
  return aFrom == aTo ? config_.zoneDelay_ / 10 : config_.zoneDelay_;
}

ServerId
World::FindPrimary(const DatabaseId& aDatabase) const
{
  std::uint64_t index = 0;
  ServerId primary;
  for (const auto& [id, vm] : vms_) {
    const auto found = vm.view_->databases_.find(aDatabase);
    if (vm.up_ && found != vm.view_->databases_.end() &&
        vm.view_->index_ >= index) {
      index = vm.view_->index_;
      primary = found->second.primary_;
    }
  }
  return primary;
}

const FakeServer&
World::Server(const ServerId& aServer) const
{
  return servers_.at(aServer);
}

const ControlNode&
World::Control(const VmId& aVm) const
{
  return *vms_.at(aVm).control_;
}

const TrafficNode&
World::Traffic(const VmId& aVm) const
{
  return *vms_.at(aVm).traffic_;
}

FleetViewPtr
World::ViewOf(const VmId& aVm) const
{
  return vms_.at(aVm).view_;
}

std::vector<VmId>
World::Vms() const
{
  std::vector<VmId> ids;
  for (const auto& [id, vm] : vms_) {
    ids.push_back(id);
  }
  return ids;
}

std::vector<ServerId>
World::Servers() const
{
  std::vector<ServerId> ids;
  for (const auto& [id, server] : servers_) {
    ids.push_back(id);
  }
  return ids;
}

bool
World::IsUp(const std::string& aName) const
{
  const auto vm = vms_.find(aName);
  return vm != vms_.end() ? vm->second.up_ && !vm->second.frozen_
                          : servers_.at(aName).up_;
}

} // namespace jaydoor::tests
