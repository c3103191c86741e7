#include "tests/LoadWorld.h"

#include <algorithm>

#include <fmt/format.h>

namespace jaydoor::tests {
namespace {

constexpr char kGroup[] = "db";
constexpr std::size_t kServers = 3;
constexpr Duration kNetDelay = 1ms;
constexpr Duration kOpenWork = 12ms; // of a slot, for a new connection
constexpr std::size_t kConnectionLimit = 140;

std::string
ServerName(std::size_t aServer)
{
  return fmt::format("server-{}", aServer + 1);
}

CatalogPtr
MakeCatalog(const LoadConfig& aConfig)
{
  auto catalog = std::make_shared<Catalog>();
  catalog->version_ = 1;
  catalog->connectionLimits_[kGroup] = kConnectionLimit;
  for (const auto& kind : aConfig.classes_) {
    CatalogDatabase database;
    database.name_ = kind.name_;
    database.group_ = kGroup;
    database.consistency_ = kind.consistency_;
    database.maxStaleness_ = 1500ms;
    database.statementLimit_ = kind.deadline_;
    database.latencyTarget_ = kind.target_;
    database.rank_ = kind.rank_;
    catalog->databases_[kind.name_] = database;
  }
  return catalog;
}

FleetViewPtr
MakeView(const LoadConfig& aConfig)
{
  ControlState state;
  std::uint64_t index = 0;
  const auto apply = [&](wire::Change aChange) {
    aChange.set_index(++index);
    state.Apply(aChange);
  };
  for (std::size_t i = 0; i < kServers; i++) {
    wire::Change change;
    auto& info = *change.mutable_upstream()->mutable_upstream();
    info.set_server(ServerName(i));
    info.set_database(kGroup);
    info.set_zone(fmt::format("zone-{}", i + 1));
    info.set_slots(aConfig.slots_);
    apply(std::move(change));
  }
  wire::Change primary;
  primary.mutable_primary()->set_database(kGroup);
  primary.mutable_primary()->set_server(ServerName(0));
  primary.mutable_primary()->set_term(1);
  apply(std::move(primary));
  return BuildFleetView(state, {}, true);
}

} // namespace

LoadWorld::LoadWorld(LoadConfig aConfig)
  : Timeline(Time(1000s))
  , config_(std::move(aConfig))
  , random_(config_.seed_)
  , servers_(kServers)
  , results_(config_.classes_.size())
{
  const FleetViewPtr view = MakeView(config_);
  const CatalogPtr catalog = MakeCatalog(config_);
  for (std::size_t i = 0; i < config_.gateways_; i++) {
    gateways_.push_back(std::make_unique<Gateway>(
      GatewayConfig{ .zone_ = fmt::format("zone-{}", i % 5 + 1) }));
    StepGateway(i, FleetOrCatalogChanged{ view, catalog });
    ScheduleAfter(Duration(random_() % 10'000), [this, i] { TickGateway(i); });
  }
  for (std::size_t i = 0; i < config_.classes_.size(); i++) {
    ScheduleAfter(100ms, [this, i] { Arrive(i); });
  }
}

void
LoadWorld::StartMeasuring()
{
  measuring_ = true;
  results_.assign(config_.classes_.size(), {});
}

double
LoadWorld::WorthShare() const
{
  double owed = 0;
  double earned = 0;
  for (const auto& result : results_) {
    owed += result.owed_;
    earned += result.earned_;
  }
  return earned / owed;
}

Duration
LoadWorld::DrawExponential(Duration aMean)
{
  std::exponential_distribution<> draw(1.0 /
                                       static_cast<double>(aMean.count()));
  return Duration(static_cast<Duration::rep>(draw(random_)) + 1);
}

// ---- Gateways

void
LoadWorld::StepGateway(std::size_t aGateway, GatewayEvent aEvent)
{
  GatewayActions actions;
  gateways_[aGateway]->Step(std::move(aEvent), now_, actions);
  for (auto& action : actions) {
    Perform(aGateway, action);
  }
}

void
LoadWorld::TickGateway(std::size_t aGateway)
{
  StepGateway(aGateway, GatewayTick{});
  ScheduleAfter(10ms, [this, aGateway] { TickGateway(aGateway); });
}

wire::LeaseGrant
LoadWorld::MakeGrant(const wire::LeaseRequest& aRequest) const
{
  wire::LeaseGrant grant;
  grant.set_sent_us(aRequest.sent_us());
  grant.set_incarnation(aRequest.incarnation());
  grant.set_holders(static_cast<std::uint32_t>(config_.gateways_));
  auto& lease = *grant.add_leases();
  lease.set_database(kGroup);
  lease.set_server(ServerName(0));
  lease.set_term(1);
  lease.set_duration_us(Duration(7s).count());
  return grant;
}

void
LoadWorld::Perform(std::size_t aGateway, GatewayAction& aAction)
{
  if (auto* accept = std::get_if<AcceptSession>(&aAction)) {
    SessionStatement statement;
    Caller& caller = callers_.at(accept->session_);
    const LoadClass& kind = config_.classes_[caller.class_];
    const bool writes =
      std::uniform_real_distribution<>(0, 1)(random_) < kind.writeShare_;
    statement.kind_ = writes ? StatementKind::Write : StatementKind::Read;
    statement.id_ = fmt::format("{}", accept->session_);
    statement.text_ = writes ? "write" : "read";
    ScheduleAfter(1us, [this, aGateway, id = accept->session_, statement] {
      StepGateway(aGateway, SessionStatementReceived{ id, statement });
    });
  } else if (auto* reply = std::get_if<SendSessionReply>(&aAction)) {
    ScheduleAfter(1us, [this, aGateway, id = reply->session_, reply = *reply] {
      StepGateway(aGateway, SessionEnded{ id });
      HandleReply(id, reply.reply_);
    });
  } else if (auto* open = std::get_if<OpenServerLink>(&aAction)) {
    const LinkKey key{ aGateway, open->link_ };
    std::size_t server = 0;
    while (ServerName(server) != open->server_) {
      server++;
    }
    serverByLink_[key] = server;
    ScheduleAfter(kNetDelay, [this, key, server] {
      Submit(server, Job{ .link_ = key, .command_ = {}, .opens_ = true });
    });
  } else if (auto* send = std::get_if<SendServerCommand>(&aAction)) {
    const LinkKey key{ aGateway, send->link_ };
    ScheduleAfter(kNetDelay, [this, key, command = send->command_] {
      Submit(serverByLink_.at(key),
             Job{ .link_ = key, .command_ = command, .opens_ = false });
    });
  } else if (auto* request = std::get_if<SendLeaseRequest>(&aAction)) {
    ScheduleAfter(kNetDelay,
                  [this, aGateway, grant = MakeGrant(request->request_)] {
                    StepGateway(aGateway, LeaseGrantReceived{ grant });
                  });
  }
}

// ---- Servers

void
LoadWorld::Answer(const LinkKey& aLink, ServerAnswer aAnswer)
{
  ScheduleAfter(kNetDelay, [this, aLink, answer = std::move(aAnswer)] {
    StepGateway(aLink.first, ServerLinkAnswered{ aLink.second, answer });
  });
}

void
LoadWorld::Submit(std::size_t aServer, Job aJob)
{
  Server& server = servers_[aServer];
  const bool isReplica = aServer != 0;
  if (!aJob.opens_ && server.queue_.size() >= config_.queue_) {
    ServerAnswer answer;
    answer.error_ = SessionError::Overloaded;
    Answer(aJob.link_, std::move(answer));
    return;
  }
  const bool lacksPoint =
    isReplica && replicasBehind_ && aJob.command_.minPoint_ != LogPoint{};
  if (!aJob.opens_ && lacksPoint) {
    ServerAnswer answer;
    answer.error_ = SessionError::Behind;
    Answer(aJob.link_, std::move(answer));
    return;
  }
  server.queue_.push_back(std::move(aJob));
  RunNext(aServer);
}

void
LoadWorld::RunNext(std::size_t aServer)
{
  Server& server = servers_[aServer];
  while (server.running_ < config_.slots_ && !server.queue_.empty()) {
    const Job job = std::move(server.queue_.front());
    server.queue_.pop_front();
    server.running_++;
    Duration work = kOpenWork;
    if (!job.opens_) {
      const auto caller = callers_.find(std::stoull(job.command_.id_));
      const Duration mean = caller == callers_.end()
                              ? kOpenWork
                              : config_.classes_[caller->second.class_].work_;
      work = DrawExponential(mean);
      if (caller != callers_.end()) {
        caller->second.ran_ = true;
      }
    }
    ScheduleAfter(work, [this, aServer, job] { FinishJob(aServer, job); });
  }
}

void
LoadWorld::FinishJob(std::size_t aServer, const Job& aJob)
{
  Server& server = servers_[aServer];
  server.running_--;
  if (aJob.opens_) {
    ScheduleAfter(kNetDelay, [this, link = aJob.link_] {
      StepGateway(link.first, ServerLinkOpened{ link.second });
    });
  } else {
    servers_[0].position_ += aJob.command_.text_ == "write" ? 1U : 0U;
    server.position_ = replicasBehind_ && aServer != 0 ? server.position_
                                                       : servers_[0].position_;
    ServerAnswer answer;
    answer.signature_ = "signed";
    answer.point_ = { 1, server.position_ };
    Answer(aJob.link_, std::move(answer));
  }
  RunNext(aServer);
}

// ---- Callers

void
LoadWorld::Arrive(std::size_t aClass)
{
  const auto mean = Duration(static_cast<Duration::rep>(
    1'000'000 / (config_.classes_[aClass].perSecond_ * rateFactor_)));
  ScheduleAfter(DrawExponential(mean), [this, aClass] { Arrive(aClass); });
  const std::uint64_t id = nextCaller_++;
  callers_[id] = { aClass, now_, config_.retries_, false, measuring_ };
  Try(id);
}

void
LoadWorld::Try(std::uint64_t aCaller)
{
  const std::size_t gateway = random_() % gateways_.size();
  const std::string& database =
    config_.classes_[callers_.at(aCaller).class_].name_;
  StepGateway(gateway, SessionOpenRequested{ aCaller, database });
}

void
LoadWorld::HandleReply(std::uint64_t aCaller, const SessionReply& aReply)
{
  Caller caller = callers_.at(aCaller);
  callers_.erase(aCaller);
  const LoadClass& kind = config_.classes_[caller.class_];
  const Duration taken = now_ - caller.arrivedAt_;
  const bool refused = aReply.error_ == SessionError::Overloaded;
  falseRefusals_ += refused && caller.ran_ ? 1U : 0U;
  if (refused && caller.triesLeft_ > 0 &&
      taken + config_.retryDelay_ < kind.deadline_) {
    caller.triesLeft_--;
    const std::uint64_t id = nextCaller_++;
    callers_[id] = caller;
    ScheduleAfter(config_.retryDelay_, [this, id] { Try(id); });
    return;
  }
  if (!caller.measured_) {
    return;
  }
  LoadResult& result = results_[caller.class_];
  const bool served = !aReply.error_ && taken <= kind.deadline_;
  const bool inTarget = served && taken <= kind.target_;
  result.asked_++;
  result.inTarget_ += inTarget ? 1U : 0U;
  result.late_ += served && !inTarget ? 1U : 0U;
  result.refused_ += served ? 0U : 1U;
  result.owed_ += kind.worth_;
  result.earned_ += inTarget ? kind.worth_ : served ? kind.lateWorth_ : 0;
}

} // namespace jaydoor::tests
