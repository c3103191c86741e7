// Chooses for each waiting statement a server and a connection to it.
//
// Sections:
//   1. The queue of waiting statements
//   2. Choice of the server

#include "gateway/Gateway.h"

#include <algorithm>
#include <cmath>
#include <utility>

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
// Links beyond this VM's share while all others belong to transactions: a
// caller that rests inside one must not hold up the rest.
constexpr std::size_t kLinksBesideTransactions = 2;

// Difference that a caller's clock may have to this one.
constexpr Duration kCallerClockSkew = 20ms;
// The ticket of the choice of a server: the lower bits of the one for shedding.
constexpr double kTicketScale = 256;
// Dispatch() skips the rest of a kind of statements once this many of them
// could not be sent.
constexpr int kMaxMissesPerKind = 4;

// Tells the caller of a statement that is shed.
constexpr std::string_view kShedText =
  "the servers are overloaded: try again after 500 ms";
// Tells the caller of a statement that no server can run.
constexpr std::string_view kNoServerText =
  "the servers of the database are leaving or gone: try again after 2000 ms";

} // namespace

// ---- 1. The queue of waiting statements

void
Gateway::Enqueue(WorkId aId)
{
  Work& work = work_.at(aId);
  work.queued_ = true;
  const DatabaseId& group = work.route_.group_;
  groups_[group].queue_.insert({ work.route_.rank_, work.arrivedAt_, aId });
  if (UsesOrganisations()) {
    groups_[group].waiting_[work.organisation_]++;
    work.isCounted_ = true;
  }
  groupsToDispatch_.insert(group);
}

