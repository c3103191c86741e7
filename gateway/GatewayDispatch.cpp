// Chooses for each waiting statement a server and a connection to it, and sends
// the statement.
//
// Sections:
//   1. The queue of waiting statements
//   2. Choice of the server
//   3. Connections and sending

#include "gateway/Gateway.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

namespace jaydoor {
namespace {

// Statements per slot that all VMs together may have on a server. Above 1, some
// wait on the server, so that no slot is idle between two statements.
constexpr double kStatementsPerSlot = 2;
// Share of a server's connections that the VMs divide among themselves. The
// rest is kept for changes of primary and for VMs that have just joined.
constexpr double kLinkShare = 0.85;
// Links of this VM to a server whose connection limit is not configured.
constexpr std::size_t kLinksWithoutLimit = 4;
// Links to one server that may be in the process of being opened.
constexpr std::size_t kMaxOpeningLinks = 2;
// Links beyond this VM's share while all others belong to transactions: a
// caller that rests inside one must not hold up the rest.
constexpr std::size_t kLinksBesideTransactions = 2;
// A link that holds more prepared statements is reset before its next use.
constexpr std::size_t kMaxPreparedPerLink = 128;

// Costs that are added to a server's expected response time.
//
// Another zone: latency, and the price of the traffic.
constexpr Duration kOtherZoneCost = 12ms;
// The primary: leaves room for statements that only it can run.
constexpr Duration kPrimaryCost = 6ms;
// No idle link: one has to be opened.
constexpr Duration kOpenLinkCost = 15ms;
// A replica that is not the VM's preferred one: if each VM used all replicas,
// each server would have a link from every VM.
constexpr Duration kUnpreferredCost = 12ms;
// A server that is leaving: used only if no other one can run the statement.
constexpr Duration kLeavingCost = 10s;

// The smoothed response time of a server that has not been heard from for
// kServiceTimeWindow is out of date: no more than kUsualServiceTime of it
// counts.
constexpr Duration kUsualServiceTime = 20ms;
constexpr Duration kServiceTimeWindow = 1s;
// Difference that a caller's clock may have to this one.
constexpr Duration kCallerClockSkew = 20ms;
// Dispatch() skips the rest of a kind of statements once this many of them
// could not be sent.
constexpr int kMaxMissesPerKind = 4;

// Tells the caller of a statement that is shed.
constexpr char kShedText[] =
  "the servers are overloaded: try again after 500 ms";
// Tells the caller of a statement that no server can run.
constexpr char kNoServerText[] =
  "the servers of the database are leaving or gone: try again after 2000 ms";

// Returns the name that a prepared statement has on servers. It depends only on
// the statement's text and on whether it writes, so that sessions with the same
// prepared statement share it.
std::string
MakePreparedName(bool aWrites, std::string_view aText)
{
  return fmt::format(
    "{}{:016x}", aWrites ? 'w' : 'r', XXH3_64bits(aText.data(), aText.size()));
}

} // namespace

// ---- 1. The queue of waiting statements

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

// Sends the group's waiting statements in queue order. Statements of a kind
// (primary-only, or by consistency) are skipped once several of them could not
// be sent.
void
Gateway::Dispatch(const DatabaseId& aGroup, Time aNow, GatewayActions& aOut)
{
  Group& group = groups_[aGroup];
  std::array<int, 4> missesByKind{};
  std::vector<WorkId> waiting;
  std::vector<WorkId> shed;
  std::vector<WorkId> unservable;
  waiting.reserve(group.queue_.size());
  for (const auto& key : group.queue_) {
    waiting.push_back(std::get<WorkId>(key));
  }
  for (const WorkId id : waiting) {
    const Work& work = work_.at(id);
    if (work.links_.empty() && IsUnservable(work, group, aNow)) {
      unservable.push_back(id);
      continue;
    }
    if (work.links_.empty() && IsShedByAll(work, group, aNow)) {
      shed.push_back(id);
      continue;
    }
    const std::size_t kind =
      work.needsPrimary_
        ? 0
        : 1 + static_cast<std::size_t>(work.route_.consistency_);
    if (missesByKind.at(kind) >= kMaxMissesPerKind) {
      continue;
    }
    if (!TrySend(id, aNow, aOut)) {
      missesByKind.at(kind)++;
    }
  }
  for (const WorkId id : shed) {
    if (work_.contains(id)) {
      counters_.shed_++;
      FailWork(id, SessionError::Overloaded, kShedText, aNow, aOut);
    }
  }
  for (const WorkId id : unservable) {
    if (work_.contains(id)) {
      FailWork(id, SessionError::Overloaded, kNoServerText, aNow, aOut);
    }
  }
}

// Sends the statement over an idle link if a server has room for it. Returns
// false if it stays in the queue; a link is opened if only that is missing.
bool
Gateway::TrySend(WorkId aId, Time aNow, GatewayActions& aOut)
{
  const Work& work = work_.at(aId);
  const auto choice = ChooseServer(work, groups_.at(work.route_.group_), aNow);
  if (!choice) {
    return false;
  }
  Server& server = servers_.at(choice->server_);
  if (server.idleLinks_.empty()) {
    OpenLink(server, aNow, aOut);
    return false;
  }
  // A link that already has the session's values saves a round trip.
  const auto session = sessions_.find(work.session_);
  auto chosen = server.idleLinks_.end() - 1;
  for (auto candidate = server.idleLinks_.end();
       candidate != server.idleLinks_.begin();) {
    --candidate;
    if (links_.at(*candidate).values_ == session->second.values_) {
      chosen = candidate;
      break;
    }
  }
  const ServerLinkId link = *chosen;
  server.idleLinks_.erase(chosen);
  Dequeue(aId);
  SendWork(aId, link, *choice, aNow, aOut);
  return true;
}

// ---- 2. Choice of the server

// Returns the log point that a server has to have reached to run the read, or
// nothing if no point is known that proves enough: then only the primary can.
std::optional<GroupLog::PrimaryPoint>
Gateway::FindRequiredPoint(const Work& aWork, const Group& aGroup) const
{
  auto required = aGroup.log_.FindPrimaryPoint(
    aWork.arrivedAt_ + kCallerClockSkew - aWork.route_.maxStaleness_);
  if (!required || aWork.route_.consistency_ != Consistency::ReadYourWrites) {
    return required;
  }
  const auto session = sessions_.find(aWork.session_);
  if (session == sessions_.end() || session->second.lastCommit_ == LogPoint{}) {
    return required;
  }
  // A commit of an earlier term is covered by the current term's first point,
  // if it was kept at all.
  LogPoint lastCommit = session->second.lastCommit_;
  if (lastCommit.term_ < aGroup.term_) {
    const auto termStart = aGroup.log_.TermStart();
    if (!termStart) {
      return std::nullopt;
    }
    lastCommit = *termStart;
  }
  if (lastCommit > required->point_) {
    required =
      GroupLog::PrimaryPoint{ session->second.lastCommitAt_, lastCommit };
  }
  return required;
}

bool
Gateway::IsInOwnZone(const Server& aServer) const
{
  return aServer.info_.zone() == config_.zone_;
}

// Returns how many statements this VM may run on the server at once: its part
// of kStatementsPerSlot statements per slot, rounded up.
std::size_t
Gateway::SlotShare(const Server& aServer) const
{
  const double share =
    aServer.info_.slots() * kStatementsPerSlot / static_cast<double>(holders_);
  return std::max<std::size_t>(1, static_cast<std::size_t>(share + 0.999));
}

// Returns how many connections all VMs together may have to the server.
std::size_t
Gateway::LinkBudget(const Server& aServer) const
{
  const std::size_t limit =
    catalog_ ? catalog_->ConnectionLimit(aServer.info_.database()) : 0;
  return limit == 0
           ? kLinksWithoutLimit * holders_
           : static_cast<std::size_t>(static_cast<double>(limit) * kLinkShare);
}

// Returns how many connections this VM may have to the server.
std::size_t
Gateway::LinkShare(const Server& aServer) const
{
  return std::max<std::size_t>(1, LinkBudget(aServer) / holders_);
}

// Returns true if this VM's number of links to the server allows one more.
bool
Gateway::MayOpenLink(const Server& aServer) const
{
  const std::size_t share = LinkShare(aServer);
  if (aServer.links_.size() < share) {
    return true;
  }
  return aServer.links_.size() < share + kLinksBesideTransactions &&
         std::all_of(
           aServer.links_.begin(), aServer.links_.end(), [&](ServerLinkId aId) {
             return links_.at(aId).state_ == LinkState::Pinned;
           });
}

// Returns true if the statement can be sent to the server now, or as soon as a
// link is opened that may be opened now.
bool
Gateway::HasRoom(const Server& aServer,
                 const DatabaseId& aGroup,
                 const Work& aWork,
                 Time aNow) const
{
  const bool inGroup = aServer.info_.database() == aGroup;
  const bool hasSlot =
    aServer.runningCount_ < static_cast<int>(SlotShare(aServer)) &&
    aNow >= aServer.fullUntil_;
  if (!inGroup || !hasSlot ||
      aWork.excludedServers_.contains(aServer.info_.server())) {
    return false;
  }
  return !aServer.idleLinks_.empty() ||
         (aNow >= aServer.blockedUntil_ &&
          aServer.openingCount_ < kMaxOpeningLinks && MayOpenLink(aServer));
}

// Returns true if the server may be sent new statements. One that is leaving
// may for a limited time, which counts from when it was last known to stay:
// news of it may be late, and a VM that was started since does not know when it
// began.
bool
Gateway::MayTakeWork(const Server& aServer, Time aNow) const
{
  if (aServer.isGone_ || IsViewOutdated(aNow)) {
    return false;
  }
  return !aServer.info_.leaving() ||
         aNow < aServer.stayingAt_ + config_.leavingServerLimit_;
}

// Returns true if no server of the group may take work, or if the statement
// needs the primary, that one may not, and no other is being promoted: a change
// of primary takes longer than statements can wait.
bool
Gateway::IsUnservable(const Work& aWork, const Group& aGroup, Time aNow) const
{
  const bool noServer = std::none_of(
    aGroup.servers_.begin(), aGroup.servers_.end(), [&](const ServerId& aId) {
      return MayTakeWork(servers_.at(aId), aNow);
    });
  const Server* primary = FindServer(aGroup.primary_);
  const bool isPrimaryRetired = primary != nullptr && primary->isRetired_ &&
                                !primary->isGone_ && !aGroup.changing_;
  return noServer || (isPrimaryRetired && (aWork.needsPrimary_ ||
                                           !FindRequiredPoint(aWork, aGroup)));
}

// Returns the replica of the group that this VM prefers among those in other
// zones: VMs are spread over the replicas by rendezvous hashing. Empty if there
// is none.
ServerId
Gateway::FindPreferredReplica(const Group& aGroup) const
{
  ServerId preferred;
  std::uint64_t highest = 0;
  for (const auto& id : aGroup.servers_) {
    const std::uint64_t score =
      XXH3_64bits_withSeed(id.data(), id.size(), config_.preferenceSeed_);
    if (id != aGroup.primary_ && (preferred.empty() || score > highest)) {
      preferred = id;
      highest = score;
    }
  }
  return preferred;
}

// Returns the expected time until an answer, plus the costs of another zone, of
// using the primary or a replica that is not preferred, and of opening a link.
// The response time includes the time in the server's queue, which other VMs
// fill as well.
Duration
Gateway::EstimateCost(const Server& aServer,
                      bool aPrimary,
                      bool aPreferred) const
{
  const bool recentlyHeard = tickedAt_ - aServer.heardAt_ < kServiceTimeWindow;
  const Duration responseTime =
    recentlyHeard ? aServer.serviceTime_
                  : std::min(aServer.serviceTime_, kUsualServiceTime);
  const auto slots = std::max(1U, aServer.info_.slots());
  Duration cost = responseTime + responseTime * aServer.runningCount_ / slots;
  cost += IsInOwnZone(aServer) ? 0us : kOtherZoneCost;
  cost += aPrimary ? kPrimaryCost : aPreferred ? 0us : kUnpreferredCost;
  cost += aServer.idleLinks_.empty() ? kOpenLinkCost : 0us;
  cost += aServer.info_.leaving() ? kLeavingCost : 0us;
  return cost;
}

// Returns true if the server is spared the statement because it is overloaded.
bool
Gateway::Sheds(const Server& aServer,
               const Group& aGroup,
               const Work& aWork,
               Time aNow) const
{
  if (!aServer.shedder_.IsShedding(aNow)) {
    return false;
  }
  // The level counts from the least urgent rank.
  const auto level = std::distance(
    aGroup.ranks_.upper_bound(aWork.route_.rank_), aGroup.ranks_.end());
  return aServer.shedder_.Sheds(
    static_cast<std::size_t>(level), aWork.shedTicket_, aNow);
}

// Returns true if each server that could run the statement is spared it.
bool
Gateway::IsShedByAll(const Work& aWork, const Group& aGroup, Time aNow) const
{
  const Server* primary = FindServer(aGroup.primary_);
  const bool primaryUsable = primary != nullptr &&
                             MayTakeWork(*primary, aNow) &&
                             HoldsLease(aGroup, aGroup.term_, aNow);
  if (!primaryUsable || !Sheds(*primary, aGroup, aWork, aNow)) {
    return false;
  }
  const auto required =
    aWork.needsPrimary_ ? std::nullopt : FindRequiredPoint(aWork, aGroup);
  return !required ||
         std::all_of(aGroup.servers_.begin(),
                     aGroup.servers_.end(),
                     [&](const ServerId& aId) {
                       const Server& server = servers_.at(aId);
                       const bool isUsable =
                         MayTakeWork(server, aNow) &&
                         !aWork.excludedServers_.contains(aId) &&
                         aGroup.log_.IsExpectedToHold(aId, *required, aNow);
                       return !isUsable || Sheds(server, aGroup, aWork, aNow);
                     });
}

// Returns the cheapest server that can run the statement now, or nothing.
std::optional<Gateway::ServerChoice>
Gateway::ChooseServer(const Work& aWork, const Group& aGroup, Time aNow)
{
  const Server* primary = FindServer(aGroup.primary_);
  const bool leased = primary != nullptr && !aGroup.changing_ &&
                      MayTakeWork(*primary, aNow) && !aGroup.leaseDrainUntil_ &&
                      HoldsLease(aGroup, aGroup.term_, aNow);
  const auto required =
    aWork.needsPrimary_ ? std::nullopt : FindRequiredPoint(aWork, aGroup);
  if (!required) {
    const bool fits = leased &&
                      HasRoom(*primary, aWork.route_.group_, aWork, aNow) &&
                      !Sheds(*primary, aGroup, aWork, aNow);
    return fits ? std::optional(ServerChoice{ aGroup.primary_, {}, aNow, true })
                : std::nullopt;
  }
  std::optional<ServerChoice> best;
  Duration bestCost{};
  for (const auto& id : aGroup.servers_) {
    const Server& server = servers_.at(id);
    const bool isPrimary = id == aGroup.primary_;
    const bool fits =
      MayTakeWork(server, aNow) &&
      HasRoom(server, aWork.route_.group_, aWork, aNow) &&
      !Sheds(server, aGroup, aWork, aNow) &&
      (isPrimary || aGroup.log_.IsExpectedToHold(id, *required, aNow));
    if (!fits) {
      continue;
    }
    const bool isPreferred =
      id == aGroup.preferredReplica_ || IsInOwnZone(server);
    const Duration cost = EstimateCost(server, isPrimary, isPreferred);
    if (!best || cost < bestCost) {
      best = ServerChoice{
        id, required->point_, required->at_, isPrimary && leased
      };
      bestCost = cost;
    }
  }
  return best;
}

// ---- 3. Connections and sending

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

// Sends the commands that give the link the session's values and, for an
// Execute, the prepared statement. Returns true if none was needed.
bool
Gateway::SetUpLink(const Session& aSession,
                   const SessionStatement& aStatement,
                   ServerLinkId aLink,
                   Time aNow,
                   GatewayActions& aOut)
{
  Link& link = links_.at(aLink);
  const std::size_t sentBefore = link.unanswered_.size();
  const bool hasExtraValues =
    std::any_of(link.values_.begin(), link.values_.end(), [&](auto& aValue) {
      return !aSession.values_.contains(aValue.first);
    });
  const bool inTransaction = aSession.txLink_ == aLink;
  if (!inTransaction &&
      (hasExtraValues || link.prepared_.size() > kMaxPreparedPerLink)) {
    SendCommand(aLink, ServerCommand(CommandKind::Reset), aNow, aOut);
    link.values_.clear();
    link.prepared_.clear();
  }
  for (const auto& [name, value] : aSession.values_) {
    const auto current = link.values_.find(name);
    if (current == link.values_.end() || current->second != value) {
      ServerCommand set(CommandKind::Set);
      set.name_ = name;
      set.argument_ = value;
      SendCommand(aLink, std::move(set), aNow, aOut);
      link.values_[name] = value;
    }
  }
  if (aStatement.kind_ == StatementKind::Execute) {
    const auto& prepared = aSession.prepared_.at(aStatement.name_);
    const std::string name = MakePreparedName(prepared.writes_, prepared.text_);
    if (link.prepared_.insert(name).second) {
      ServerCommand prepare(CommandKind::Prepare);
      prepare.name_ = name;
      prepare.argument_ = prepared.text_;
      prepare.writes_ = prepared.writes_;
      SendCommand(aLink, std::move(prepare), aNow, aOut);
    }
  }
  return link.unanswered_.size() == sentBefore;
}

// Returns the command that runs the statement on a server.
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
  command.name_ = MakePreparedName(prepared.writes_, prepared.text_);
  command.argument_ = aStatement.argument_;
  return command;
}

