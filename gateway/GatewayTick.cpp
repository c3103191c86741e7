// What happens with time: limits of statements and transactions, second tries,
// suspicions, silent connections, the end of this VM.

#include "gateway/Gateway.h"

#include <algorithm>

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr Duration kBusyTick = 10ms;       // statements are under way
constexpr Duration kIdleTick = 50ms;       //
constexpr Duration kHedgeLeast = 120ms;    // twice the longest usual statement
constexpr int kHedgeTimes = 5;             // the smoothed service time
constexpr Duration kIsolatedAfter = 300ms; // without any primary to use
// While the leader answers, it replaces primaries that can't be reached; this
// is longer than such a change takes.
constexpr Duration kIsolatedInTouch = 3s;
constexpr Duration kInTouch = 600ms;     // the leader has answered this lately
constexpr int kProbesMissed = 2;         // then a VM is out of rotation
constexpr Duration kProbeGap = 700ms;    // between two that count as such
constexpr Duration kProbeLag = 50ms;     // until the balancer has acted
constexpr Duration kOpenLimit = 300ms;   // a connection that is being opened
constexpr Duration kSilentAfter = 300ms; // a primary that does not answer
constexpr Duration kReportEvery = 200ms; // a suspicion
constexpr Duration kDoubtHolds = 500ms;  // two grants from the leader
constexpr Duration kLinkLimit = 4s;      // a statement without any answer
constexpr Duration kUnwantedLimit = 700ms; // the same, that nobody waits for
constexpr Duration kSlotLimit = 300ms;     // above a server's queue and work
// An idle connection is worth less than the room it takes: servers count those
// of a VM that lost its power until they notice.
constexpr Duration kIdleLinkLimit = 2s;

} // namespace

Time
Gateway::NextWake(Time aNow) const
{
  return aNow + (work_.empty() && !drainingSince_ ? kIdleTick : kBusyTick);
}

bool
Gateway::IsCatalogProven() const
{
  return catalog_ && catalog_->version_ > 0 && view_ && view_->stateProven_;
}

bool
Gateway::IsReady() const
{
  return !drainingSince_ && !isolatedSince_ && IsCatalogProven();
}

bool
Gateway::AnswerReadinessProbe(Time aNow)
{
  if (IsReady()) {
    notReadyProbes_ = 0;
    return true;
  }
  if (notReadyProbes_ == 0 || aNow - notReadyProbeAt_ >= kProbeGap) {
    notReadyProbes_++;
    notReadyProbeAt_ = aNow;
  }
  return false;
}

// True if nobody sends new sessions here any more.
bool
Gateway::IsOutOfRotation(Time aSince, Time aNow) const
{
  const bool told =
    notReadyProbes_ >= kProbesMissed && aNow - notReadyProbeAt_ >= kProbeLag;
  return told || aNow - aSince >= config_.outOfRotationDelay_;
}

