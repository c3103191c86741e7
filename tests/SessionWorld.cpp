#include "tests/SessionWorld.h"

#include <algorithm>

#include <fmt/format.h>

namespace jaydoor::tests {
namespace {

constexpr char kGroup[] = "db";
// Difference of the leader's clock to that of the gateways.
constexpr Duration kLeaderClockOffset = 777s;
constexpr Duration kNetDelay = 1ms;
constexpr Duration kConnectDelay = 12ms;
constexpr Duration kMaxRepeatDelay = 400ms; // of a second answer
constexpr Duration kPromoteDelay = 100ms;
constexpr Duration kReplaced = 1s; // then an old primary has heard of the new
constexpr Duration kAge = 1500ms;  // allowed to bounded reads
constexpr std::size_t kServers = 3;
constexpr const char* kDatabases[] = { "all", "own", "aged" };

std::string
ServerName(std::size_t aServer)
{
  return fmt::format("server-{}", aServer + 1);
}

CatalogPtr
MakeCatalog()
{
  auto catalog = std::make_shared<Catalog>();
  catalog->version_ = 1;
  catalog->connectionLimits_[kGroup] = 20;
  const Consistency kinds[] = { Consistency::Primary,
                                Consistency::ReadYourWrites,
                                Consistency::BoundedStaleness };
  for (std::size_t i = 0; i < 3; i++) {
    CatalogDatabase database;
    database.name_ = kDatabases[i];
    database.group_ = kGroup;
    database.consistency_ = kinds[i];
    database.maxStaleness_ = kAge;
    database.statementLimit_ = 1s;
    database.latencyTarget_ = 300ms;
    database.rank_ = static_cast<int>(i);
    catalog->databases_[database.name_] = database;
  }
  return catalog;
}

} // namespace

SessionWorld::SessionWorld(SessionWorldConfig aConfig)
  : Timeline(Time(1000s))
  , config_(aConfig)
  , random_(aConfig.seed_)
  , servers_(kServers)
{
  servers_[0].primary_ = true;
  for (std::size_t i = 0; i < kServers; i++) {
    AnnounceServer(i);
  }
  wire::Change primary;
  primary.mutable_primary()->set_database(kGroup);
  primary.mutable_primary()->set_server(ServerName(0));
  primary.mutable_primary()->set_term(1);
  Apply(std::move(primary));
  for (std::size_t i = 0; i < config_.gateways_; i++) {
    wire::Change holder;
    holder.mutable_holder()->set_vm(fmt::format("vm-{}", i));
    holder.mutable_holder()->set_zone(fmt::format("zone-{}", i + 1));
    Apply(std::move(holder));
  }
  leases_.Reset(state_, 1, now_ - 10s);
  primaryPoints_.Reset(1);
  frozenUntil_.resize(config_.gateways_);
  viewHeldUntil_.resize(config_.gateways_);
  for (std::size_t i = 0; i < config_.gateways_; i++) {
    GatewayConfig config;
    config.zone_ = fmt::format("zone-{}", i + 1);
    config.incarnation_ = i + 1;
    gateways_.push_back(std::make_unique<Gateway>(config));
  }
  PublishFleet();
  for (std::size_t i = 0; i < config_.gateways_; i++) {
    TickGateway(i);
    for (std::size_t j = 0; j < config_.sessions_; j++) {
      Caller caller;
      caller.gateway_ = i;
      caller.session_ = j + 1;
      caller.name_ = fmt::format("caller-{}-{}", i, j);
      caller.database_ = kDatabases[j % 3];
      callers_.push_back(caller);
      StepGateway(i, SessionOpenRequested{ caller.session_, caller.database_ });
      const std::size_t index = callers_.size() - 1;
      ScheduleAfter(Duration(random_() % 50'000),
                    [this, index] { Act(index); });
    }
  }
  ScheduleAfter(1ms, [this] { Replicate(); });
  if (config_.faults_) {
    ScheduleAfter(300ms, [this] { Disturb(); });
  }
  if (config_.leavings_) {
    ScheduleAfter(500ms, [this] { LeaveServers(); });
  }
}

void
SessionWorld::AnnounceServer(std::size_t aServer)
{
  wire::Change change;
  auto& info = *change.mutable_upstream()->mutable_upstream();
  info.set_server(ServerName(aServer));
  info.set_database(kGroup);
  info.set_zone(fmt::format("zone-{}", aServer + 1));
  info.set_host("10.0.0.1");
  info.set_port(static_cast<std::uint32_t>(1000 + aServer));
  info.set_slots(config_.slots_);
  info.set_leaving(servers_[aServer].leavingSince_.has_value());
  Apply(std::move(change));
}

void
SessionWorld::Check(bool aHolds, const std::string& aWhat)
{
  if (!aHolds) {
    failures_.push_back(fmt::format(
      "{} ms: {}", CountMs(now_.time_since_epoch()) - 1'000'000, aWhat));
  }
}

// ---- Gateways

void
SessionWorld::StepGateway(std::size_t aGateway, GatewayEvent aEvent)
{
  if (now_ < frozenUntil_[aGateway]) {
    auto event = std::make_shared<GatewayEvent>(std::move(aEvent));
    ScheduleAfter(frozenUntil_[aGateway] - now_, [this, aGateway, event] {
      StepGateway(aGateway, std::move(*event));
    });
    return;
  }
  GatewayActions actions;
  gateways_[aGateway]->Step(std::move(aEvent), now_, actions);
  for (auto& action : actions) {
    Perform(aGateway, action);
  }
}

void
SessionWorld::TickGateway(std::size_t aGateway)
{
  StepGateway(aGateway, GatewayTick{});
  ScheduleAfter(10ms, [this, aGateway] { TickGateway(aGateway); });
}

void
SessionWorld::PublishFleet()
{
  const FleetViewPtr view = BuildFleetView(state_, {}, true);
  for (std::size_t i = 0; i < gateways_.size(); i++) {
    if (now_ < viewHeldUntil_[i]) {
      continue;
    }
    ScheduleAfter(kNetDelay * (1 + random_() % 20), [this, i, view] {
      StepGateway(i, FleetOrCatalogChanged{ view, MakeCatalog() });
    });
  }
}

void
SessionWorld::Apply(wire::Change aChange)
{
  aChange.set_index(++index_);
  state_.Apply(aChange);
}

void
SessionWorld::Grant(std::size_t aGateway, const wire::LeaseRequest& aRequest)
{
  const std::string vm = fmt::format("vm-{}", aGateway);
  auto grant = leases_.Grant(vm, aRequest, state_, now_);
  if (!grant) {
    return;
  }
  grant->set_applied(state_.Index());
  primaryPoints_.Record(aRequest, now_ + kLeaderClockOffset);
  primaryPoints_.AddTo(vm, *grant, now_ + kLeaderClockOffset);
  ScheduleAfter(kNetDelay * (1 + random_() % 30), [this, aGateway, grant] {
    StepGateway(aGateway, LeaseGrantReceived{ *grant });
  });
}

void
SessionWorld::Perform(std::size_t aGateway, GatewayAction& aAction)
{
  if (auto* reply = std::get_if<SendSessionReply>(&aAction)) {
    for (std::size_t i = 0; i < callers_.size(); i++) {
      const Caller& caller = callers_[i];
      if (caller.gateway_ == aGateway && caller.session_ == reply->session_) {
        Answered(i, reply->reply_);
      }
    }
  } else if (auto* open = std::get_if<OpenServerLink>(&aAction)) {
    const ConnectionKey key{ aGateway, open->link_ };
    std::size_t server = 0;
    while (ServerName(server) != open->server_) {
      server++;
    }
    ScheduleAfter(kConnectDelay, [this, key, server] {
      if (servers_[server].up_) {
        Connection& connection = connections_[key];
        connection.server_ = server;
        connection.gateway_ = key.first;
        connection.answers_ =
          ConnectionAnswers(fmt::format("{}.{}", key.first, key.second));
        StepGateway(key.first, ServerLinkOpened{ key.second });
        RepeatAnswer(key, {});
      } else {
        StepGateway(key.first, ServerLinkLost{ key.second, {} });
      }
    });
  } else if (auto* send = std::get_if<SendServerCommand>(&aAction)) {
    const ConnectionKey key{ aGateway, send->link_ };
    ScheduleAfter(kNetDelay, [this, key, command = std::move(send->command_)] {
      Receive(key, command);
    });
  } else if (auto* close = std::get_if<CloseServerLink>(&aAction)) {
    const ConnectionKey key{ aGateway, close->link_ };
    ScheduleAfter(kNetDelay, [this, key] { connections_.erase(key); });
  } else if (auto* request = std::get_if<SendLeaseRequest>(&aAction)) {
    ScheduleAfter(kNetDelay, [this, aGateway, request = request->request_] {
      Grant(aGateway, request);
    });
  } else if (auto* release = std::get_if<SendLeaseRelease>(&aAction)) {
    ScheduleAfter(kNetDelay, [this, aGateway, release = release->release_] {
      leases_.HandleRelease(fmt::format("vm-{}", aGateway), release);
    });
  }
}

// ---- Servers

void
SessionWorld::Receive(ConnectionKey aKey, ServerCommand aCommand)
{
  const auto found = connections_.find(aKey);
  if (found == connections_.end() || !servers_[found->second.server_].up_) {
    return;
  }
  found->second.inbox_.push_back(std::move(aCommand));
  RunNext(aKey);
}

void
SessionWorld::RunNext(ConnectionKey aKey)
{
  const auto found = connections_.find(aKey);
  if (found == connections_.end() || found->second.busy_ ||
      found->second.inbox_.empty()) {
    return;
  }
  Connection& connection = found->second;
  Server& server = servers_[connection.server_];
  const CommandKind kind = connection.inbox_.front().kind_;
  const bool works = RunsStatement(kind);
  connection.busy_ = true;
  if (works && server.running_ >= config_.slots_) {
    ScheduleAfter(1ms, [this, aKey] {
      if (const auto at = connections_.find(aKey); at != connections_.end()) {
        at->second.busy_ = false;
        RunNext(aKey);
      }
    });
    return;
  }
  server.running_ += works ? 1U : 0U;
  const std::size_t index = connection.server_;
  const std::uint64_t run = server.run_;
  const Duration time =
    works ? config_.work_ + Duration(random_() % 4000) : Duration(50);
  ScheduleAfter(time, [this, aKey, index, run, works] {
    if (servers_[index].run_ != run) {
      return;
    }
    servers_[index].running_ -= works ? 1U : 0U;
    const auto at = connections_.find(aKey);
    if (at == connections_.end() || at->second.inbox_.empty()) {
      return;
    }
    const ServerCommand command = std::move(at->second.inbox_.front());
    at->second.inbox_.pop_front();
    at->second.busy_ = false;
    ServerAnswer answer = Execute(at->second, command);
    const bool lost = works && Draw(loss_);
    if (!lost) {
      AnswerLink(aKey, std::move(answer));
    }
    RunNext(aKey);
  });
}

void
SessionWorld::AnswerLink(ConnectionKey aKey, ServerAnswer aAnswer)
{
  RepeatAnswer(aKey, aAnswer);
  ScheduleAfter(kNetDelay, [this, aKey, answer = std::move(aAnswer)] {
    if (connections_.contains(aKey)) {
      StepGateway(aKey.first, ServerLinkAnswered{ aKey.second, answer });
    }
  });
}

// Gives some answers once more, later, while the connection is open.
void
SessionWorld::RepeatAnswer(ConnectionKey aKey, const ServerAnswer& aAnswer)
{
  if (config_.repeats_ == 0 || !Draw(config_.repeats_)) {
    return;
  }
  const Duration delay(random_() %
                       static_cast<std::uint64_t>(kMaxRepeatDelay.count()));
  ScheduleAfter(kNetDelay + delay, [this, aKey, answer = aAnswer] {
    if (connections_.contains(aKey)) {
      repeats_++;
      StepGateway(aKey.first, ServerLinkAnswered{ aKey.second, answer });
    }
  });
}

void
SessionWorld::LoseLink(ConnectionKey aKey)
{
  connections_.erase(aKey);
  StepGateway(aKey.first, ServerLinkLost{ aKey.second, {} });
}

bool
SessionWorld::Holds(const Server& aServer, LogPoint aPoint) const
{
  if (aPoint == LogPoint{} || aPoint.position_ == 0) {
    return true;
  }
  return aPoint.position_ <= aServer.log_.size() &&
         aServer.log_[aPoint.position_ - 1].point_.term_ <= aPoint.term_ &&
         aServer.term_ >= aPoint.term_;
}

ServerAnswer
SessionWorld::Execute(Connection& aConnection, const ServerCommand& aCommand)
{
  Server& server = servers_[aConnection.server_];
  std::optional<SessionError> error;
  switch (aCommand.kind_) {
    case CommandKind::Reset:
      aConnection.values_.clear();
      aConnection.prepared_.clear();
      break;
    case CommandKind::Set:
      aConnection.values_[aCommand.name_] = aCommand.argument_;
      break;
    case CommandKind::Prepare:
      aConnection.prepared_[aCommand.name_] = { aCommand.writes_,
                                                aCommand.argument_ };
      break;
    case CommandKind::Begin:
    case CommandKind::BeginReadOnly:
      if (!Holds(server, aCommand.minPoint_)) {
        error = SessionError::Behind;
      } else if (aCommand.kind_ == CommandKind::Begin && !server.primary_) {
        error = SessionError::ReadOnly;
      } else {
        Check(!aConnection.IsInside(), "a begin inside a transaction");
        aConnection.reads_ = aCommand.kind_ == CommandKind::BeginReadOnly;
        aConnection.writes_.clear();
        aConnection.owner_.clear();
      }
      break;
    case CommandKind::Rollback:
      aConnection.writes_.clear();
      break;
    default:
      error = config_.refusals_ > 0 && Draw(config_.refusals_)
                ? SessionError::Overloaded
                : ExecuteStatement(aConnection, aCommand);
      break;
  }
  ServerAnswer answer = aConnection.answers_.Answer(aCommand, error);
  answer.point_ = { server.term_, server.log_.size() };
  if (!answer.signature_.empty()) {
    const auto sent = statements_.find(aCommand.id_);
    if (sent != statements_.end() &&
        sent->second.kind_ == StatementKind::Read) {
      answer.rows_ = { aCommand.id_, answer.signature_ };
    }
    runs_[answer.signature_] = { aCommand.id_, answer.rows_ };
  }
  return answer;
}

// Returns the error of a statement that has not run.
std::optional<SessionError>
SessionWorld::ExecuteStatement(Connection& aConnection,
                               const ServerCommand& aCommand)
{
  Server& server = servers_[aConnection.server_];
  const auto known = statements_.find(aCommand.id_);
  if (known == statements_.end()) {
    Check(false, "a statement that nobody sent: " + aCommand.id_);
    return std::nullopt;
  }
  const SentStatement& statement = known->second;
  const Caller& caller = callers_[statement.caller_];
  const bool current = caller.waiting_ == aCommand.id_;
  const bool isNewWork = !aConnection.IsInside() || aConnection.owner_.empty();
  Check(!isNewWork || !server.leavingSince_ ||
          now_ - *server.leavingSince_ < kServerDrainBound,
        fmt::format("a statement reached {} after it had been leaving for too "
                    "long",
                    ServerName(aConnection.server_)));
  if (!Holds(server, aCommand.minPoint_)) {
    return SessionError::Behind;
  }
  bool writes = statement.kind_ == StatementKind::Write;
  if (aCommand.kind_ == CommandKind::Execute) {
    const auto prepared = aConnection.prepared_.find(aCommand.name_);
    if (prepared == aConnection.prepared_.end()) {
      Check(false, "an unknown prepared name was executed");
      return SessionError::NoStatement;
    }
    writes = prepared->second.first;
  }
  if (current) {
    Check(aConnection.values_ == caller.values_, "values of another session");
  }
  Check(aConnection.IsInside() == !statement.transaction_.empty(),
        "a statement outside its transaction: " + aCommand.id_);
  if (aConnection.IsInside()) {
    Check(aConnection.owner_.empty() ||
            aConnection.owner_ == statement.transaction_,
          fmt::format("a statement inside another transaction: {} in {}",
                      aCommand.id_,
                      aConnection.owner_));
    aConnection.owner_ = statement.transaction_;
  }
  if (aConnection.answers_.State() == TransactionState::Failed) {
    aConnection.writes_.clear();
    return std::nullopt; // the transaction's error is the answer
  }
  if (aConnection.IsInside() && !aConnection.reads_ && !server.primary_) {
    return SessionError::ReadOnly;
  }
  if (aCommand.endsTransaction_) {
    CommitAll(server, aConnection.writes_);
    aConnection.writes_.clear();
  } else if (writes) {
    if (!server.primary_ || (aConnection.IsInside() && aConnection.reads_)) {
      return SessionError::ReadOnly;
    }
    const Commit write{ {}, statement.item_, statement.value_ };
    if (aConnection.IsInside()) {
      aConnection.writes_.push_back(write);
    } else {
      CommitAll(server, { write });
    }
  } else if (current) {
    CheckRead(server, caller, aConnection);
  }
  return std::nullopt;
}

void
SessionWorld::CommitAll(Server& aServer, const std::vector<Commit>& aWrites)
{
  const bool replaced = aServer.term_ < servers_[Primary()].term_;
  for (Commit commit : aWrites) {
    commit.point_ = { aServer.term_, aServer.log_.size() + 1 };
    aServer.log_.push_back(commit);
    Fate& fate = fates_[commit.value_];
    fate.commits_++;
    fate.position_ = commit.point_.position_;
    fate.late_ |= replaced;
    Check(fate.commits_ == 1, "a write took effect twice: " + commit.value_);
    Check(!fate.refused_, "a write that was refused ran: " + commit.value_);
  }
}

// All that the read has to show has to be in the server's log.
void
SessionWorld::CheckRead(const Server& aServer,
                        const Caller& aCaller,
                        const Connection& aConnection)
{
  const auto shows = [&](const std::string& aValue, const Fate& aFate) {
    const bool logged = aFate.position_ > 0 && // else it was not committed
                        aFate.position_ <= aServer.log_.size() &&
                        aServer.log_[aFate.position_ - 1].value_ == aValue;
    return logged || std::any_of(aConnection.writes_.begin(),
                                 aConnection.writes_.end(),
                                 [&](const Commit& aWrite) {
                                   return aWrite.value_ == aValue;
                                 });
  };
  const bool all = aCaller.database_ == kDatabases[0];
  const Time limit = all ? aCaller.sentAt_ : aCaller.sentAt_ - kAge;
  const bool own = aCaller.database_ == kDatabases[1];
  for (const auto& value : acknowledged_) {
    const Fate& fate = fates_.at(value);
    const bool must =
      !fate.rolledBack_ &&
      (fate.acknowledgedAt_ < limit || (own && aCaller.own_.contains(value)));
    if (must) {
      Check(shows(value, fate),
            fmt::format("a read of '{}' lacks {} acknowledged {} ms before",
                        aCaller.database_,
                        value,
                        CountMs(aCaller.sentAt_ - fate.acknowledgedAt_)));
    }
  }
}

std::size_t
SessionWorld::Primary() const
{
  std::size_t best = 0;
  for (std::size_t i = 0; i < servers_.size(); i++) {
    const bool newer =
      servers_[i].primary_ &&
      (!servers_[best].primary_ || servers_[i].term_ > servers_[best].term_);
    best = newer ? i : best;
  }
  return best;
}

// Replicas take over the newest primary's log, one pass a lag.
void
SessionWorld::Replicate()
{
  const Server& primary = servers_[Primary()];
  if (primary.up_ && primary.primary_) {
    for (auto& server : servers_) {
      // A replica never follows a primary of an earlier term.
      const bool follows =
        server.up_ && !server.primary_ && server.term_ <= primary.term_;
      if (&server != &primary && follows) {
        server.log_ = primary.log_;
        server.term_ = primary.term_;
      }
    }
  }
  ScheduleAfter(config_.lag_, [this] { Replicate(); });
}

// ---- Changes of primary

void
SessionWorld::ChangePrimary(bool aStepDown)
{
  if (changing_) {
    return;
  }
  const std::size_t old = Primary();
  successor_ = kServers;
  for (std::size_t i = 0; i < kServers; i++) {
    const bool better =
      i != old && servers_[i].up_ &&
      (successor_ == kServers ||
       servers_[i].log_.size() > servers_[successor_].log_.size());
    successor_ = better ? i : successor_;
  }
  if (successor_ == kServers) {
    return;
  }
  changing_ = true;
  wire::Change intent;
  intent.mutable_intent()->set_database(kGroup);
  intent.mutable_intent()->set_term(servers_[old].term_ + 1);
  intent.mutable_intent()->set_server(ServerName(successor_));
  leases_.Fence(kGroup, servers_[old].term_);
  wire::LeaseRevoke revoke;
  revoke.set_leader_term(1);
  auto& lease = *revoke.add_leases();
  lease.set_database(kGroup);
  lease.set_server(ServerName(old));
  lease.set_term(servers_[old].term_);
  Apply(std::move(intent));
  for (std::size_t i = 0; i < gateways_.size(); i++) {
    ScheduleAfter(kNetDelay, [this, i, revoke] {
      StepGateway(i, LeaseRevocationReceived{ revoke });
    });
  }
  if (aStepDown && servers_[old].up_) {
    servers_[old].primary_ = false;
  }
  AwaitFree(!servers_[old].primary_ || !servers_[old].up_);
}

void
SessionWorld::AwaitFree(bool aStepDown)
{
  if (aStepDown || leases_.HasNoHolders(kGroup, now_)) {
    ScheduleAfter(kPromoteDelay, [this] { FinishPromotion(); });
    return;
  }
  ScheduleAfter(5ms, [this, aStepDown] { AwaitFree(aStepDown); });
}

void
SessionWorld::FinishPromotion()
{
  Server& next = servers_[successor_];
  if (!next.primary_) {
    std::uint64_t term = 0;
    for (const auto& server : servers_) {
      term = std::max(term, server.term_);
    }
    next.term_ = term + 1;
    next.primary_ = true;
    promotions_++;
    std::set<std::string> kept;
    for (const auto& commit : next.log_) {
      kept.insert(commit.value_);
    }
    for (auto& [value, fate] : fates_) {
      fate.rolledBack_ |= fate.commits_ > 0 && !kept.contains(value);
    }
    ScheduleAfter(kReplaced, [this] {
      for (std::size_t i = 0; i < kServers; i++) {
        servers_[i].primary_ = servers_[i].primary_ && i == Primary();
      }
    });
  }
  if (!leases_.HasNoHolders(kGroup, now_)) {
    ScheduleAfter(5ms, [this] { FinishPromotion(); });
    return;
  }
  changing_ = false;
  wire::Change primary;
  primary.mutable_primary()->set_database(kGroup);
  primary.mutable_primary()->set_server(ServerName(successor_));
  primary.mutable_primary()->set_term(next.term_);
  Apply(std::move(primary));
  PublishFleet();
}

} // namespace jaydoor::tests
