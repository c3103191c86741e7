#include "control/Failover.h"

#include "base/Erase.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace jaydoor {
namespace {

// Leases are revoked again until they are given back, and changes are proposed
// again until they are applied.
constexpr Duration kRevocationInterval = 200ms;
constexpr Duration kProposalInterval = 300ms;
// A leader that was just elected replaces no suspected primary before half of
// the lease holders have sent it a request, or this time has passed: the first
// suspicions to arrive would be a majority of the VMs that it has heard.
constexpr Duration kHoldersWait = 1s;

// Returns a server of the group; null if the group has none of this id.
const wire::Upstream*
FindServer(const wire::Database& aDatabase, const ServerId& aServer)
{
  for (const auto& server : aDatabase.servers()) {
    if (server.server() == aServer) {
      return &server;
    }
  }
  return nullptr;
}

} // namespace

Failover::Failover(FailoverTiming aTiming)
  : timing_(aTiming)
{
}

void
Failover::Reset()
{
  replacements_.clear();
  pendingCalls_.clear();
  pendingPromotionCalls_.clear();
  initialStatuses_.clear();
  electedAt_.reset();
  hasHeardHolders_ = false;
}

std::vector<RequestServerStatus>
Failover::TakeStatusRequests()
{
  return std::exchange(statusRequests_, {});
}

std::vector<RequestPromotion>
Failover::TakePromotionRequests()
{
  return std::exchange(promotionRequests_, {});
}

std::vector<wire::Change>
Failover::TakeProposals()
{
  return std::exchange(proposals_, {});
}

std::vector<DatabaseId>
Failover::TakeRevocations()
{
  return std::exchange(revocations_, {});
}

std::vector<LogControlEvent>
Failover::TakeLogEvents()
{
  return std::exchange(logEvents_, {});
}

// ---- Reports and results

void
Failover::RecordSuspicion(const VmId& aFrom,
                          const wire::Suspicion& aSuspicion,
                          Time aNow)
{
  SuspicionReport& report = suspicionReports_[aSuspicion.database()][aFrom];
  report.term_ = aSuspicion.term();
  report.server_ = aSuspicion.server();
  report.suspected_ = aSuspicion.suspected();
  report.receivedAt_ = aNow;
}

void
Failover::HandleServerStatus(std::uint64_t aCallId,
                             const std::optional<ServerStatus>& aStatus,
                             Time aNow)
{
  const auto found = pendingCalls_.find(aCallId);
  if (found == pendingCalls_.end()) {
    return;
  }
  const Call call = found->second;
  pendingCalls_.erase(found);
  if (!aStatus) {
    return;
  }
  const auto replacement = replacements_.find(call.database_);
  if (replacement == replacements_.end()) {
    initialStatuses_[call.database_][call.server_] = *aStatus;
    return;
  }
  Replacement& current = replacement->second;
  if (call.stepDown_ && !aStatus->primary_) {
    current.oldPrimarySteppedDown_ = true;
  }
  std::uint64_t& answeredCallId = current.answeredCallIds_[call.server_];
  if (aCallId < std::max(current.firstCallId_, answeredCallId)) {
    return;
  }
  answeredCallId = aCallId;
  current.statuses_[call.server_] = *aStatus;
  if (!current.firstStatusAt_) {
    current.firstStatusAt_ = aNow;
  }
}

void
Failover::HandlePromotionAnswer(std::uint64_t aCallId,
                                PromotionAnswer aAnswer,
                                Time aNow)
{
  const auto found = pendingPromotionCalls_.find(aCallId);
  if (found == pendingPromotionCalls_.end()) {
    return;
  }
  const auto replacement = replacements_.find(found->second);
  pendingPromotionCalls_.erase(found);
  if (replacement == replacements_.end()) {
    return;
  }
  logEvents_.push_back(
    { Event::PromotionAnswered,
      fmt::format("database={} server={} answer={} after_ms={}",
                  replacement->first,
                  replacement->second.successor_,
                  aAnswer == PromotionAnswer::Accepted  ? "accepted"
                  : aAnswer == PromotionAnswer::Refused ? "refused"
                                                        : "unknown",
                  CountMs(aNow - replacement->second.roleRequestSentAt_)) });
  replacement->second.promotionAccepted_ |=
    aAnswer == PromotionAnswer::Accepted;
  replacement->second.promotionRefused_ = aAnswer == PromotionAnswer::Refused;
}