// True if no primary can be used for long, and half of the primaries, or of
// all servers, can't even be reached: other VMs are better placed. A VM that
// only lacks the leader sees its servers, and stays.
bool
Gateway::IsCutOff(Time aNow) const
{
  const bool inTouch = aNow - grantedAt_ < kInTouch;
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
    const bool reached = primary->second.failures_ == 0;
    if (reached && inTouch && HoldsLease(group, group.term_, aNow)) {
      return false;
    }
    unreachable += reached ? 0U : 1U;
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

// An isolated VM leaves the balancer's rotation. Once it is out, sessions at
// rest are closed, so that their callers come back through other VMs.
void
Gateway::TickIsolation(Time aNow, GatewayActions& aOut)
{
  if (!IsCutOff(aNow)) {
    lastNotCutOffAt_ = aNow;
    isolatedSince_.reset();
    return;
  }
  const Duration limit =
    aNow - grantedAt_ < kInTouch ? kIsolatedInTouch : kIsolatedAfter;
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
  TickLinks(aNow, aOut);
  TickLeases(aNow, aOut);
  TickSuspicions(aNow, aOut);
  TickIsolation(aNow, aOut);
  TickDrain(aNow, aOut);
  for (const auto& [name, group] : groups_) {
    if (!group.queue_.empty()) {
      groupsToDispatch_.insert(name);
    }
  }
}

// ---- The fleet

void
Gateway::Handle(FleetOrCatalogChanged& aEvent, Time aNow, GatewayActions& aOut)
{
  view_ = std::move(aEvent.view_);
  if (aEvent.catalog_) {
    catalog_ = std::move(aEvent.catalog_);
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
    groupsToDispatch_.insert(name);
  }
  for (const auto& [id, server] : view_->servers_) {
    Server& known = servers_[id];
    const bool moved = !known.info_.host().empty() &&
                       (known.info_.host() != server.info_.host() ||
                        known.info_.port() != server.info_.port() ||
                        known.info_.born_ms() != server.info_.born_ms());
    if (moved) {
      // Another run of it: connections to the former one are worth nothing.
      known.failures_ = 0;
      known.blockedUntil_ = Time{};
      CloseIdleLinks(id, Time::max(), aOut);
      aOut.push_back(WriteLogEvent{ Event::ServerMoved,
                                    fmt::format("server={} host={} port={}",
                                                id,
                                                server.info_.host(),
                                                server.info_.port()) });
    }
    known.info_ = server.info_;
  }
  // A server that is gone is forgotten once nothing of it is left.
  std::vector<ServerId> gone;
  for (const auto& [id, server] : servers_) {
    if (!view_->servers_.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const auto& id : gone) {
    CloseIdleLinks(id, Time::max(), aOut);
    if (servers_.at(id).links_.empty()) {
      servers_.erase(id);
    }
  }
}

// ---- Statements

void
Gateway::TickWork(Time aNow, GatewayActions& aOut)
{
  struct Late
  {
    WorkId id_;
    SessionError error_;
    std::string_view cause_;
  };
  std::vector<Late> late;
  std::vector<WorkId> hedge;
  std::vector<WorkId> resend;
  for (const auto& [id, work] : work_) {
    if (work.resendAt_ && aNow >= *work.resendAt_) {
      resend.push_back(id);
      continue;
    }
    if (work.queued_ && work.links_.empty()) {
      const Group& group = groups_.at(work.route_.group_);
      const bool usable =
        !group.changing_ && HoldsLease(group, group.term_, aNow);
      if (aNow >= (usable
                     ? work.waitUntil_
                     : std::max(work.waitUntil_, work.waitForPrimaryUntil_))) {
        late.push_back({ id, SessionError::Overloaded, "no room in time" });
      }
      continue;
    }
    if (aNow >= work.deadline_) {
      // Only a commit may have left something.
      const SessionError error = work.commitsData_  ? SessionError::InDoubt
                                 : work.repeatable_ ? SessionError::TimedOut
                                                    : SessionError::Aborted;
      late.push_back({ id, error, "statement limit" });
      continue;
    }
    const bool again = work.repeatable_ && work.session_ != 0 &&
                       !work.hedged_ && !work.links_.empty();
    if (!again) {
      continue;
    }
    const Link& link = links_.at(*work.links_.begin());
    const Duration usual = servers_.at(link.server_).serviceTime_ * kHedgeTimes;
    const Duration limit =
      std::max(kHedgeLeast, std::min(usual, work.route_.latencyTarget_ / 2));
    if (aNow - link.sentAt_ >= limit) {
      hedge.push_back(id);
    }
  }
  for (const auto& entry : late) {
    const Work& work = work_.at(entry.id_);
    const std::set<ServerLinkId> links = work.links_;
    FailWork(entry.id_, entry.error_, std::string(entry.cause_), aNow, aOut);
    for (const ServerLinkId id : links) {
      const auto link = links_.find(id);
      if (link != links_.end()) {
        CloseIdleLinks(link->second.server_, link->second.sentAt_, aOut);
      }
    }
  }
  for (const WorkId id : hedge) {
    Work& work = work_.at(id);
    work.hedged_ = true;
    counters_.hedged_++;
    // Whoever is slow now is not asked twice.
    work.excludedServers_.insert(links_.at(*work.links_.begin()).server_);
    Enqueue(id);
  }
  for (const WorkId id : resend) {
    Work& work = work_.at(id);
    work.resendAt_.reset();
    const auto session = sessions_.find(work.session_);
    if (session == sessions_.end() || session->second.txLink_ == 0) {
      FailWork(id, SessionError::Aborted, "transaction ended", aNow, aOut);
      continue;
    }
    const ServerLinkId link = session->second.txLink_;
    SendWork(id,
             link,
             ServerChoice{ links_.at(link).server_, {}, aNow, false },
             aNow,
             aOut);
  }
}

void
Gateway::TickSessions(Time aNow, GatewayActions& aOut)
{
  const Duration limit = catalog_ ? catalog_->transactionIdleTimeout_ : 3s;
  std::vector<SessionId> idle;
  for (const auto& [id, session] : sessions_) {
    const bool rests = session.txLink_ != 0 && session.work_ == 0 &&
                       aNow - session.txIdleSince_ > limit;
    if (rests) {
      idle.push_back(id);
    }
  }
  for (const SessionId id : idle) {
    AbortTransaction(id, "idle", aNow, aOut);
  }
}

// ---- Connections

// True if somebody still waits for what runs on the connection.
bool
Gateway::IsWanted(const Link& aLink, ServerLinkId aId) const
{
  const auto work = work_.find(aLink.work_);
  return work != work_.end() && work->second.session_ != 0 &&
         work->second.links_.contains(aId);
}

void
Gateway::TickLinks(Time aNow, GatewayActions& aOut)
{
  std::vector<ServerLinkId> lost;
  std::vector<ServerLinkId> old;
  for (auto& [id, link] : links_) {
    const bool slowOpen =
      link.state_ == LinkState::Opening && aNow - link.openedAt_ > kOpenLimit;
    const bool waits =
      link.state_ != LinkState::Opening && !link.unanswered_.empty();
    const Duration waited = waits ? aNow - link.sentAt_ : Duration{};
    // The server has long run it, or never will: its answer may be lost.
    if (waited > kSlotLimit) {
      FreeSlot(link);
    }
    const bool silent =
      waited > (IsWanted(link, id) ? kLinkLimit : kUnwantedLimit);
    if (slowOpen || silent) {
      lost.push_back(id);
    } else if (link.state_ == LinkState::Idle &&
               aNow - link.heardAt_ > kIdleLinkLimit) {
      old.push_back(id);
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
    CloseLink(id, aOut);
    RemoveLink(id, aNow, aOut);
  }
  for (const ServerLinkId id : old) {
    const auto link = links_.find(id);
    if (link == links_.end()) {
      continue; // dropped with a silent one
    }
    Server& server = servers_.at(link->second.server_);
    std::erase(server.idleLinks_, id);
    server.links_.erase(id);
    links_.erase(id);
    CloseLink(id, aOut);
  }
}

// ---- Suspicions

// A primary that leaves statements and a new connection unanswered, or refuses
// connections, is suspected. The leader counts who suspects it.
void
Gateway::TickSuspicions(Time aNow, GatewayActions& aOut)
{
  for (auto& [name, group] : groups_) {
    Server* primary = FindServer(group.primary_);
    if (primary == nullptr || group.term_ == 0) {
      continue;
    }
    const bool waits = std::any_of(
      primary->links_.begin(), primary->links_.end(), [&](ServerLinkId aId) {
        const Link& link = links_.at(aId);
        return link.state_ != LinkState::Opening && !link.unanswered_.empty() &&
               aNow - link.sentAt_ > kSilentAfter;
      });
    const bool doubted = aNow - group.doubtedAt_ <= kDoubtHolds;
    const bool silent =
      (waits || doubted) && aNow - primary->heardAt_ > kSilentAfter;
    const bool mayOpen = primary->openingCount_ == 0 &&
                         aNow >= primary->blockedUntil_ &&
                         primary->links_.size() <= LinkShare(*primary);
    if (silent && primary->failures_ == 0 && mayOpen) {
      OpenLink(*primary, aNow, aOut); // a new one proves which of the two it is
    }
    const bool suspected =
      primary->failures_ > 0 && aNow - primary->heardAt_ > kReportEvery;
    // Somebody has to find out when it is back.
    if (suspected && mayOpen) {
      OpenLink(*primary, aNow, aOut);
    }
    if (suspected == group.suspected_ &&
        (!suspected || aNow - group.reportedAt_ < kReportEvery)) {
      continue;
    }
    if (suspected != group.suspected_) {
      aOut.push_back(WriteLogEvent{
        Event::PrimarySuspected,
        fmt::format("database={} server={} term={} suspected={} failures={} "
                    "heard_ms={}",
                    name,
                    group.primary_,
                    group.term_,
                    suspected,
                    primary->failures_,
                    CountMs(aNow - primary->heardAt_)) });
    }
    group.suspected_ = suspected;
    group.reportedAt_ = aNow;
    wire::Suspicion suspicion;
    suspicion.set_database(name);
    suspicion.set_server(group.primary_);
    suspicion.set_term(group.term_);
    suspicion.set_suspected(suspected);
    aOut.push_back(ReportSuspicion{ std::move(suspicion) });
  }
}

// ---- The end of this VM

void
Gateway::Handle(GatewayDrainRequested&, Time aNow, GatewayActions&)
{
  if (!drainingSince_) {
    drainingSince_ = aNow;
  }
}

// Sessions at rest are closed once the balancer sends no new ones here;
// transactions get their time.
void
Gateway::TickDrain(Time aNow, GatewayActions& aOut)
{
  if (!drainingSince_ || !IsOutOfRotation(*drainingSince_, aNow)) {
    return;
  }
  if (aNow - *drainingSince_ >= config_.drainTransactionLimit_) {
    for (const auto& [id, session] : sessions_) {
      if (session.work_ == 0 && session.txLink_ != 0) {
        AbortTransaction(id, "this VM stops", aNow, aOut);
      }
    }
  }
  CloseIdleSessions(aNow, aOut);
}

void
Gateway::CloseIdleSessions(Time aNow, GatewayActions& aOut)
{
  std::vector<SessionId> ended;
  for (const auto& [id, session] : sessions_) {
    const bool rests = session.work_ == 0 && session.pipelined_.empty();
    if (rests && session.txState_ == TxState::None) {
      ended.push_back(id);
    }
  }
  for (const SessionId id : ended) {
    aOut.push_back(CloseSession{ id });
    SessionEnded end{ id };
    Handle(end, aNow, aOut);
  }
}

} // namespace jaydoor
