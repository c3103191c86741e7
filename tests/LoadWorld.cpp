#include "tests/LoadWorld.h"

#include <algorithm>

#include <fmt/format.h>

namespace jaydoor::tests {
namespace {

constexpr char kGroup[] = "db";
constexpr std::size_t kServers = 3;
constexpr Duration kNetDelay = 1ms;
constexpr Duration kOpenWork = 12ms; // of a slot, for a new connection

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
  catalog->connectionLimits_[kGroup] =
    static_cast<std::uint32_t>(aConfig.connectionLimit_);
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
  , view_(MakeView(config_))
  , catalog_(MakeCatalog(config_))
  , gateways_(config_.gateways_)
  , runs_(config_.gateways_)
  , servers_(kServers)
  , results_(config_.classes_.size())
{
  primaryPoints_.Reset(1);
  for (std::size_t i = 0; i < config_.gateways_; i++) {
    StartGateway(i);
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
  connectionsOpened_ = 0;
  connectionsRefused_ = 0;
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

std::size_t
LoadWorld::Asked() const
{
  std::size_t asked = 0;
  for (const auto& result : results_) {
    asked += result.asked_;
  }
  return asked;
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
LoadWorld::StartGateway(std::size_t aGateway)
{
  runs_[aGateway] = ++nextRun_;
  gateways_[aGateway] = std::make_unique<Gateway>(
    GatewayConfig{ .zone_ = fmt::format("zone-{}", aGateway % 5 + 1),
                   .incarnation_ = runs_[aGateway],
                   .preferenceSeed_ = aGateway });
  StepGateway(aGateway, FleetOrCatalogChanged{ view_, catalog_ });
}

void
LoadWorld::RestartGateways(Duration aPause)
{
  for (auto& [link, connection] : connections_) {
    ScheduleAfter(config_.lingerTime_, [this, key = link] { Disconnect(key); });
  }
  std::vector<std::uint64_t> lost;
  for (std::size_t i = 0; i < gateways_.size(); i++) {
    gateways_[i].reset();
    runs_[i] = 0;
    ScheduleAfter(aPause, [this, i] { StartGateway(i); });
  }
  for (const auto& [id, caller] : callers_) {
    lost.push_back(id);
  }
  SessionReply broken;
  broken.error_ = SessionError::Aborted;
  for (const std::uint64_t id : lost) {
    FinishTry(id, broken);
  }
}

void
LoadWorld::StepGateway(std::size_t aGateway, GatewayEvent aEvent)
{
  if (!gateways_[aGateway]) {
    return;
  }
  GatewayActions actions;
  gateways_[aGateway]->Step(std::move(aEvent), now_, actions);
  for (auto& action : actions) {
    Perform(aGateway, action);
  }
}

// Passes an event on to the run of a gateway, unless that has ended.
void
LoadWorld::StepRun(std::uint64_t aRun, GatewayEvent aEvent)
{
  const auto found = std::find(runs_.begin(), runs_.end(), aRun);
  if (found != runs_.end()) {
    StepGateway(static_cast<std::size_t>(found - runs_.begin()),
                std::move(aEvent));
  }
}

void
LoadWorld::TickGateway(std::size_t aGateway)
{
  StepGateway(aGateway, GatewayTick{});
  ScheduleAfter(10ms, [this, aGateway] { TickGateway(aGateway); });
}

wire::LeaseGrant
LoadWorld::MakeGrant(std::size_t aGateway, const wire::LeaseRequest& aRequest)
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
  primaryPoints_.Record(aRequest, now_);
  primaryPoints_.AddTo(fmt::format("vm-{}", aGateway), grant, now_);
  overloadMonitor_.Record(aRequest, now_);
  overloadMonitor_.AddTo(grant, now_);
  return grant;
}

void
LoadWorld::Perform(std::size_t aGateway, GatewayAction& aAction)
{
  const std::uint64_t run = runs_[aGateway];
  if (auto* accept = std::get_if<AcceptSession>(&aAction)) {
    const std::uint64_t id = accept->session_;
    const Caller& caller = callers_.at(id);
    const bool reads = !caller.writes_;
    SendNext(id,
             caller.transaction_
               ? (reads ? StatementKind::BeginReadOnly : StatementKind::Begin)
             : reads ? StatementKind::Read
                     : StatementKind::Write);
  } else if (auto* reply = std::get_if<SendSessionReply>(&aAction)) {
    ScheduleAfter(1us, [this, id = reply->session_, reply = reply->reply_] {
      HandleReply(id, reply);
    });
  } else if (auto* open = std::get_if<OpenServerLink>(&aAction)) {
    std::size_t server = 0;
    while (ServerName(server) != open->server_) {
      server++;
    }
    ScheduleAfter(kNetDelay, [this, key = LinkKey{ run, open->link_ }, server] {
      Connect(key, server);
    });
  } else if (auto* close = std::get_if<CloseServerLink>(&aAction)) {
    ScheduleAfter(kNetDelay, [this, key = LinkKey{ run, close->link_ }] {
      Disconnect(key);
    });
  } else if (auto* send = std::get_if<SendServerCommand>(&aAction)) {
    const LinkKey key{ run, send->link_ };
    ScheduleAfter(kNetDelay, [this, key, command = send->command_] {
      if (const auto found = connections_.find(key);
          found != connections_.end()) {
        Submit(found->second.server_,
               Job{ .link_ = key, .command_ = command, .opens_ = false });
      }
    });
  } else if (auto* request = std::get_if<SendLeaseRequest>(&aAction)) {
    ScheduleAfter(2 * kNetDelay,
                  [this, run, grant = MakeGrant(aGateway, request->request_)] {
                    StepRun(run, LeaseGrantReceived{ grant });
                  });
  }
}

// ---- Servers

void
LoadWorld::Connect(const LinkKey& aLink, std::size_t aServer)
{
  Server& server = servers_[aServer];
  connectionsOpened_++;
  if (server.connections_ >= config_.connectionLimit_) {
    connectionsRefused_++;
    ScheduleAfter(kNetDelay, [this, aLink] {
      StepRun(aLink.first,
              ServerLinkLost{ aLink.second, SessionError::ConnectionLimit });
    });
    return;
  }
  server.connections_++;
  connections_[aLink] = {
    aServer,
    ConnectionAnswers(fmt::format("{}.{}", aLink.first, aLink.second)),
  };
  Submit(aServer, Job{ .link_ = aLink, .command_ = {}, .opens_ = true });
}

void
LoadWorld::Disconnect(const LinkKey& aLink)
{
  if (const auto found = connections_.find(aLink);
      found != connections_.end()) {
    servers_[found->second.server_].connections_--;
    connections_.erase(found);
  }
}

void
LoadWorld::Answer(const LinkKey& aLink, ServerAnswer aAnswer)
{
  const std::size_t server = connections_.at(aLink).server_;
  const bool isCurrent = server == 0 || !replicasBehind_;
  aAnswer.point_ = { 1, servers_[isCurrent ? 0 : server].position_ };
  ScheduleAfter(kNetDelay, [this, aLink, answer = std::move(aAnswer)] {
    StepRun(aLink.first, ServerLinkAnswered{ aLink.second, answer });
  });
}

void
LoadWorld::Submit(std::size_t aServer, Job aJob)
{
  Server& server = servers_[aServer];
  Connection& connection = connections_.at(aJob.link_);
  const bool isReplica = aServer != 0;
  // A caller's statement takes time in a slot.
  const bool takesSlot = aJob.opens_ || RunsStatement(aJob.command_.kind_);
  if (isReplica && replicasBehind_ && !aJob.opens_ &&
      aJob.command_.minPoint_ != LogPoint{}) {
    Answer(aJob.link_,
           connection.answers_.Answer(aJob.command_, SessionError::Behind));
    return;
  }
  if (!takesSlot) {
    Answer(aJob.link_, connection.answers_.Answer(aJob.command_));
    return;
  }
  if (!aJob.opens_ && server.queue_.size() >= config_.queue_) {
    Answer(aJob.link_,
           connection.answers_.Answer(aJob.command_, SessionError::Overloaded));
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
        caller->second.ran_ =
          !caller->second.transaction_ || job.command_.text_ == "commit";
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
  const auto connection = connections_.find(aJob.link_);
  if (connection != connections_.end() && aJob.opens_) {
    ScheduleAfter(kNetDelay, [this, link = aJob.link_] {
      StepRun(link.first, ServerLinkOpened{ link.second });
    });
  } else if (connection != connections_.end()) {
    const std::string& text = aJob.command_.text_;
    const bool writes = text == "write" || text == "commit";
    servers_[0].position_ += writes && aServer == 0 ? 1U : 0U;
    server.position_ = replicasBehind_ && aServer != 0 ? server.position_
                                                       : servers_[0].position_;
    Answer(aJob.link_, connection->second.answers_.Answer(aJob.command_));
  }
  RunNext(aServer);
}

// ---- Callers

void
LoadWorld::Arrive(std::size_t aClass)
{
  const LoadClass& kind = config_.classes_[aClass];
  const auto mean = Duration(
    static_cast<Duration::rep>(1'000'000 / (kind.perSecond_ * rateFactor_)));
  ScheduleAfter(DrawExponential(mean), [this, aClass] { Arrive(aClass); });
  std::uniform_real_distribution<> draw(0, 1);
  const std::uint64_t id = nextCaller_++;
  Caller& caller = callers_[id];
  caller.class_ = aClass;
  caller.arrivedAt_ = now_;
  caller.triesLeft_ = config_.retries_;
  caller.measured_ = measuring_;
  caller.writes_ = draw(random_) < kind.writeShare_;
  caller.transaction_ =
    kind.transactionShare_ > 0 && draw(random_) < kind.transactionShare_;
  Try(id);
}

void
LoadWorld::Try(std::uint64_t aCaller)
{
  Caller& caller = callers_.at(aCaller);
  caller.gateway_ = random_() % gateways_.size();
  caller.ran_ = false;
  caller.committing_ = false;
  caller.statementsLeft_ = caller.transaction_ ? config_.transactionLength_ : 0;
  if (!gateways_[caller.gateway_]) {
    SessionReply refused;
    refused.error_ = SessionError::Overloaded;
    FinishTry(aCaller, refused);
    return;
  }
  StepGateway(
    caller.gateway_,
    SessionOpenRequested{ aCaller, config_.classes_[caller.class_].name_ });
}

void
LoadWorld::SendNext(std::uint64_t aCaller, StatementKind aKind)
{
  SessionStatement statement;
  statement.kind_ = aKind;
  statement.id_ = fmt::format("{}", aCaller);
  statement.text_ = aKind == StatementKind::Write    ? "write"
                    : aKind == StatementKind::Commit ? "commit"
                                                     : "read";
  ScheduleAfter(1us, [this, aCaller, statement] {
    if (const auto found = callers_.find(aCaller); found != callers_.end()) {
      StepGateway(found->second.gateway_,
                  SessionStatementReceived{ aCaller, statement });
    }
  });
}

// Sends the transaction's next statement, or ends the try.
void
LoadWorld::HandleReply(std::uint64_t aCaller, const SessionReply& aReply)
{
  const auto found = callers_.find(aCaller);
  if (found == callers_.end()) {
    return; // its gateway was restarted
  }
  Caller& caller = found->second;
  if (aReply.error_ || !caller.transaction_ || caller.committing_) {
    FinishTry(aCaller, aReply);
    return;
  }
  StatementKind next = StatementKind::Commit;
  if (caller.statementsLeft_ > 0) {
    next = caller.writes_ && caller.statementsLeft_ == 1 ? StatementKind::Write
                                                         : StatementKind::Read;
    caller.statementsLeft_--;
  } else {
    caller.committing_ = true;
  }
  const bool isFirst = caller.statementsLeft_ + 1 == config_.transactionLength_;
  const Duration pause =
    isFirst ? 1us : DrawExponential(config_.transactionPause_);
  caller.paused_ += pause;
  ScheduleAfter(pause, [this, aCaller, next] {
    if (callers_.contains(aCaller)) {
      SendNext(aCaller, next);
    }
  });
}

// Ends a try of the caller: it is served, tries again, or gives up.
void
LoadWorld::FinishTry(std::uint64_t aCaller, const SessionReply& aReply)
{
  Caller caller = callers_.at(aCaller);
  callers_.erase(aCaller);
  StepGateway(caller.gateway_, SessionEnded{ aCaller });
  const LoadClass& kind = config_.classes_[caller.class_];
  const Duration taken = now_ - caller.arrivedAt_ - caller.paused_;
  const bool refused = aReply.error_ == SessionError::Overloaded ||
                       aReply.error_ == SessionError::Aborted;
  falseRefusals_ +=
    aReply.error_ == SessionError::Overloaded && caller.ran_ ? 1U : 0U;
  if (refused && caller.triesLeft_ > 0 &&
      taken + config_.retryDelay_ < kind.deadline_) {
    caller.triesLeft_--;
    const std::uint64_t id = nextCaller_++;
    callers_[id] = caller;
    ScheduleAfter(config_.retryDelay_, [this, id] {
      if (callers_.contains(id)) {
        Try(id);
      }
    });
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
