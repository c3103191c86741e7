// Handles what depends on time: timeouts of statements, transactions and links,
// hedging, suspected primaries and isolation. Also handles changes of
// the fleet view and the catalog.

#include "gateway/Gateway.h"

#include <algorithm>

#include <fmt/format.h>

namespace jaydoor {
namespace {

// Tick intervals.
constexpr Duration kBusyTickInterval = 10ms; // during statements or a drain
constexpr Duration kIdleTickInterval = 50ms; // otherwise
constexpr Duration kMinTickInterval = 1ms;

// A read is hedged after a multiple of its server's smoothed response time, but
// not before kMinHedgeDelay: twice the duration of the longest usual statement.
constexpr Duration kMinHedgeDelay = 120ms;
constexpr int kHedgeDelayFactor = 5;

// A VM is isolated once it has been cut off for this long.
constexpr Duration kIsolationDelay = 300ms;
// The same while the leader answers: it replaces primaries that can't be
// reached, and this is longer than such a change takes.
constexpr Duration kIsolationDelayWithLeader = 3s;
// Other zones are silent after this time without an answer from them. Then
// servers there are tested by new links.
constexpr Duration kOtherZonesSilence = 450ms;
constexpr int kMaxTestedServers = 3;
constexpr int kMinFailedTests = 2;
// The leader counts as answering for this long after an answer.
constexpr Duration kLeaderContactWindow = 600ms;

// The load balancer sends no new sessions after this many successive readiness
// probes were answered with false.
constexpr int kOutOfRotationProbes = 2;
// Probes that follow each other more closely count as one.
constexpr Duration kCountedProbeInterval = 700ms;
// Time that the load balancer takes to act on the last of these probes.
constexpr Duration kBalancerDelay = 50ms;

constexpr Duration kOpenTimeout = 300ms; // for the opening of a link
// A primary that has not answered for this long is silent.
constexpr Duration kSilenceTimeout = 300ms;
// Interval of reports to the leader while a primary is suspected. After a
// failed connection, a primary not heard from for this long is suspected.
constexpr Duration kReportInterval = 200ms;
// A suspicion of another VM that the leader passes on is valid for this long:
// the time of two lease grants.
constexpr Duration kDoubtWindow = 500ms;

// A link on which a command got no answer for this long is closed.
constexpr Duration kAnswerTimeout = 4s;
// The same if no caller waits for the answer.
constexpr Duration kUnwantedAnswerTimeout = 700ms;
// A statement without an answer stops counting as running after this time: it
// is longer than a server's queueing and execution take.
constexpr Duration kSlotTimeout = 300ms;
// An idle link is closed after this time, unless it is the last one to its
// server: opening one takes time of a slot.
constexpr Duration kIdleLinkTimeout = 2s;
constexpr Duration kLastIdleLinkTimeout = 20s;
// The same while a server that has enough connections for all VMs refuses them:
// it still counts those of VMs that lost power, and the VMs take turns.
constexpr Duration kScarceIdleLinkTimeout = 30ms;
constexpr Duration kScarceLinksWindow = 500ms;

} // namespace

Time
Gateway::NextWake(Time aNow) const
{
  const bool isIdle = work_.empty() && !drainingSince_;
  const Time wake = aNow + (isIdle ? kIdleTickInterval : kBusyTickInterval);
  const auto limitWake = limiter_.NextWake(aNow);
  return limitWake
           ? std::min(wake, std::max(*limitWake, aNow + kMinTickInterval))
           : wake;
}

// Returns true if the databases are known: a configuration has been read, and
// the rules in the fleet view are proven to be in force. Where organisations
// are in use, they have to be proven again after the machine was suspended.
bool
Gateway::IsCatalogProven() const
{
  return catalog_ && catalog_->version_ > 0 && view_ && view_->stateProven_ &&
         !AwaitsProof();
}

bool
Gateway::IsReady() const
{
  return !drainingSince_ && !isolatedSince_ && IsCatalogProven() &&
         grantedAt_ != Time{};
}

bool
Gateway::AnswerReadinessProbe(Time aNow)
{
  if (IsReady()) {
    notReadyProbes_ = 0;
    return true;
  }
  if (notReadyProbes_ == 0 ||
      aNow - notReadyProbeAt_ >= kCountedProbeInterval) {
    notReadyProbes_++;
    notReadyProbeAt_ = aNow;
  }
  return false;
}

// Returns true if the load balancer is assumed to send no new sessions to this
// VM, which has not been ready since `aSince`.
bool
Gateway::IsOutOfRotation(Time aSince, Time aNow) const
{
  const bool wasProbed = notReadyProbes_ >= kOutOfRotationProbes &&
                         aNow - notReadyProbeAt_ >= kBalancerDelay;
  return wasProbed || aNow - aSince >= config_.outOfRotationDelay_;
}

// Returns true if at least half of the primaries are in other zones.
bool
Gateway::DependsOnOtherZones() const
{
  std::size_t primaries = 0;
  std::size_t elsewhere = 0;
  for (const auto& [name, group] : groups_) {
    if (const Server* primary = FindServer(group.primary_)) {
      primaries++;
      elsewhere += IsInOwnZone(*primary) ? 0U : 1U;
    }
  }
  return elsewhere > 0 && elsewhere * 2 >= primaries;
}

// Returns true if this VM depends on other zones, and neither the leader nor
// a server there has been heard from lately.
bool
Gateway::AreOtherZonesSilent(Time aNow) const
{
  return grantedAt_ != Time{} && aNow - grantedAt_ >= kOtherZonesSilence &&
         DependsOnOtherZones() &&
         std::none_of(
           servers_.begin(), servers_.end(), [&](const auto& aEntry) {
             const Server& server = aEntry.second;
             return !IsInOwnZone(server) &&
                    aNow - server.heardAt_ < kOtherZonesSilence;
           });
}

// Returns true if other zones are silent, and servers there that were tested
// can't be reached. In a large fleet a VM sends too few statements to find this
// out soon by those that fail.
bool
Gateway::IsAloneInZone(Time aNow) const
{
  const auto failed =
    std::count_if(servers_.begin(), servers_.end(), [&](const auto& aEntry) {
      return !IsInOwnZone(aEntry.second) && aEntry.second.failures_ > 0;
    });
  return failed >= kMinFailedTests && AreOtherZonesSilent(aNow);
}

// Opens links to some servers of other zones while these are silent.
void
Gateway::TestOtherZones(Time aNow, GatewayActions& aOut)
{
  if (!AreOtherZonesSilent(aNow)) {
    return;
  }
  int tested = 0;
  for (auto& [id, server] : servers_) {
    const bool isElsewhere = !IsInOwnZone(server) && MayTakeWork(server, aNow);
    if (isElsewhere && tested < kMaxTestedServers) {
      tested++;
      if (server.openingCount_ == 0 && aNow >= server.blockedUntil_) {
        OpenLink(server, FindTestOrganisation(server), aNow, aOut);
      }
    }
  }
}

// Returns true if no primary can be used, and at least half of the primaries or
// half of all servers can't be reached: then other VMs can probably serve
// callers better. A VM that has lost only the leader still reaches its servers
// and is not cut off.
bool
Gateway::IsCutOff(Time aNow) const
{
  const bool leaderAnswers = aNow - grantedAt_ < kLeaderContactWindow;
  std::size_t groups = 0;
  std::size_t unreachable = 0;
  std::size_t servers = 0;
  std::size_t unreachableServers = 0;
  for (const auto& [name, group] : groups_) {
    const auto primary = servers_.find(group.primary_);
    if (primary == servers_.end()) {
      continue;
    }
    groups++;
    const bool isReachable = primary->second.failures_ == 0;
    if (isReachable && leaderAnswers && HoldsLease(group, group.term_, aNow)) {
      return false;
    }
    unreachable += isReachable ? 0U : 1U;
    for (const auto& id : group.servers_) {
      const auto server = servers_.find(id);
      const bool failed =
        server != servers_.end() && server->second.failures_ > 0;
      servers++;
      unreachableServers += failed ? 1U : 0U;
    }
  }
  return groups > 0 &&
         (unreachable * 2 >= groups || unreachableServers * 2 >= servers);
}

// A VM that has been cut off for too long is isolated: it reports not to be
// ready. Once the load balancer sends no new sessions, sessions without a
// transaction are closed, so that their callers reconnect through other VMs.
void
Gateway::TickIsolation(Time aNow, GatewayActions& aOut)
{
  TestOtherZones(aNow, aOut);
  if (!IsCutOff(aNow) && !IsAloneInZone(aNow) && !IsViewOutdated(aNow)) {
    lastNotCutOffAt_ = aNow;
    isolatedSince_.reset();
    return;
  }
  const Duration limit = aNow - grantedAt_ < kLeaderContactWindow
                           ? kIsolationDelayWithLeader
                           : kIsolationDelay;
  if (!isolatedSince_ && aNow - lastNotCutOffAt_ >= limit) {
    isolatedSince_ = aNow;
    aOut.push_back(
      WriteLogEvent{ Event::Isolated,
                     fmt::format("sessions={} waiting={} leases={}",
                                 sessions_.size(),
                                 CountWaiting(),
                                 CountLeases(aNow)) });
  }
  if (isolatedSince_ && IsOutOfRotation(*isolatedSince_, aNow)) {
    CloseIdleSessions(aNow, aOut);
  }
}

void
Gateway::Handle(GatewayTick&, Time aNow, GatewayActions& aOut)
{
  tickedAt_ = aNow;
  TickWork(aNow, aOut);
  TickPendingSessions(aNow, aOut);
  TickSessions(aNow, aOut);
  TickLeavingServers(aNow, aOut);
  TickLinks(aNow, aOut);
  TickLeases(aNow, aOut);
  TickSuspicions(aNow, aOut);
  TickIsolation(aNow, aOut);
  TickDrain(aNow, aOut);
  TickLimits(aNow, aOut);
  for (const auto& [name, group] : groups_) {
    if (!group.queue_.empty()) {
      groupsToDispatch_.insert(name);
    }
  }
}

// ---- Changes of the fleet

void
Gateway::Handle(FleetOrCatalogChanged& aEvent, Time aNow, GatewayActions& aOut)
{
  view_ = std::move(aEvent.view_);
  // A configuration is never replaced by an older one, which could list keys
  // that have been withdrawn.
  const bool isReplaced =
    aEvent.catalog_ &&
    (!catalog_ || aEvent.catalog_->version_ >= catalog_->version_);
  if (isReplaced) {
    catalog_ = std::move(aEvent.catalog_);
    UpdateGroupTargets();
    limiter_.SetLimits(
      catalog_->organisations_ ? &*catalog_->organisations_ : nullptr, aNow);
  }
  for (auto& [name, group] : groups_) {
    group.servers_.clear();
  }
  for (const auto& [name, database] : view_->databases_) {
    Group& group = groups_[name];
    group.servers_ = database.servers_;
    group.changing_ = view_->changingDatabases_.contains(name);
    if (group.term_ != database.term_) {
      group.term_ = database.term_;
      group.heldLease_ = false;
      group.log_.SetTerm(database.term_);
      AbortLeasedTransactions(name, aNow, aOut);
    }
    group.primary_ = database.primary_;
    group.preferredReplica_ = FindPreferredReplica(group);
    groupsToDispatch_.insert(name);
  }
  for (const auto& [id, server] : view_->servers_) {
    Server& known = servers_[id];
    const bool hasMoved = !known.info_.host().empty() &&
                          (known.info_.host() != server.info_.host() ||
                           known.info_.port() != server.info_.port() ||
                           known.info_.born_ms() != server.info_.born_ms());
    if (hasMoved) {
      // The server was restarted or moved: connections to its earlier run are
      // of no use.
      known.failures_ = 0;
      known.blockedUntil_ = Time{};
      known.stayingAt_ = Time{};
      known.delay_ = {};
      CloseIdleLinks(id, Time::max(), aOut);
      aOut.push_back(WriteLogEvent{ Event::ServerMoved,
                                    fmt::format("server={} host={} port={}",
                                                id,
                                                server.info_.host(),
                                                server.info_.port()) });
    }
    known.info_ = server.info_;
    known.isGone_ = false;
  }
  // A server that left the fleet is removed once it has no links.
  std::vector<ServerId> gone;
  for (const auto& [id, server] : servers_) {
    if (!view_->servers_.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const auto& id : gone) {
    CloseIdleLinks(id, Time::max(), aOut);
    servers_.at(id).isGone_ = true;
    if (servers_.at(id).links_.empty()) {
      servers_.erase(id);
    }
  }
  ApplyViewProofs();
  if (isReplaced) {
    ApplyKeys(aNow, aOut);
  }
}

// Takes over what the configuration says of each group's databases.
void
Gateway::UpdateGroupTargets()
{
  for (auto& [name, group] : groups_) {
    group.ranks_.clear();
    group.fastestTarget_ = Duration::max();
  }
  for (const auto& [name, database] : catalog_->databases_) {
    Group& group = groups_[database.group_];
    group.ranks_.insert(database.rank_);
    group.fastestTarget_ =
      std::min(group.fastestTarget_, database.latencyTarget_);
  }
  std::erase_if(usualTimes_, [&](const auto& aEntry) {
    return catalog_->Find(aEntry.first) == nullptr;
  });
}

// ---- Statements

// Returns what to tell the caller of a statement that is not waited for any
// longer. A commit or single write may have taken effect; anything else has
// not.
SessionError
Gateway::UnansweredError(const Work& aWork)
{
  return aWork.commitsData_  ? SessionError::InDoubt
         : aWork.repeatable_ ? SessionError::TimedOut
                             : SessionError::Aborted;
}

// Gives up statements whose time is over, hedges slow reads, and sends
// statements again that a server refused inside a transaction.
void
Gateway::TickWork(Time aNow, GatewayActions& aOut)
{
  struct Expired
  {
    WorkId id_;
    SessionError error_;
    std::string_view cause_;
  };
  std::vector<Expired> expired;
  std::vector<WorkId> toHedge;
  std::vector<WorkId> toResend;
  for (const auto& [id, work] : work_) {
    if (work.resendAt_ && aNow >= *work.resendAt_ && !AwaitsProof()) {
      toResend.push_back(id);
      continue;
    }
    if (work.queued_ && work.links_.empty()) {
      const Group& group = groups_.at(work.route_.group_);
      const bool primaryUsable =
        !group.changing_ && HoldsLease(group, group.term_, aNow);
      if (aNow >= (primaryUsable
                     ? work.waitUntil_
                     : std::max(work.waitUntil_, work.waitForPrimaryUntil_))) {
        expired.push_back({ id,
                            SessionError::Overloaded,
                            "no server could run the statement in time" });
      }
      continue;
    }
    if (aNow >= work.deadline_) {
      expired.push_back(
        { id, UnansweredError(work), "statement limit exceeded" });
      continue;
    }
    const bool canHedge = work.repeatable_ && work.session_ != 0 &&
                          !work.hedged_ && !work.links_.empty();
    if (!canHedge) {
      continue;
    }
    const Link& link = links_.at(*work.links_.begin());
    const Duration slowResponseTime =
      servers_.at(link.server_).serviceTime_ * kHedgeDelayFactor;
    const Duration hedgeDelay =
      std::max(kMinHedgeDelay,
               std::min(slowResponseTime, work.route_.latencyTarget_ / 2));
    if (aNow - link.sentAt_ >= hedgeDelay) {
      toHedge.push_back(id);
    }
  }
  for (const auto& entry : expired) {
    const Work& work = work_.at(entry.id_);
    const std::set<ServerLinkId> links = work.links_;
    const bool commits = work.commitsData_;
    FailWork(entry.id_, entry.error_, std::string(entry.cause_), aNow, aOut);
    for (const ServerLinkId id : links) {
      const auto link = links_.find(id);
      if (link != links_.end()) {
        if (!commits) { // else it may have waited for a replica
          servers_.at(link->second.server_).delay_.RecordFailure(aNow);
        }
        CloseIdleLinks(link->second.server_, link->second.sentAt_, aOut);
      }
    }
  }
  for (const WorkId id : toHedge) {
    Work& work = work_.at(id);
    if (IsEnding(work.session_)) {
      continue;
    }
    work.hedged_ = true;
    counters_.hedged_++;
    // The second attempt must not go to the server that is slow.
    work.excludedServers_.insert(links_.at(*work.links_.begin()).server_);
    Enqueue(id);
  }
  for (const WorkId id : toResend) {
    Work& work = work_.at(id);
    work.resendAt_.reset();
    const auto session = sessions_.find(work.session_);
    if (session == sessions_.end() || session->second.txLink_ == 0) {
      FailWork(
        id, SessionError::Aborted, "the transaction has ended", aNow, aOut);
      continue;
    }
    if (!MayStartWork(aNow)) {
      FailWork(
        id, SessionError::Aborted, std::string(kStoppingText), aNow, aOut);
      continue;
    }
    const ServerLinkId link = session->second.txLink_;
    if (work.firstInTx_ &&
        !MayTakeWork(servers_.at(links_.at(link).server_), aNow)) {
      RestartTransaction(id, aNow, aOut);
      continue;
    }
    SendWork(id,
             link,
             ServerChoice{ links_.at(link).server_, {}, aNow, false },
             aNow,
             aOut);
  }
}

// Aborts transactions that are idle for too long.
void
Gateway::TickSessions(Time aNow, GatewayActions& aOut)
{
  const Duration limit = catalog_ ? catalog_->transactionIdleTimeout_ : 3s;
  std::vector<SessionId> idle;
  for (const auto& [id, session] : sessions_) {
    const bool isIdle = session.txLink_ != 0 && session.work_ == 0 &&
                        aNow - session.txIdleSince_ > limit;
    if (isIdle) {
      idle.push_back(id);
    }
  }
  for (const SessionId id : idle) {
    AbortTransaction(id, "idle", aNow, aOut);
  }
}

// ---- Connections

// Returns true if a caller still waits for the statement that runs on the link.
bool
Gateway::IsWanted(const Link& aLink, ServerLinkId aId) const
{
  const auto work = work_.find(aLink.work_);
  return work != work_.end() && work->second.session_ != 0 &&
         work->second.links_.contains(aId);
}

// Returns true if the server never has enough connections for all: more VMs use
// it than it accepts connections from, or each VM needs some for several
// organisations.
bool
Gateway::IsShortOfConnections(const Server& aServer) const
{
  return UsesOrganisations() || LinkBudget(aServer) < holders_;
}

// Returns how long a link to the server may be idle.
Duration
Gateway::IdleLinkTimeout(const Server& aServer, Time aNow) const
{
  const bool isEnoughForAll = LinkBudget(aServer) >= holders_;
  const bool isShort = IsShortOfConnections(aServer);
  if (!isShort && aNow - aServer.connectionLimitAt_ < kScarceLinksWindow) {
    return kScarceIdleLinkTimeout;
  }
  // Among organisations, each link of the share may be the last of its own.
  const bool isInShare =
    aServer.links_.size() == 1 ||
    (UsesOrganisations() && aServer.links_.size() <= LinkShare(aServer));
  const Duration usual =
    isEnoughForAll && isInShare ? kLastIdleLinkTimeout : kIdleLinkTimeout;
  return isShort ? aServer.idleLinkPolicy_.Timeout(usual, aNow) : usual;
}

// Closes links that do not open or answer in time, and links that are idle for
// too long.
void
Gateway::TickLinks(Time aNow, GatewayActions& aOut)
{
  std::vector<ServerLinkId> lost;
  std::vector<ServerLinkId> expiredLinks;
  for (auto& [id, link] : links_) {
    if (link.probeAt_ && aNow >= *link.probeAt_) {
      link.probeAt_.reset();
      SendProbe(id, aNow, aOut);
    }
    const bool openTimedOut =
      link.state_ == LinkState::Opening && aNow - link.openedAt_ > kOpenTimeout;
    const bool isWaiting =
      link.state_ != LinkState::Opening && !link.answers_.IsIdle();
    const Duration waited = isWaiting ? aNow - link.sentAt_ : Duration{};
    // The server has run the statement or never will; the answer may be lost.
    if (waited > kSlotTimeout) {
      FreeSlot(link);
    }
    const bool isSilent =
      waited > (IsWanted(link, id) ? kAnswerTimeout : kUnwantedAnswerTimeout);
    if (openTimedOut || isSilent) {
      lost.push_back(id);
    } else if (link.state_ == LinkState::Idle &&
               aNow - link.heardAt_ >
                 IdleLinkTimeout(servers_.at(link.server_), aNow)) {
      expiredLinks.push_back(id);
    }
  }
  for (const ServerLinkId id : lost) {
    const auto link = links_.find(id);
    if (link == links_.end()) {
      continue;
    }
    const ServerId server = link->second.server_;
    if (link->second.state_ == LinkState::Opening) {
      RecordFailure(server, aNow, "no answer to a new connection", aOut);
    }
    CloseIdleLinks(server, link->second.sentAt_, aOut);
    DropLink(id, aNow, aOut);
  }
  for (const ServerLinkId id : expiredLinks) {
    const auto link = links_.find(id);
    if (link == links_.end()) {
      continue; // closed above, with a link that did not answer
    }
    CloseIdleLink(servers_.at(link->second.server_), id, aOut);
  }
}

// ---- Suspected primaries

// Reports suspected primaries to the leader, which counts the VMs that suspect
// one. A primary is suspected if a connection to it can't be opened and it has
// not been heard from since; one that leaves statements unanswered is tested by
// a new connection.
void
Gateway::TickSuspicions(Time aNow, GatewayActions& aOut)
{
  for (auto& [name, group] : groups_) {
    Server* primary = FindServer(group.primary_);
    if (primary == nullptr || primary->isGone_ || group.term_ == 0) {
      continue;
    }
    const bool isWaiting = std::any_of(
      primary->links_.begin(), primary->links_.end(), [&](ServerLinkId aId) {
        const Link& link = links_.at(aId);
        return link.state_ != LinkState::Opening && !link.answers_.IsIdle() &&
               aNow - link.sentAt_ > kSilenceTimeout;
      });
    const bool isDoubted = aNow - group.doubtedAt_ <= kDoubtWindow;
    const bool isSilent =
      (isWaiting || isDoubted) && aNow - primary->heardAt_ > kSilenceTimeout;
    const bool canOpen =
      primary->openingCount_ == 0 && aNow >= primary->blockedUntil_ &&
      (MayOpenLink(*primary) || primary->links_.size() <= LinkShare(*primary));
    if (isSilent && primary->failures_ == 0 && canOpen) {
      // A new connection shows whether the primary or only the links failed.
      OpenLink(*primary, FindTestOrganisation(*primary), aNow, aOut);
    }
    const bool isSuspected =
      primary->failures_ > 0 && aNow - primary->heardAt_ > kReportInterval;
    // Further connection attempts show when the primary can be reached again.
    if (isSuspected && canOpen) {
      OpenLink(*primary, FindTestOrganisation(*primary), aNow, aOut);
    }
    if (isSuspected == group.suspected_ &&
        (!isSuspected || aNow - group.reportedAt_ < kReportInterval)) {
      continue;
    }
    if (isSuspected != group.suspected_) {
      aOut.push_back(WriteLogEvent{
        Event::PrimarySuspected,
        fmt::format("database={} server={} term={} suspected={} failures={} "
                    "heard_ms={}",
                    name,
                    group.primary_,
                    group.term_,
                    isSuspected,
                    primary->failures_,
                    CountMs(aNow - primary->heardAt_)) });
    }
    group.suspected_ = isSuspected;
    group.reportedAt_ = aNow;
    wire::Suspicion suspicion;
    suspicion.set_database(name);
    suspicion.set_server(group.primary_);
    suspicion.set_term(group.term_);
    suspicion.set_suspected(isSuspected);
    aOut.push_back(ReportSuspicion{ std::move(suspicion) });
  }
}

} // namespace jaydoor