// ---- The tick

void
Failover::Tick(const ControlState& aState,
               LeaseTable& aLeases,
               std::uint64_t aFencingToken,
               Time aNow)
{
  fencingToken_ = aFencingToken;
  if (!electedAt_) {
    electedAt_ = aNow;
  }
  hasHeardHolders_ =
    hasHeardHolders_ || aNow - *electedAt_ >= kHoldersWait ||
    aLeases.CountReachableHolders(aNow) * 2 >= aState.LeaseHolders().size();
  DropTimedOutCalls(aNow);
  for (const auto& [name, database] : aState.Databases()) {
    const auto replacement = replacements_.find(name);
    if (replacement != replacements_.end()) {
      Advance(database, replacement->second, aLeases, aNow);
    } else {
      StartIfNeeded(database, aLeases, aNow);
    }
  }
}

void
Failover::DropTimedOutCalls(Time aNow)
{
  EraseWhere(pendingCalls_, [&](std::uint64_t, const Call& aCall) {
    return aNow - aCall.sentAt_ > timing_.callTimeout_;
  });
}

void
Failover::DropPromotionCalls(const DatabaseId& aDatabase)
{
  EraseWhere(pendingPromotionCalls_,
             [&](std::uint64_t, const DatabaseId& aCalledFor) {
               return aCalledFor == aDatabase;
             });
}

// ---- When a replacement is needed

// Starts a replacement if the primary is leaving, gone or suspected, or if an
// earlier leader wrote the intent of one to the control log. Looks for the
// primary if none is known yet.
void
Failover::StartIfNeeded(const wire::Database& aDatabase,
                        LeaseTable& aLeases,
                        Time aNow)
{
  if (!aDatabase.intended_primary().empty()) {
    StartReplacement(
      aDatabase, false, "an earlier leader started the promotion", aNow);
    return;
  }
  if (aDatabase.primary().empty()) {
    ProposeInitialPrimary(aDatabase, aNow);
    return;
  }
  const auto last = primaryChangedAt_.find(aDatabase.name());
  if (last != primaryChangedAt_.end() &&
      aNow - last->second < timing_.minChangeInterval_) {
    return;
  }
  const wire::Upstream* primary = FindServer(aDatabase, aDatabase.primary());
  if (primary != nullptr && primary->leaving()) {
    const auto hasSuccessor =
      std::any_of(aDatabase.servers().begin(),
                  aDatabase.servers().end(),
                  [](const auto& aServer) { return !aServer.leaving(); });
    if (hasSuccessor) {
      StartReplacement(aDatabase, true, "the primary is leaving", aNow);
    }
  } else if (primary == nullptr) {
    StartReplacement(aDatabase, false, "the primary is gone", aNow);
  } else if (IsPrimarySuspected(aDatabase, aLeases, aNow)) {
    StartReplacement(aDatabase, false, "the primary is suspected", aNow);
  }
}

// When a database is new to the control state, one of its servers is already
// the primary. That server's own status gives the first primary and its term.
void
Failover::ProposeInitialPrimary(const wire::Database& aDatabase, Time aNow)
{
  for (const auto& [server, status] : initialStatuses_[aDatabase.name()]) {
    if (status.primary_ && status.term_ > aDatabase.primary_term()) {
      wire::Change change;
      change.mutable_primary()->set_database(aDatabase.name());
      change.mutable_primary()->set_server(server);
      change.mutable_primary()->set_term(status.term_);
      proposals_.push_back(std::move(change));
      initialStatuses_.erase(aDatabase.name());
      initialStatusRequestedAt_[aDatabase.name()] = aNow + kProposalInterval;
      return;
    }
  }
  Time& requestedAt = initialStatusRequestedAt_[aDatabase.name()];
  if (aNow < requestedAt + timing_.initialStatusInterval_) {
    return;
  }
  requestedAt = aNow;
  for (const auto& server : aDatabase.servers()) {
    if (server.claims_primary()) {
      RequestStatus(server, 0, aNow);
    }
  }
}