void
Gateway::Dequeue(WorkId aId)
{
  Work& work = work_.at(aId);
  work.queued_ = false;
  Group& group = groups_[work.route_.group_];
  group.queue_.erase({ work.route_.rank_, work.arrivedAt_, aId });
  if (std::exchange(work.isCounted_, false) &&
      --group.waiting_.at(work.organisation_) == 0) {
    group.waiting_.erase(work.organisation_);
  }
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

// Returns the group's waiting statements in the order in which they are to be
// sent.
std::vector<Gateway::WorkId>
Gateway::ListWaiting(const Group& aGroup) const
{
  std::vector<WorkId> waiting;
  waiting.reserve(aGroup.queue_.size());
  if (!UsesOrganisations()) {
    for (const auto& key : aGroup.queue_) {
      waiting.push_back(std::get<WorkId>(key));
    }
    return waiting;
  }
  std::vector<FairOrder::Entry> entries;
  entries.reserve(aGroup.queue_.size());
  for (const auto& [rank, arrivedAt, id] : aGroup.queue_) {
    entries.push_back({ rank, work_.at(id).organisation_, id });
  }
  aGroup.order_.Arrange(entries);
  for (const auto& entry : entries) {
    waiting.push_back(entry.id_);
  }
  return waiting;
}

// Sends the group's waiting statements in their order. Statements of a kind
// (primary-only, or by consistency) are skipped once several of them could not
// be sent.
void
Gateway::Dispatch(const DatabaseId& aGroup, Time aNow, GatewayActions& aOut)
{
  if (AwaitsProof()) {
    return;
  }
  Group& group = groups_[aGroup];
  if (!MayStartWork(aNow)) {
    RefuseWaiting(group, aNow, aOut);
    return;
  }
  // By organisation, so that one whose links are all in use does not hold up
  // the others.
  std::map<OrganisationId, std::array<int, 4>> missesByKind;
  const std::vector<WorkId> waiting = ListWaiting(group);
  const Outage outage = FindOutage(group, aNow);
  std::vector<std::pair<WorkId, std::string_view>> refused;
  for (const WorkId id : waiting) {
    const Work& work = work_.at(id);
    const std::string_view refusal =
      work.links_.empty() ? FindRefusal(work, group, outage, aNow) : "";
    if (!refusal.empty()) {
      refused.emplace_back(id, refusal);
      continue;
    }
    const std::size_t kind =
      work.needsPrimary_
        ? 0
        : 1 + static_cast<std::size_t>(work.route_.consistency_);
    int& misses = missesByKind[work.organisation_].at(kind);
    if (misses < kMaxMissesPerKind && !TrySend(id, aNow, aOut)) {
      misses++;
    }
  }
  for (const auto& [id, refusal] : refused) {
    if (work_.contains(id)) {
      counters_.shed_ += refusal == kShedText ? 1U : 0U;
      FailWork(id, SessionError::Overloaded, std::string(refusal), aNow, aOut);
    }
  }
}

// Returns why a waiting statement is refused, empty if it is not.
std::string_view
Gateway::FindRefusal(const Work& aWork,
                     const Group& aGroup,
                     Outage aOutage,
                     Time aNow) const
{
  const bool isUnservable =
    aOutage == Outage::Full ||
    (aOutage == Outage::Primary &&
     (aWork.needsPrimary_ || !FindRequiredPoint(aWork, aGroup)));
  return isUnservable                       ? kNoServerText
         : IsShedByAll(aWork, aGroup, aNow) ? kShedText
                                            : "";
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
  const LinkVerdict verdict = FindLink(server, work, aNow);
  if (verdict != LinkVerdict::Use) {
    OpenLinkFor(work, server, verdict, aNow, aOut);
    return false;
  }
  // A link that already has the session's values saves a round trip.
  const auto session = sessions_.find(work.session_);
  auto chosen = server.idleLinks_.end();
  for (auto candidate = server.idleLinks_.end();
       candidate != server.idleLinks_.begin();) {
    --candidate;
    const Link& link = links_.at(*candidate);
    if (link.organisation_ != work.organisation_) {
      continue;
    }
    const bool hasValues = session->second.state_.HasValues(link.values_);
    if (hasValues || chosen == server.idleLinks_.end()) {
      chosen = candidate;
    }
    if (hasValues) {
      break;
    }
  }
  const ServerLinkId link = *chosen;
  server.idleLinks_.erase(chosen);
  Dequeue(aId);
  if (UsesOrganisations() && !work.wasSent_) {
    groups_.at(work.route_.group_)
      .order_.RecordStart(work.route_.rank_, work.organisation_);
  }
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
  if (!UsesOrganisations()) {
    return std::max<std::size_t>(1, LinkBudget(aServer) / holders_);
  }
  constexpr std::uint64_t kRange = 1U << 16U;
  const ServerId& id = aServer.info_.server();
  const std::uint64_t hash =
    XXH3_64bits_withSeed(id.data(), id.size(), config_.preferenceSeed_);
  return DivideLinks(LinkBudget(aServer),
                     holders_,
                     static_cast<double>(hash % kRange) /
                       static_cast<double>(kRange));
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
  return FindLink(aServer, aWork, aNow) != LinkVerdict::Wait;
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

// Returns true if the primary can be used under this VM's lease.
bool
Gateway::IsPrimaryLeased(const Group& aGroup, Time aNow) const
{
  const Server* primary = FindServer(aGroup.primary_);
  return primary != nullptr && !aGroup.changing_ &&
         MayTakeWork(*primary, aNow) && !aGroup.leaseDrainUntil_ &&
         HoldsLease(aGroup, aGroup.term_, aNow);
}

// Returns why the server can't run the statement now, empty if it can.
// `aRequired` is null if only the primary can.
std::string_view
Gateway::FindObstacle(const ServerId& aId,
                      const Work& aWork,
                      const Group& aGroup,
                      const GroupLog::PrimaryPoint* aRequired,
                      Time aNow) const
{
  const Server& server = servers_.at(aId);
  const bool isPrimary = aId == aGroup.primary_;
  if (aRequired == nullptr && !isPrimary) {
    return "only the primary can run the statement";
  }
  if (aRequired == nullptr && !IsPrimaryLeased(aGroup, aNow)) {
    return "no lease on the primary";
  }
  if (!MayTakeWork(server, aNow)) {
    return server.info_.leaving() ? "leaving" : "gone, or the view is outdated";
  }
  if (aWork.excludedServers_.contains(aId)) {
    return "tried before";
  }
  if (!HasRoom(server, aWork.route_.group_, aWork, aNow)) {
    return aNow < server.fullUntil_ ? "refused a statement a moment ago"
           : server.runningCount_ >= static_cast<int>(SlotShare(server))
             ? "this VM's share of its slots is in use"
             : "no connection can be used or opened now";
  }
  if (Sheds(server, aGroup, aWork, aNow)) {
    return "overloaded: spared statements of this rank";
  }
  const bool isCurrent = aRequired == nullptr || isPrimary ||
                         aGroup.log_.IsExpectedToHold(aId, *aRequired, aNow);
  return isCurrent ? "" : "behind the required position";
}

// Returns the group's servers with what speaks against each of them, and what
// the choice among the others depends on.
std::vector<Gateway::ServerVerdict>
Gateway::JudgeServers(const Work& aWork,
                      const Group& aGroup,
                      const std::optional<GroupLog::PrimaryPoint>& aRequired,
                      Time aNow) const
{
  std::vector<ServerVerdict> verdicts;
  verdicts.reserve(aGroup.servers_.size());
  for (const auto& id : aGroup.servers_) {
    const Server& server = servers_.at(id);
    const bool isInOwnZone = IsInOwnZone(server);
    const std::string_view obstacle =
      FindObstacle(id, aWork, aGroup, aRequired ? &*aRequired : nullptr, aNow);
    const ServerOption option{
      .delay_ = server.delay_.At(aNow),
      .running_ = server.runningCount_,
      .slots_ = server.info_.slots(),
      .isInOwnZone_ = isInOwnZone,
      .isPrimary_ = id == aGroup.primary_,
      .isPreferred_ = isInOwnZone || id == aGroup.preferredReplica_,
      .link_ =
        obstacle.empty() ? FindLink(server, aWork, aNow) : LinkVerdict::Wait,
      .isScarce_ =
        IsShortOfConnections(server) && server.idleLinkPolicy_.IsScarce(aNow),
      .isLeaving_ = server.info_.leaving()
    };
    verdicts.push_back({ &id, &server, obstacle, option });
  }
  return verdicts;
}

// Returns the server that is to run the statement now, or nothing.
std::optional<Gateway::ServerChoice>
Gateway::ChooseServer(const Work& aWork, const Group& aGroup, Time aNow) const
{
  const auto required =
    aWork.needsPrimary_ ? std::nullopt : FindRequiredPoint(aWork, aGroup);
  auto verdicts = JudgeServers(aWork, aGroup, required, aNow);
  std::erase_if(verdicts, [](const ServerVerdict& aVerdict) {
    return !aVerdict.obstacle_.empty();
  });
  std::vector<ServerOption> options;
  options.reserve(verdicts.size());
  for (const auto& verdict : verdicts) {
    options.push_back(verdict.option_);
  }
  // Independent of which statements are shed, which the higher bits decide.
  const double ticket = std::fmod(aWork.shedTicket_ * kTicketScale, 1.0);
  const auto selected = SelectServer(options, ticket);
  if (!selected) {
    return std::nullopt;
  }
  const ServerId& id = *verdicts[*selected].id_;
  if (!required) {
    return ServerChoice{ id, {}, aNow, true };
  }
  const bool isLeased = id == aGroup.primary_ && IsPrimaryLeased(aGroup, aNow);
  return ServerChoice{ id, required->point_, required->at_, isLeased };
}

} // namespace jaydoor
