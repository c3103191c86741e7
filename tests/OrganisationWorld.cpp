#include "tests/OrganisationWorld.h"

#include <algorithm>

namespace jaydoor::tests {
namespace {

constexpr std::size_t kServers = 3;
constexpr unsigned kSlots = 4;
constexpr std::size_t kConnections = 70;
constexpr Duration kOpening = 12ms;
constexpr Duration kNetwork = 500us;      // one way
constexpr Duration kShortCommand = 500us; // a begin or rollback
constexpr Duration kClosing = 5ms; // until a closed link is free at its server
constexpr std::array<Duration, 3> kWork = { 6ms, 18ms, 30ms };
constexpr std::array<Duration, 3> kTargets = { 150ms, 250ms, 1000ms };
constexpr std::array<Duration, 3> kLimits = { 800ms, 800ms, 2000ms };
constexpr Duration kLate = 250ms;
constexpr char kGroup[] = "db";

std::string
NameOrganisation(std::size_t aNumber)
{
  return "o" + std::to_string(aNumber);
}

std::string
NameDatabase(std::size_t aRank)
{
  return "rank-" + std::to_string(aRank);
}

std::string
NameServer(std::size_t aServer)
{
  return "server-" + std::to_string(aServer);
}

// The key of the organisation; the empty one has none.
KeyHash
KeyOf(const OrganisationId& aOrganisation)
{
  return HashKey("key of " + aOrganisation);
}

} // namespace

OrganisationWorld::OrganisationWorld(OrganisationWorldConfig aConfig)
  : Timeline(Time(1000s))
  , config_(aConfig)
  , random_(aConfig.seed_)
  , servers_(kServers)
  , callersAt_(aConfig.gateways_)
{
  ControlState state;
  std::uint64_t index = 0;
  for (std::size_t i = 0; i < kServers; i++) {
    wire::Change change;
    auto& info = *change.mutable_upstream()->mutable_upstream();
    info.set_server(NameServer(i));
    info.set_database(kGroup);
    info.set_zone("zone-" + std::to_string(i));
    info.set_slots(kSlots);
    change.set_index(++index);
    state.Apply(change);
  }
  wire::Change primary;
  primary.mutable_primary()->set_database(kGroup);
  primary.mutable_primary()->set_server(NameServer(0));
  primary.mutable_primary()->set_term(1);
  primary.set_index(++index);
  state.Apply(primary);
  catalog_.version_ = 1;
  catalog_.connectionLimits_[kGroup] = kConnections;
  for (std::size_t rank = 0; rank < kWork.size(); rank++) {
    CatalogDatabase database;
    database.name_ = NameDatabase(rank);
    database.group_ = kGroup;
    database.rank_ = static_cast<int>(rank);
    database.consistency_ = config_.primaryOnly_
                              ? Consistency::Primary
                              : Consistency::BoundedStaleness;
    database.maxStaleness_ = 3s;
    database.statementLimit_ = kLimits.at(rank);
    database.latencyTarget_ = kTargets.at(rank);
    catalog_.databases_[database.name_] = database;
  }
  for (std::size_t i = 0; i < config_.organisations_; i++) {
    owners_.push_back(NameOrganisation(i));
  }
  ownersAt_.resize(config_.gateways_);
  versionAt_.resize(config_.gateways_);
  changing_ = config_.changing_;
  view_ = BuildFleetView(state, {}, true);
  std::discrete_distribution<std::size_t> rankOf(config_.shareByRank_.begin(),
                                                 config_.shareByRank_.end());
  for (std::size_t i = 0; i < config_.gateways_; i++) {
    gateways_.push_back(std::make_unique<Gateway>(GatewayConfig{
      .zone_ = "zone-" + std::to_string(i % kServers), .preferenceSeed_ = i }));
    Adopt(i, MakeCatalog(), owners_);
    Grant(i);
    for (std::size_t j = 0; j < config_.sessionsPerVm_; j++) {
      const std::size_t number = callers_.size();
      Caller& caller = callers_.emplace_back();
      caller.gateway_ = i;
      caller.rank_ = rankOf(random_);
      if (config_.organisations_ > 0) {
        caller.number_ =
          (i * config_.organisationsAtVm_ + j % config_.organisationsAtVm_) %
          config_.organisations_;
      }
      callersAt_[i].push_back(number);
      OpenSession(number);
    }
    ScheduleAfter(Duration(static_cast<std::int64_t>(i) * 100),
                  [this, i] { TickGateway(i); });
    Arrive(i);
  }
  if (changing_) {
    ChangeKeys();
    LoseLinks();
  }
}

// ---- Keys

CatalogPtr
OrganisationWorld::MakeCatalog()
{
  if (config_.organisations_ > 0) {
    catalog_.organisations_.emplace();
    for (std::size_t i = 0; i < owners_.size(); i++) {
      catalog_.organisations_->Add(NameOrganisation(i), {});
    }
    for (std::size_t i = 0; i < owners_.size(); i++) {
      if (!owners_[i].empty()) {
        catalog_.organisations_->AddKey(owners_[i], KeyOf(NameOrganisation(i)));
      }
    }
  }
  return std::make_shared<Catalog>(catalog_);
}

void
OrganisationWorld::Adopt(std::size_t aGateway,
                         const CatalogPtr& aCatalog,
                         const std::vector<OrganisationId>& aOwners)
{
  if (aCatalog->version_ > versionAt_[aGateway]) {
    versionAt_[aGateway] = aCatalog->version_;
    ownersAt_[aGateway] = aOwners;
  }
  StepGateway(aGateway, FleetOrCatalogChanged{ view_, aCatalog });
}

// Each gateway learns of the new configuration at another time, some of them
// after a later one.
void
OrganisationWorld::Publish()
{
  catalog_.version_++;
  const CatalogPtr catalog = MakeCatalog();
  for (std::size_t i = 0; i < gateways_.size(); i++) {
    const Duration delay(static_cast<std::int64_t>(random_() % 400'000));
    ScheduleAfter(delay, [this, i, catalog, owners = owners_] {
      Adopt(i, catalog, owners);
    });
  }
}

void
OrganisationWorld::ChangeKeys()
{
  if (!changing_) {
    return;
  }
  const std::size_t key = random_() % owners_.size();
  if (owners_[key].empty()) {
    owners_[key] = NameOrganisation(key);
  } else if (random_() % 3 == 0) {
    owners_[key] = NameOrganisation(random_() % owners_.size());
  } else {
    owners_[key].clear();
  }
  Publish();
  ScheduleAfter(100ms, [this] { ChangeKeys(); });
}

void
OrganisationWorld::EndChanges()
{
  changing_ = false;
  for (std::size_t i = 0; i < owners_.size(); i++) {
    owners_[i] = NameOrganisation(i);
  }
  Publish();
}

void
OrganisationWorld::LoseLinks()
{
  if (!changing_) {
    return;
  }
  if (!connections_.empty()) {
    const auto lost =
      std::next(connections_.begin(),
                static_cast<std::ptrdiff_t>(random_() % connections_.size()));
    const ConnectionKey key = lost->first;
    const std::size_t server = lost->second.server_;
    servers_[server].connections_ -= lost->second.open_ ? 1U : 0U;
    linksOf_[key.first * kServers + server]--;
    connections_.erase(lost);
    StepGateway(key.first, ServerLinkLost{ key.second, {} });
  }
  ScheduleAfter(50ms, [this] { LoseLinks(); });
}

// ---- Gateways

void
OrganisationWorld::StepGateway(std::size_t aGateway, GatewayEvent aEvent)
{
  GatewayActions actions;
  gateways_[aGateway]->Step(std::move(aEvent), now_, actions);
  for (auto& action : actions) {
    Perform(aGateway, action);
  }
}

void
OrganisationWorld::TickGateway(std::size_t aGateway)
{
  StepGateway(aGateway, GatewayTick{});
  ScheduleAt(gateways_[aGateway]->NextWake(now_),
             [this, aGateway] { TickGateway(aGateway); });
}

// The leader answers a lease request.
void
OrganisationWorld::Grant(std::size_t aGateway)
{
  wire::LeaseGrant grant;
  grant.set_holders(static_cast<std::uint32_t>(config_.holders_));
  grant.set_sent_us(now_.time_since_epoch().count());
  grant.set_incarnation(1);
  auto& lease = *grant.add_leases();
  lease.set_database(kGroup);
  lease.set_server(NameServer(0));
  lease.set_term(1);
  lease.set_duration_us(Duration(1s).count());
  grant.set_list_id(1);
  StepGateway(aGateway, LeaseGrantReceived{ grant });
}

// The next statement of one of the gateway's callers that are not waiting.
void
OrganisationWorld::Arrive(std::size_t aGateway)
{
  if (config_.statementsPerSecond_ <= 0) {
    return;
  }
  std::exponential_distribution<double> pause(config_.statementsPerSecond_);
  ScheduleAfter(Duration(static_cast<std::int64_t>(pause(random_) * 1e6)),
                [this, aGateway] {
                  const auto& callers = callersAt_[aGateway];
                  const std::size_t first = random_() % callers.size();
                  for (std::size_t i = 0; i < callers.size(); i++) {
                    if (Send(callers[(first + i) % callers.size()])) {
                      break;
                    }
                  }
                  Arrive(aGateway);
                });
}

void
OrganisationWorld::OpenSession(std::size_t aCaller)
{
  Caller& caller = callers_[aCaller];
  const SessionId session = nextSession_++;
  caller.session_ = session;
  caller.state_ = TransactionState::Idle;
  callerOf_[session] = aCaller;
  StepGateway(caller.gateway_,
              SessionOpenRequested{ session,
                                    NameDatabase(caller.rank_),
                                    KeyOf(NameOrganisation(caller.number_)) });
}

// The caller's session has ended; it opens a new one a little later.
void
OrganisationWorld::HandleClosed(SessionId aSession)
{
  const std::size_t number = callerOf_.at(aSession);
  Caller& caller = callers_[number];
  totals_.closed_++;
  totals_.unanswered_ += caller.waiting_ ? 1U : 0U;
  callerOf_.erase(aSession);
  caller.session_ = 0;
  caller.open_ = false;
  caller.waiting_ = false;
  ScheduleAfter(200ms, [this, number] { OpenSession(number); });
}

StatementKind
OrganisationWorld::ChooseKind(Caller& aCaller)
{
  if (aCaller.state_ == TransactionState::Failed) {
    return StatementKind::Rollback;
  }
  if (aCaller.state_ == TransactionState::Open) {
    return aCaller.left_-- > 0 ? StatementKind::Read : StatementKind::Commit;
  }
  if (config_.changing_ && random_() % 4 == 0) {
    aCaller.left_ = static_cast<int>(1 + random_() % 3);
    return StatementKind::Begin;
  }
  return StatementKind::Read;
}

bool
OrganisationWorld::Send(std::size_t aCaller)
{
  Caller& caller = callers_.at(aCaller);
  if (caller.waiting_ || !caller.open_) {
    return false;
  }
  caller.waiting_ = true;
  caller.sentAt_ = now_;
  SessionStatement statement;
  statement.kind_ = ChooseKind(caller);
  statement.id_ = std::to_string(aCaller);
  statement.text_ =
    statement.kind_ == StatementKind::Commit ? "COMMIT" : "READ";
  StepGateway(caller.gateway_,
              SessionStatementReceived{ caller.session_, statement });
  return true;
}

void
OrganisationWorld::HandleReply(const SendSessionReply& aReply)
{
  Caller& caller = callers_.at(callerOf_.at(aReply.session_));
  totals_.unanswered_ += caller.waiting_ ? 0U : 1U;
  caller.waiting_ = false;
  caller.state_ = aReply.reply_.state_;
  if (aReply.reply_.error_) {
    totals_.refused_++;
    totals_.refusedBy_[caller.organisation_]++;
    totals_.unauthorized_ +=
      aReply.reply_.error_ == SessionError::UnknownKey ? 1U : 0U;
    return;
  }
  totals_.done_++;
  totals_.doneBy_[caller.organisation_]++;
  totals_.latencyBy_[caller.organisation_] += now_ - caller.sentAt_;
  totals_.latency_ += now_ - caller.sentAt_;
  totals_.late_ += now_ - caller.sentAt_ > kLate ? 1U : 0U;
}

void
OrganisationWorld::Perform(std::size_t aGateway, GatewayAction& aAction)
{
  if (const auto* open = std::get_if<OpenServerLink>(&aAction)) {
    const ConnectionKey key{ aGateway, open->link_ };
    const auto server =
      static_cast<std::size_t>(std::stoul(open->server_.substr(7)));
    connections_[key] = {
      server,
      open->organisation_,
      false,
      ConnectionAnswers(fmt::format("{}.{}", key.first, key.second)),
    };
    totals_.opened_++;
    const std::size_t links = ++linksOf_[aGateway * kServers + server];
    totals_.mostLinks_ = std::max(totals_.mostLinks_, links);
    ScheduleAfter(kNetwork, [this, key] { Open(key); });
  } else if (const auto* close = std::get_if<CloseServerLink>(&aAction)) {
    const auto found = connections_.find({ aGateway, close->link_ });
    if (found == connections_.end()) {
      return;
    }
    const std::size_t server = found->second.server_;
    const bool counts = found->second.open_;
    connections_.erase(found);
    linksOf_[aGateway * kServers + server]--;
    ScheduleAfter(kClosing, [this, server, counts] {
      servers_[server].connections_ -= counts ? 1U : 0U;
    });
  } else if (const auto* send = std::get_if<SendServerCommand>(&aAction)) {
    Command({ aGateway, send->link_ }, send->command_);
  } else if (const auto* reply = std::get_if<SendSessionReply>(&aAction)) {
    HandleReply(*reply);
  } else if (const auto* accept = std::get_if<AcceptSession>(&aAction)) {
    Caller& caller = callers_.at(callerOf_.at(accept->session_));
    caller.open_ = true;
    if (config_.organisations_ > 0) {
      caller.organisation_ = ownersAt_[aGateway][caller.number_];
    }
  } else if (const auto* refuse = std::get_if<RefuseSession>(&aAction)) {
    totals_.unauthorized_++;
    HandleClosed(refuse->session_);
  } else if (const auto* closed = std::get_if<CloseSession>(&aAction)) {
    HandleClosed(closed->session_);
  } else if (std::holds_alternative<SendLeaseRequest>(aAction)) {
    ScheduleAfter(1ms, [this, aGateway] { Grant(aGateway); });
  }
}

// The server accepts the connection, which takes time of a slot, or refuses it
// because it has too many.
void
OrganisationWorld::Open(ConnectionKey aKey)
{
  const auto found = connections_.find(aKey);
  if (found == connections_.end()) {
    return;
  }
  const std::size_t server = found->second.server_;
  if (servers_[server].connections_ >= kConnections) {
    totals_.connectionLimits_++;
    connections_.erase(found);
    linksOf_[aKey.first * kServers + server]--;
    StepGateway(aKey.first,
                ServerLinkLost{ aKey.second, SessionError::ConnectionLimit });
    return;
  }
  servers_[server].connections_++;
  found->second.open_ = true;
  Enter(server, { kOpening, [this, aKey] {
                   if (connections_.contains(aKey)) {
                     StepGateway(aKey.first, ServerLinkOpened{ aKey.second });
                   }
                 } });
}

void
OrganisationWorld::Command(ConnectionKey aKey, const ServerCommand& aCommand)
{
  const auto found = connections_.find(aKey);
  if (found == connections_.end()) {
    return;
  }
  Connection& connection = found->second;
  const bool isStatement = aCommand.kind_ == CommandKind::Forward;
  Duration work = kShortCommand;
  if (isStatement) {
    const Caller& caller = callers_.at(std::stoul(aCommand.id_));
    work = kWork.at(caller.rank_);
    totals_.misused_ +=
      caller.organisation_ != connection.organisation_ ? 1U : 0U;
    totals_.revoked_ +=
      config_.organisations_ > 0 &&
          ownersAt_[aKey.first][caller.number_] != caller.organisation_
        ? 1U
        : 0U;
  }
  ServerAnswer answer = connection.answers_.Answer(aCommand);
  answer.point_ = { 1, 1 };
  Enter(connection.server_,
        { work, [this, aKey, answer] {
           if (connections_.contains(aKey)) {
             StepGateway(aKey.first, ServerLinkAnswered{ aKey.second, answer });
           }
         } });
}

void
OrganisationWorld::Enter(std::size_t aServer, Job aJob)
{
  servers_[aServer].queue_.push_back(std::move(aJob));
  RunNext(aServer);
}

void
OrganisationWorld::RunNext(std::size_t aServer)
{
  Server& server = servers_[aServer];
  if (server.queue_.empty() || server.running_ >= kSlots) {
    return;
  }
  Job job = std::move(server.queue_.front());
  server.queue_.pop_front();
  server.running_++;
  ScheduleAfter(job.work_, [this, aServer, end = std::move(job.end_)] {
    servers_[aServer].running_--;
    ScheduleAfter(kNetwork, end);
    RunNext(aServer);
  });
}

} // namespace jaydoor::tests