std::size_t
Failover::CountSuspectingVms(const wire::Database& aDatabase, Time aNow) const
{
  const auto reports = suspicionReports_.find(aDatabase.name());
  if (reports == suspicionReports_.end()) {
    return 0;
  }
  std::size_t suspecting = 0;
  for (const auto& [vm, report] : reports->second) {
    const bool counts = report.suspected_ &&
                        report.term_ == aDatabase.primary_term() &&
                        report.server_ == aDatabase.primary() &&
                        aNow - report.receivedAt_ <= timing_.suspicionWindow_;
    suspecting += counts ? 1U : 0U;
  }
  return suspecting;
}

// True if more than half of the VMs that use primaries, that is, that have
// asked for leases recently, suspect this one.
bool
Failover::IsPrimarySuspected(const wire::Database& aDatabase,
                             const LeaseTable& aLeases,
                             Time aNow) const
{
  const std::size_t suspecting = CountSuspectingVms(aDatabase, aNow);
  return hasHeardHolders_ && suspecting > 0 &&
         suspecting * 2 > aLeases.CountReachableHolders(aNow);
}

std::vector<DatabaseId>
Failover::ListDatabasesWithSuspicion(const ControlState& aState,
                                     Time aNow) const
{
  std::vector<DatabaseId> suspected;
  for (const auto& [name, database] : aState.Databases()) {
    if (CountSuspectingVms(database, aNow) > 0) {
      suspected.push_back(name);
    }
  }
  return suspected;
}

void
Failover::StartReplacement(const wire::Database& aDatabase,
                           bool aPlanned,
                           std::string_view aCause,
                           Time aNow)
{
  Replacement replacement;
  replacement.planned_ = aPlanned;
  replacement.startedAt_ = aNow;
  replacement.successor_ = aDatabase.intended_primary();
  SetPhase(replacement,
           replacement.successor_.empty() ? Phase::Choosing : Phase::Fencing,
           aNow);
  replacements_[aDatabase.name()] = std::move(replacement);
  DropPromotionCalls(aDatabase.name());
  logEvents_.push_back(
    { Event::PromotionStarted,
      fmt::format("database={} primary={} term={} cause=\"{}\"",
                  aDatabase.name(),
                  aDatabase.primary(),
                  aDatabase.primary_term(),
                  aCause) });
}

void
Failover::SetPhase(Replacement& aReplacement, Phase aPhase, Time aNow)
{
  aReplacement.phase_ = aPhase;
  aReplacement.phaseStartedAt_ = aNow;
  aReplacement.statusesRequestedAt_ = Time{};
  aReplacement.firstStatusAt_.reset();
  aReplacement.statuses_.clear();
  aReplacement.firstCallId_ = nextCallId_;
}

// ---- Status requests to servers

void
Failover::RequestStatus(const wire::Upstream& aServer,
                        std::uint64_t aStepDownTerm,
                        Time aNow)
{
  const std::uint64_t callId = nextCallId_++;
  pendingCalls_[callId] = {
    aServer.database(), aServer.server(), aNow, aStepDownTerm != 0
  };
  statusRequests_.push_back({ callId, aServer, aStepDownTerm });
}

// Requests the statuses of all servers, once in each status interval.
void
Failover::RequestStatuses(const wire::Database& aDatabase,
                          Replacement& aReplacement,
                          Time aNow)
{
  if (aNow < aReplacement.statusesRequestedAt_ + timing_.statusInterval_) {
    return;
  }
  aReplacement.statusesRequestedAt_ = aNow;
  for (const auto& server : aDatabase.servers()) {
    RequestStatus(server, 0, aNow);
  }
}