// Sends the statement over the link, after the commands that set up the link
// and begin the transaction where these are needed.
void
Gateway::SendWork(WorkId aId,
                  ServerLinkId aLink,
                  const ServerChoice& aChoice,
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
  link.minPointAt_ = aChoice.minPointAt_;
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
    begin.minPoint_ = aChoice.minPoint_;
    SendCommand(aLink, std::move(begin), aNow, aOut);
  } else if (session.txLink_ != aLink) {
    link.nextCommand_.minPoint_ = aChoice.minPoint_;
  }
  aOut.push_back(WriteLogEvent{
    Event::StatementRouted,
    fmt::format("id={} session={} server={} link={} since={}.{} attempt={} "
                "queued_ms={}",
                work.statement_.id_,
                work.session_,
                link.server_,
                aLink,
                aChoice.minPoint_.term_,
                aChoice.minPoint_.position_,
                work.attempts_,
                CountMs(aNow - work.arrivedAt_)) });
  SendNextCommand(aLink, aNow, aOut);
}

// Sends the link's next command if all earlier ones are answered.
void
Gateway::SendNextCommand(ServerLinkId aLink, Time aNow, GatewayActions& aOut)
{
  Link& link = links_.at(aLink);
  if (!link.hasNextCommand_ || !link.unanswered_.empty()) {
    return;
  }
  link.hasNextCommand_ = false;
  if (MaySendNextCommand(aLink, aNow)) {
    SendCommand(aLink, std::move(link.nextCommand_), aNow, aOut);
  } else {
    TakeBackWork(aLink, aNow, aOut);
  }
}

