// Which waiting statement goes to which server, and over which connection.
//
// Sections:
//   1. The queue
//   2. Where a statement may run
//   3. Connections and what they have to carry

#include "gateway/Gateway.h"

#include <algorithm>

#include <fmt/format.h>
#include <xxhash.h>

namespace jaydoor {
namespace {

// Statements that all VMs together may have at a server, for each slot: a few
// wait there, so that no slot is idle between two of them.
constexpr double kPerSlot = 2;
// Share of a server's connections that the VMs divide among themselves; the
// rest is for changes of primary and for VMs that have just joined.
constexpr double kLinkShare = 0.85;
constexpr std::size_t kLinksUnknown = 4; // no limit is configured
constexpr std::size_t kOpeningAtOnce = 2;
constexpr std::size_t kPreparedAtServer = 128; // then the names are reset
constexpr Duration kFarCost = 12ms;      // another zone: delay, and its price
constexpr Duration kPrimaryCost = 6ms;   // keeps room for what needs a primary
constexpr Duration kOpenCost = 15ms;     // no idle connection
constexpr Duration kUsualService = 20ms; // of a server not heard for a while
constexpr Duration kServiceForgotten = 1s;
constexpr Duration kAgeSlack = 20ms; // between a caller's clock and this one
constexpr int kMissesPerKind = 4;    // then the rest of the kind is passed over

// The name of a prepared statement at servers; sessions share it.
std::string
ServerNameOf(bool aWrites, std::string_view aShape)
{
  return fmt::format("{}{:016x}",
                     aWrites ? 'w' : 'r',
                     XXH3_64bits(aShape.data(), aShape.size()));
}

} // namespace

// ---- 1. The queue

void
Gateway::Enqueue(WorkId aId)
{
  Work& work = work_.at(aId);
  work.queued_ = true;
  const DatabaseId& group = work.route_.group_;
  groups_[group].queue_.insert({ work.route_.rank_, work.arrivedAt_, aId });
  groupsToDispatch_.insert(group);
}

void
Gateway::Dequeue(WorkId aId)
{
  Work& work = work_.at(aId);
  work.queued_ = false;
  groups_[work.route_.group_].queue_.erase(
    { work.route_.rank_, work.arrivedAt_, aId });
}

std::size_t
Gateway::CountWaiting() const
{
  std::size_t waiting = 0;
  for (const auto& [name, group] : groups_) {
    waiting += group.queue_.size();
  }
  return waiting;
}

// Offers what waits, in its order, until no server has room for its kind.
void
Gateway::Dispatch(const DatabaseId& aGroup, Time aNow, GatewayActions& aOut)
{
  Group& group = groups_[aGroup];
  std::array<int, 4> misses{};
  std::vector<WorkId> waiting;
  waiting.reserve(group.queue_.size());
  for (const auto& key : group.queue_) {
    waiting.push_back(std::get<WorkId>(key));
  }
  for (const WorkId id : waiting) {
    const Work& work = work_.at(id);
    const std::size_t kind =
      work.needsPrimary_
        ? 0
        : 1 + static_cast<std::size_t>(work.route_.consistency_);
    if (misses.at(kind) >= kMissesPerKind) {
      continue;
    }
    if (!TrySend(id, aNow, aOut)) {
      misses.at(kind)++;
    }
  }
}

bool
Gateway::TrySend(WorkId aId, Time aNow, GatewayActions& aOut)
{
  const Work& work = work_.at(aId);
  const auto place = ChooseServer(work, groups_.at(work.route_.group_), aNow);
  if (!place) {
    return false;
  }
  Server& server = servers_.at(place->server_);
  if (server.idleLinks_.empty()) {
    OpenLink(server, aNow, aOut);
    return false;
  }
  // A connection that carries what the session needs saves a round trip.
  const auto session = sessions_.find(work.session_);
  auto chosen = server.idleLinks_.end() - 1;
  for (auto at = server.idleLinks_.end(); at != server.idleLinks_.begin();) {
    --at;
    if (links_.at(*at).values_ == session->second.values_) {
      chosen = at;
      break;
    }
  }
  const ServerLinkId link = *chosen;
  server.idleLinks_.erase(chosen);
  Dequeue(aId);
  SendWork(aId, link, *place, aNow, aOut);
  return true;
}

// ---- 2. Where a statement may run

// The log point that a read has to show. None: only the primary proves it.
std::optional<GroupLog::PrimaryPoint>
Gateway::FindRequiredPoint(const Work& aWork, const Group& aGroup) const
{
  auto need = aGroup.log_.FindPrimaryPoint(aWork.arrivedAt_ + kAgeSlack -
                                           aWork.route_.maxStaleness_);
  if (!need || aWork.route_.consistency_ != Consistency::ReadYourWrites) {
    return need;
  }
  const auto session = sessions_.find(aWork.session_);
  if (session == sessions_.end() || session->second.lastCommit_ == LogPoint{}) {
    return need;
  }
  LogPoint own = session->second.lastCommit_;
  if (own.term_ < aGroup.term_) {
    const auto start = aGroup.log_.TermStart();
    if (!start) {
      return std::nullopt;
    }
    own = *start;
  }
  if (own > need->point_) {
    need = GroupLog::PrimaryPoint{ session->second.lastCommitAt_, own };
  }
  return need;
}

std::size_t
Gateway::SlotShare(const Server& aServer) const
{
  const double share =
    aServer.info_.slots() * kPerSlot / static_cast<double>(holders_);
  return std::max<std::size_t>(1, static_cast<std::size_t>(share + 0.999));
}

std::size_t
Gateway::LinkShare(const Server& aServer) const
{
  const std::size_t limit =
    catalog_ ? catalog_->ConnectionLimit(aServer.info_.database()) : 0;
  if (limit == 0) {
    return kLinksUnknown;
  }
  return std::max<std::size_t>(
    1,
    static_cast<std::size_t>(static_cast<double>(limit) * kLinkShare /
                             static_cast<double>(holders_)));
}

bool
Gateway::HasRoom(const Server& aServer,
                 const DatabaseId& aGroup,
                 const Work& aWork,
                 Time aNow) const
{
  const bool ours = aServer.info_.database() == aGroup;
  const bool slot =
    aServer.runningCount_ < static_cast<int>(SlotShare(aServer)) &&
    aNow >= aServer.fullUntil_;
  if (!ours || !slot ||
      aWork.excludedServers_.contains(aServer.info_.server())) {
    return false;
  }
  return !aServer.idleLinks_.empty() ||
         (aNow >= aServer.blockedUntil_ &&
          aServer.links_.size() < LinkShare(aServer) &&
          aServer.openingCount_ < kOpeningAtOnce);
}

// Expected time until an answer, with what another zone costs.
Duration
Gateway::EstimateCost(const Server& aServer, bool aPrimary) const
{
  const bool heard = tickedAt_ - aServer.heardAt_ < kServiceForgotten;
  const Duration service = heard
                             ? aServer.serviceTime_
                             : std::min(aServer.serviceTime_, kUsualService);
  const auto slots = std::max(1U, aServer.info_.slots());
  Duration cost = service * (aServer.runningCount_ + 1) / slots;
  cost += aServer.info_.zone() == config_.zone_ ? 0us : kFarCost;
  cost += aPrimary ? kPrimaryCost : 0us;
  cost += aServer.idleLinks_.empty() ? kOpenCost : 0us;
  return cost;
}

std::optional<Gateway::ServerChoice>
Gateway::ChooseServer(const Work& aWork, const Group& aGroup, Time aNow)
{
  const Server* primary = FindServer(aGroup.primary_);
  const bool leased = primary != nullptr && !aGroup.changing_ &&
                      !aGroup.leaseDrainUntil_ &&
                      HoldsLease(aGroup, aGroup.term_, aNow);
  const auto need =
    aWork.needsPrimary_ ? std::nullopt : FindRequiredPoint(aWork, aGroup);
  if (!need) {
    const bool fits =
      leased && HasRoom(*primary, aWork.route_.group_, aWork, aNow);
    return fits ? std::optional(ServerChoice{ aGroup.primary_, {}, aNow, true })
                : std::nullopt;
  }
  std::optional<ServerChoice> best;
  Duration bestCost{};
  for (const auto& id : aGroup.servers_) {
    const Server& server = servers_.at(id);
    const bool isPrimary = id == aGroup.primary_;
    const bool fits =
      !server.info_.leaving() &&
      HasRoom(server, aWork.route_.group_, aWork, aNow) &&
      (isPrimary || aGroup.log_.IsExpectedToHold(id, *need, aNow));
    if (!fits) {
      continue;
    }
    const Duration cost = EstimateCost(server, isPrimary);
    if (!best || cost < bestCost) {
      best = ServerChoice{ id, need->point_, need->at_, isPrimary && leased };
      bestCost = cost;
    }
  }
  return best;
}

// ---- 3. Connections and what they have to carry

void
Gateway::OpenLink(Server& aServer, Time aNow, GatewayActions& aOut)
{
  const ServerLinkId id = nextLink_++;
  Link& link = links_[id];
  link.server_ = aServer.info_.server();
  link.openedAt_ = aNow;
  link.sentAt_ = aNow;
  link.heardAt_ = aNow;
  aServer.links_.insert(id);
  aServer.openingCount_++;
  counters_.linksOpened_++;
  aOut.push_back(
    OpenServerLink{ id,
                    aServer.info_.host(),
                    static_cast<std::uint16_t>(aServer.info_.port()),
                    aServer.info_.database(),
                    aServer.info_.server() });
}

void
Gateway::SendCommand(ServerLinkId aLink,
                     ServerCommand aCommand,
                     Time aNow,
                     GatewayActions& aOut)
{
  Link& link = links_.at(aLink);
  if (link.unanswered_.empty()) {
    link.sentAt_ = aNow;
    const Group& group = groups_.at(servers_.at(link.server_).info_.database());
    const bool leased =
      group.primary_ == link.server_ && HoldsLease(group, group.term_, aNow);
    link.sentLeaseTerm_ = leased ? group.term_ : 0;
  }
  link.unanswered_.push_back(aCommand.kind_);
  aOut.push_back(SendServerCommand{ aLink, std::move(aCommand) });
}

// Sends what makes the connection carry the session's values, and the
// statement's name. True if nothing was needed.
bool
Gateway::SetUpLink(const Session& aSession,
                   const SessionStatement& aStatement,
                   ServerLinkId aLink,
                   Time aNow,
                   GatewayActions& aOut)
{
  Link& link = links_.at(aLink);
  const std::size_t before = link.unanswered_.size();
  const bool foreign =
    std::any_of(link.values_.begin(), link.values_.end(), [&](auto& aValue) {
      return !aSession.values_.contains(aValue.first);
    });
  const bool open = aSession.txLink_ == aLink; // inside a transaction
  if (!open && (foreign || link.prepared_.size() > kPreparedAtServer)) {
    SendCommand(aLink, ServerCommand(CommandKind::Reset), aNow, aOut);
    link.values_.clear();
    link.prepared_.clear();
  }
  for (const auto& [name, value] : aSession.values_) {
    const auto known = link.values_.find(name);
    if (known == link.values_.end() || known->second != value) {
      ServerCommand set(CommandKind::Set);
      set.name_ = name;
      set.argument_ = value;
      SendCommand(aLink, std::move(set), aNow, aOut);
      link.values_[name] = value;
    }
  }
  if (aStatement.kind_ == StatementKind::Execute) {
    const auto& prepared = aSession.prepared_.at(aStatement.name_);
    const std::string name = ServerNameOf(prepared.writes_, prepared.text_);
    if (link.prepared_.insert(name).second) {
      ServerCommand prepare(CommandKind::Prepare);
      prepare.name_ = name;
      prepare.argument_ = prepared.text_;
      prepare.writes_ = prepared.writes_;
      SendCommand(aLink, std::move(prepare), aNow, aOut);
    }
  }
  return link.unanswered_.size() == before;
}

ServerCommand
Gateway::BuildCommand(const Session& aSession,
                      const SessionStatement& aStatement) const
{
  ServerCommand command;
  command.id_ = aStatement.id_;
  if (aStatement.kind_ != StatementKind::Execute) {
    command.text_ = aStatement.text_;
    return command;
  }
  const auto& prepared = aSession.prepared_.at(aStatement.name_);
  command.kind_ = CommandKind::Execute;
  command.name_ = ServerNameOf(prepared.writes_, prepared.text_);
  command.argument_ = aStatement.argument_;
  return command;
}

void
Gateway::SendWork(WorkId aId,
                  ServerLinkId aLink,
                  const ServerChoice& aPlace,
                  Time aNow,
                  GatewayActions& aOut)
{
  Work& work = work_.at(aId);
  Session& session = sessions_.at(work.session_);
  Link& link = links_.at(aLink);
  Server& server = servers_.at(link.server_);
  if (!link.holdsSlot_) {
    link.holdsSlot_ = true;
    server.runningCount_++;
  }
  if (!work.wasSent_) {
    work.wasSent_ = true;
    work.firstSentAt_ = aNow;
  }
  work.attempts_++;
  work.links_.insert(aLink);
  const Group& group = groups_.at(work.route_.group_);
  if (work.beginsTx_) {
    link.state_ = LinkState::Pinned;
    session.txLeaseTerm_ = work.needsPrimary_ ? group.term_ : 0;
  } else if (session.txLink_ != aLink) {
    link.state_ = LinkState::Running;
  }
  work.leaseTerm_ = session.txLink_ == aLink ? session.txLeaseTerm_
                    : work.needsPrimary_     ? group.term_
                                             : 0;
  link.session_ = work.session_;
  link.work_ = aId;
  link.minPointAt_ = aPlace.minPointAt_;
  if (session.txLink_ != aLink) {
    (link.server_ == group.primary_ ? counters_.primaryReads_
                                    : counters_.replicaReads_)++;
  }
  SetUpLink(session, work.statement_, aLink, aNow, aOut);
  link.nextCommand_ = BuildCommand(session, work.statement_);
  link.hasNextCommand_ = true;
  if (work.beginsTx_) {
    ServerCommand begin(session.txReadOnly_ ? CommandKind::BeginReadOnly
                                            : CommandKind::Begin);
    begin.minPoint_ = aPlace.minPoint_;
    SendCommand(aLink, std::move(begin), aNow, aOut);
  } else if (session.txLink_ != aLink) {
    link.nextCommand_.minPoint_ = aPlace.minPoint_;
  }
  aOut.push_back(WriteLogEvent{
    Event::StatementRouted,
    fmt::format("id={} session={} server={} link={} since={}.{} attempt={} "
                "queued_ms={}",
                work.statement_.id_,
                work.session_,
                link.server_,
                aLink,
                aPlace.minPoint_.term_,
                aPlace.minPoint_.position_,
                work.attempts_,
                CountMs(aNow - work.arrivedAt_)) });
  SendNextCommand(aLink, aNow, aOut);
}

// Sends the statement once all that has to come before it is answered.
void
Gateway::SendNextCommand(ServerLinkId aLink, Time aNow, GatewayActions& aOut)
{
  Link& link = links_.at(aLink);
  if (link.hasNextCommand_ && link.unanswered_.empty()) {
    link.hasNextCommand_ = false;
    SendCommand(aLink, std::move(link.nextCommand_), aNow, aOut);
  }
}

} // namespace jaydoor