// ---- The phases of a replacement

void
Failover::Advance(const wire::Database& aDatabase,
                  Replacement& aReplacement,
                  LeaseTable& aLeases,
                  Time aNow)
{
  switch (aReplacement.phase_) {
    case Phase::Choosing:
      AdvanceChoosing(aDatabase, aReplacement, aNow);
      break;
    case Phase::Fencing:
      AdvanceFencing(aDatabase, aReplacement, aLeases, aNow);
      break;
    case Phase::Promoting:
      AdvancePromoting(aDatabase, aReplacement, aLeases, aNow);
      break;
  }
}

// Returns the server with the longest log; empty if no server can be chosen. A
// server that is leaving gets no new work, and is chosen only if all others are
// leaving as well.
ServerId
Failover::FindSuccessor(const wire::Database& aDatabase,
                        const Replacement& aReplacement) const
{
  const bool someRemain = std::any_of(
    aDatabase.servers().begin(),
    aDatabase.servers().end(),
    [&](const wire::Upstream& aServer) {
      return !aServer.leaving() && aServer.server() != aDatabase.primary();
    });
  const wire::Upstream* best = nullptr;
  LogPoint bestPoint;
  for (const auto& server : aDatabase.servers()) {
    const auto status = aReplacement.statuses_.find(server.server());
    const bool isCandidate =
      server.server() != aDatabase.primary() &&
      status != aReplacement.statuses_.end() &&
      !aReplacement.excludedServers_.contains(server.server());
    if (!isCandidate) {
      continue;
    }
    // A server that is the primary at a later term has been promoted already.
    if (status->second.primary_ &&
        status->second.term_ > aDatabase.primary_term()) {
      return server.server();
    }
    const LogPoint point = status->second.received_;
    const bool allowed = !someRemain || !server.leaving();
    if (allowed && (best == nullptr || point > bestPoint)) {
      best = &server;
      bestPoint = point;
    }
  }
  return best == nullptr ? ServerId() : best->server();
}

void
Failover::AdvanceChoosing(const wire::Database& aDatabase,
                          Replacement& aReplacement,
                          Time aNow)
{
  RequestStatuses(aDatabase, aReplacement, aNow);
  const auto servers = static_cast<std::size_t>(aDatabase.servers_size());
  const bool all =
    aReplacement.statuses_.size() -
      (aReplacement.statuses_.contains(aDatabase.primary()) ? 1U : 0U) + 1 >=
    servers;
  const bool delayElapsed =
    aReplacement.firstStatusAt_ &&
    aNow - *aReplacement.firstStatusAt_ >= timing_.lateStatusDelay_;
  if (!all && !delayElapsed) {
    return;
  }
  ServerId successor = FindSuccessor(aDatabase, aReplacement);
  if (successor.empty()) {
    aReplacement.excludedServers_.clear();
    return;
  }
  aReplacement.successor_ = std::move(successor);
  aReplacement.promotionRefused_ = false;
  aReplacement.promotionAccepted_ = false;
  SetPhase(aReplacement, Phase::Fencing, aNow);
}

void
Failover::ProposeIntent(const wire::Database& aDatabase,
                        Replacement& aReplacement,
                        Time aNow)
{
  if (aNow < aReplacement.proposedAt_ + kProposalInterval) {
    return;
  }
  aReplacement.proposedAt_ = aNow;
  wire::Change change;
  change.mutable_intent()->set_database(aDatabase.name());
  change.mutable_intent()->set_term(
    std::max(aDatabase.reserved_term(), aDatabase.primary_term()) + 1);
  change.mutable_intent()->set_server(aReplacement.successor_);
  proposals_.push_back(std::move(change));
}