// Returns false if, while the link was set up, the statement was given up, its
// server ceased to take new work, or the lease that the statement needs ran out
// or was revoked. Statements of a transaction that has begun are sent all the
// same.
bool
Gateway::MaySendNextCommand(ServerLinkId aLink, Time aNow) const
{
  const Link& link = links_.at(aLink);
  const auto work = work_.find(link.work_);
  if (work == work_.end()) {
    return false;
  }
  const auto session = sessions_.find(link.session_);
  if (session != sessions_.end() && session->second.txLink_ == aLink) {
    return true;
  }
  const Group& group = groups_.at(work->second.route_.group_);
  const std::uint64_t leaseTerm = work->second.leaseTerm_;
  const bool leased = leaseTerm == 0 || (!group.leaseDrainUntil_ &&
                                         HoldsLease(group, leaseTerm, aNow));
  return leased && MayTakeWork(servers_.at(link.server_), aNow);
}

// Releases a link whose statement has not been sent, and queues the statement
// again.
void
Gateway::TakeBackWork(ServerLinkId aLink, Time aNow, GatewayActions& aOut)
{
  Link& link = links_.at(aLink);
  const WorkId id = std::exchange(link.work_, 0);
  FreeSlot(link);
  ReleaseLink(aLink, aNow, aOut);
  const auto work = work_.find(id);
  if (work != work_.end()) {
    work->second.links_.erase(aLink);
    RetryOrFailWork(
      id, SessionError::Overloaded, "the server or its lease ended", aNow, aOut);
  }
}

// Queues the first statement of a transaction again, to begin the transaction
// anew. The server on which it is open has refused the statement.
void
Gateway::RestartTransaction(WorkId aId, Time aNow, GatewayActions& aOut)
{
  Work& work = work_.at(aId);
  Session& session = sessions_.at(work.session_);
  const ServerLinkId link = std::exchange(session.txLink_, 0);
  session.txLeaseTerm_ = 0;
  session.txState_ = TxState::Begun;
  work.beginsTx_ = true;
  ReleaseLink(link, aNow, aOut);
  RetryOrFailWork(
    aId, SessionError::Overloaded, "the server is leaving", aNow, aOut);
}

} // namespace jaydoor