// True once the successor has every log entry that the old primary had when the
// leases on it were given back, or once catchUpLimit_ has passed. A replacement
// that was not planned does not wait.
bool
Failover::HasSuccessorCaughtUp(const wire::Database& aDatabase,
                               const Replacement& aReplacement,
                               Time aNow) const
{
  if (!aReplacement.planned_ ||
      aNow - aReplacement.phaseStartedAt_ >= timing_.catchUpLimit_) {
    return true;
  }
  const auto old = aReplacement.statuses_.find(aDatabase.primary());
  const auto next = aReplacement.statuses_.find(aReplacement.successor_);
  return old != aReplacement.statuses_.end() &&
         next != aReplacement.statuses_.end() &&
         next->second.received_ >= old->second.received_;
}

// True if the primary has not been suspected for suspicionClearDelay_, and no
// step was taken that can't be undone, such as proposing the intent.
bool
Failover::CanKeepPrimary(const wire::Database& aDatabase,
                         Replacement& aReplacement,
                         const LeaseTable& aLeases,
                         Time aNow)
{
  const wire::Upstream* old = FindServer(aDatabase, aDatabase.primary());
  const bool canBeKept = old != nullptr && !old->leaving() &&
                         aDatabase.intended_primary().empty() &&
                         aReplacement.proposedAt_ == Time{};
  if (!canBeKept || IsPrimarySuspected(aDatabase, aLeases, aNow)) {
    aReplacement.unsuspectedSince_.reset();
    return false;
  }
  if (!aReplacement.unsuspectedSince_) {
    aReplacement.unsuspectedSince_ = aNow;
  }
  return aNow - *aReplacement.unsuspectedSince_ >= timing_.suspicionClearDelay_;
}

void
Failover::AdvanceFencing(const wire::Database& aDatabase,
                         Replacement& aReplacement,
                         LeaseTable& aLeases,
                         Time aNow)
{
  if (CanKeepPrimary(aDatabase, aReplacement, aLeases, aNow)) {
    aLeases.LiftFence(aDatabase.name());
    primaryChangedAt_[aDatabase.name()] = aNow;
    logEvents_.push_back(
      { Event::PromotionFinished,
        fmt::format("database={} server={} term={} cause=\"the "
                    "primary is no longer suspected\"",
                    aDatabase.name(),
                    aDatabase.primary(),
                    aDatabase.primary_term()) });
    replacements_.erase(aDatabase.name()); // invalidates aReplacement
    return;
  }
  aLeases.Fence(aDatabase.name(), aDatabase.primary_term());
  const bool leasesGone = aLeases.HasNoHolders(aDatabase.name(), aNow);
  if (!leasesGone &&
      aNow >= aReplacement.leasesRevokedAt_ + kRevocationInterval) {
    aReplacement.leasesRevokedAt_ = aNow;
    revocations_.push_back(aDatabase.name());
  }
  // Until the old primary steps down, its statuses tell which log entries the
  // successor still lacks. Those that were requested before its leases were
  // given back are out of date.
  const bool awaitsLeases =
    aReplacement.planned_ && !aReplacement.oldPrimarySteppedDown_ &&
    !leasesGone && aNow - aReplacement.phaseStartedAt_ < timing_.catchUpLimit_;
  if (awaitsLeases) {
    aReplacement.statuses_.clear();
    aReplacement.firstCallId_ = nextCallId_;
    return;
  }
  const wire::Upstream* old = FindServer(aDatabase, aDatabase.primary());
  const bool intentLogged =
    aDatabase.intended_primary() == aReplacement.successor_;
  if (!intentLogged ||
      (aReplacement.planned_ && !aReplacement.oldPrimarySteppedDown_)) {
    RequestStatuses(aDatabase, aReplacement, aNow);
  }
  if (aReplacement.planned_ && !aReplacement.oldPrimarySteppedDown_ &&
      !HasSuccessorCaughtUp(aDatabase, aReplacement, aNow)) {
    return;
  }
  const bool primaryReached =
    aReplacement.statuses_.contains(aDatabase.primary());
  if (!intentLogged) {
    if (leasesGone || primaryReached) {
      ProposeIntent(aDatabase, aReplacement, aNow);
    }
    return;
  }
  const bool requestDue =
    aNow >= aReplacement.roleRequestSentAt_ + timing_.statusInterval_;
  if (old != nullptr && !aReplacement.oldPrimarySteppedDown_ && requestDue) {
    aReplacement.roleRequestSentAt_ = aNow;
    RequestStatus(*old, aDatabase.reserved_term(), aNow);
  }
  if (leasesGone || aReplacement.oldPrimarySteppedDown_) {
    aReplacement.roleRequestSentAt_ = Time{};
    SetPhase(aReplacement, Phase::Promoting, aNow);
    AdvancePromoting(aDatabase, aReplacement, aLeases, aNow);
  }
}

void
Failover::AdvancePromoting(const wire::Database& aDatabase,
                           Replacement& aReplacement,
                           LeaseTable& aLeases,
                           Time aNow)
{
  if (aDatabase.intended_primary().empty()) {
    // The control state names the new primary.
    primaryChangedAt_[aDatabase.name()] = aNow;
    logEvents_.push_back(
      { Event::PromotionFinished,
        fmt::format("database={} server={} term={} took_ms={}",
                    aDatabase.name(),
                    aDatabase.primary(),
                    aDatabase.primary_term(),
                    CountMs(aNow - aReplacement.startedAt_)) });
    replacements_.erase(aDatabase.name()); // invalidates aReplacement
    return;
  }
  const bool leasesGone = aLeases.HasNoHolders(aDatabase.name(), aNow);
  if (!leasesGone &&
      aNow >= aReplacement.leasesRevokedAt_ + kRevocationInterval) {
    aReplacement.leasesRevokedAt_ = aNow;
    revocations_.push_back(aDatabase.name());
  }
  const auto status = aReplacement.statuses_.find(aReplacement.successor_);
  const bool isPromoted = status != aReplacement.statuses_.end() &&
                          status->second.primary_ &&
                          status->second.term_ > aDatabase.primary_term();
  if (isPromoted) {
    if (leasesGone && aNow >= aReplacement.proposedAt_ + kProposalInterval) {
      aReplacement.proposedAt_ = aNow;
      wire::Change change;
      change.mutable_primary()->set_database(aDatabase.name());
      change.mutable_primary()->set_server(aReplacement.successor_);
      change.mutable_primary()->set_term(status->second.term_);
      proposals_.push_back(std::move(change));
    }
    return;
  }
  aReplacement.proposedAt_ = Time{};
  if (aReplacement.promotionRefused_ ||
      aNow - aReplacement.phaseStartedAt_ >= timing_.promotionTimeout_) {
    logEvents_.push_back({ Event::PromotionStalled,
                           fmt::format("database={} server={} refused={}",
                                       aDatabase.name(),
                                       aReplacement.successor_,
                                       aReplacement.promotionRefused_) });
    aReplacement.excludedServers_ = { aReplacement.successor_ };
    aReplacement.planned_ = false;
    SetPhase(aReplacement, Phase::Choosing, aNow);
    DropPromotionCalls(aDatabase.name());
    return;
  }
  if (!aReplacement.promotionAccepted_ &&
      aNow >=
        aReplacement.roleRequestSentAt_ + timing_.promotionRetryInterval_) {
    aReplacement.roleRequestSentAt_ = aNow;
    const std::uint64_t callId = nextCallId_++;
    pendingPromotionCalls_[callId] = aDatabase.name();
    promotionRequests_.push_back(
      { callId, aDatabase.name(), aReplacement.successor_, fencingToken_ });
  }
  const wire::Upstream* server = FindServer(aDatabase, aReplacement.successor_);
  if (server != nullptr &&
      aNow >= aReplacement.statusesRequestedAt_ + timing_.statusInterval_) {
    aReplacement.statusesRequestedAt_ = aNow;
    RequestStatus(*server, 0, aNow);
  }
}

} // namespace jaydoor
