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
  changes_.clear();
  calls_.clear();
  promotionCalls_.clear();
  claims_.clear();
}

std::vector<CallServer>
Failover::TakeCalls()
{
  return std::exchange(out_, {});
}

std::vector<RequestPromotion>
Failover::TakePromotions()
{
  return std::exchange(promotions_, {});
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

std::vector<ControlNote>
Failover::TakeNotes()
{
  return std::exchange(notes_, {});
}

// ---- Reports and results

void
Failover::NoteSuspicion(const VmId& aFrom,
                        const wire::Suspicion& aSuspicion,
                        Time aNow)
{
  Report& report = reports_[aSuspicion.database()][aFrom];
  report.term_ = aSuspicion.term();
  report.server_ = aSuspicion.server();
  report.suspected_ = aSuspicion.suspected();
  report.at_ = aNow;
}

void
Failover::NoteStatus(std::uint64_t aCall,
                     const std::optional<ServerStatus>& aStatus,
                     Time aNow)
{
  const auto found = calls_.find(aCall);
  if (found == calls_.end()) {
    return;
  }
  const Call call = found->second;
  calls_.erase(found);
  if (!aStatus) {
    return;
  }
  const auto change = changes_.find(call.database_);
  if (change == changes_.end()) {
    claims_[call.database_][call.server_] = *aStatus;
    return;
  }
  change->second.statuses_[call.server_] = *aStatus;
  if (!change->second.firstAnswerAt_) {
    change->second.firstAnswerAt_ = aNow;
  }
  if (call.stepDown_ && !aStatus->primary_) {
    change->second.steppedDown_ = true;
  }
}

void
Failover::NotePromotion(std::uint64_t aCall, PromotionAnswer aAnswer, Time aNow)
{
  const auto found = promotionCalls_.find(aCall);
  if (found == promotionCalls_.end()) {
    return;
  }
  const auto change = changes_.find(found->second);
  promotionCalls_.erase(found);
  if (change == changes_.end()) {
    return;
  }
  notes_.push_back(
    { Event::PromotionAnswered,
      fmt::format("database={} server={} answer={} after_ms={}",
                  change->first,
                  change->second.successor_,
                  aAnswer == PromotionAnswer::Accepted  ? "accepted"
                  : aAnswer == PromotionAnswer::Refused ? "refused"
                                                        : "unknown",
                  CountMs(aNow - change->second.promotedAt_)) });
  change->second.accepted_ |= aAnswer == PromotionAnswer::Accepted;
  change->second.refused_ = aAnswer == PromotionAnswer::Refused;
}

// ---- The tick

void
Failover::Tick(const ControlState& aState,
               LeaseTable& aLeases,
               std::uint64_t aFencingToken,
               Time aNow)
{
  fence_ = aFencingToken;
  DropLateCalls(aNow);
  for (const auto& [name, database] : aState.Databases()) {
    const auto change = changes_.find(name);
    if (change != changes_.end()) {
      Advance(database, change->second, aLeases, aNow);
    } else {
      Watch(database, aLeases, aNow);
    }
  }
}

void
Failover::DropLateCalls(Time aNow)
{
  EraseWhere(calls_, [&](std::uint64_t, const Call& aCall) {
    return aNow - aCall.at_ > timing_.callLimit_;
  });
}

// ---- When a replacement is needed

// Starts a replacement if the primary is leaving, gone or suspected, or if an
// earlier leader wrote the intent of one to the control log. Looks for the
// primary if none is known yet.
void
Failover::Watch(const wire::Database& aDatabase, LeaseTable& aLeases, Time aNow)
{
  if (!aDatabase.intended_primary().empty()) {
    Start(aDatabase, false, "an earlier leader started the promotion", aNow);
    return;
  }
  if (aDatabase.primary().empty()) {
    FindFirst(aDatabase, aNow);
    return;
  }
  const auto last = changedAt_.find(aDatabase.name());
  if (last != changedAt_.end() && aNow - last->second < timing_.calm_) {
    return;
  }
  const wire::Upstream* primary = FindServer(aDatabase, aDatabase.primary());
  if (primary != nullptr && primary->leaving()) {
    const auto hasSuccessor =
      std::any_of(aDatabase.servers().begin(),
                  aDatabase.servers().end(),
                  [](const auto& aServer) { return !aServer.leaving(); });
    if (hasSuccessor) {
      Start(aDatabase, true, "the primary is leaving", aNow);
    }
  } else if (primary == nullptr) {
    Start(aDatabase, false, "the primary is gone", aNow);
  } else if (IsSuspected(aDatabase, aLeases, aNow)) {
    Start(aDatabase, false, "the primary is suspected", aNow);
  }
}

// When a database is new to the control state, one of its servers is already
// the primary. That server's own status gives the first primary and its term.
void
Failover::FindFirst(const wire::Database& aDatabase, Time aNow)
{
  for (const auto& [server, status] : claims_[aDatabase.name()]) {
    if (status.primary_ && status.term_ > aDatabase.primary_term()) {
      wire::Change change;
      change.mutable_primary()->set_database(aDatabase.name());
      change.mutable_primary()->set_server(server);
      change.mutable_primary()->set_term(status.term_);
      proposals_.push_back(std::move(change));
      claims_.erase(aDatabase.name());
      askedAt_[aDatabase.name()] = aNow + kProposalInterval;
      return;
    }
  }
  Time& askedAt = askedAt_[aDatabase.name()];
  if (aNow < askedAt + timing_.initialEvery_) {
    return;
  }
  askedAt = aNow;
  for (const auto& server : aDatabase.servers()) {
    if (server.claims_primary()) {
      Ask(server, 0, aNow);
    }
  }
}

std::size_t
Failover::CountSuspecting(const wire::Database& aDatabase, Time aNow) const
{
  const auto reports = reports_.find(aDatabase.name());
  if (reports == reports_.end()) {
    return 0;
  }
  std::size_t suspecting = 0;
  for (const auto& [vm, report] : reports->second) {
    const bool counts = report.suspected_ &&
                        report.term_ == aDatabase.primary_term() &&
                        report.server_ == aDatabase.primary() &&
                        aNow - report.at_ <= timing_.reportAge_;
    suspecting += counts ? 1U : 0U;
  }
  return suspecting;
}

// True if more than half of the VMs that use primaries, that is, that have
// asked for leases recently, suspect this one.
bool
Failover::IsSuspected(const wire::Database& aDatabase,
                      const LeaseTable& aLeases,
                      Time aNow) const
{
  const std::size_t suspecting = CountSuspecting(aDatabase, aNow);
  return suspecting > 0 && suspecting * 2 > aLeases.CountContacts(aNow);
}

std::vector<DatabaseId>
Failover::ListDoubted(const ControlState& aState, Time aNow) const
{
  std::vector<DatabaseId> doubted;
  for (const auto& [name, database] : aState.Databases()) {
    if (CountSuspecting(database, aNow) > 0) {
      doubted.push_back(name);
    }
  }
  return doubted;
}

void
Failover::Start(const wire::Database& aDatabase,
                bool aPlanned,
                std::string_view aCause,
                Time aNow)
{
  Change change;
  change.planned_ = aPlanned;
  change.startedAt_ = aNow;
  change.successor_ = aDatabase.intended_primary();
  SetPhase(
    change, change.successor_.empty() ? Phase::Choosing : Phase::Fencing, aNow);
  changes_[aDatabase.name()] = std::move(change);
  notes_.push_back({ Event::PromotionStarted,
                     fmt::format("database={} primary={} term={} cause=\"{}\"",
                                 aDatabase.name(),
                                 aDatabase.primary(),
                                 aDatabase.primary_term(),
                                 aCause) });
}

void
Failover::SetPhase(Change& aChange, Phase aPhase, Time aNow)
{
  aChange.phase_ = aPhase;
  aChange.phaseAt_ = aNow;
  aChange.askedAt_ = Time{};
  aChange.firstAnswerAt_.reset();
  aChange.statuses_.clear();
}

// ---- Status requests to servers

void
Failover::Ask(const wire::Upstream& aServer,
              std::uint64_t aStepDownTerm,
              Time aNow)
{
  const std::uint64_t call = nextCall_++;
  calls_[call] = {
    aServer.database(), aServer.server(), aNow, aStepDownTerm != 0
  };
  out_.push_back({ call, aServer, aStepDownTerm });
}

// Requests the statuses of all servers, once in each status interval.
void
Failover::AskAll(const wire::Database& aDatabase, Change& aChange, Time aNow)
{
  if (aNow < aChange.askedAt_ + timing_.statusEvery_) {
    return;
  }
  aChange.askedAt_ = aNow;
  for (const auto& server : aDatabase.servers()) {
    Ask(server, 0, aNow);
  }
}

// ---- The phases of a replacement

void
Failover::Advance(const wire::Database& aDatabase,
                  Change& aChange,
                  LeaseTable& aLeases,
                  Time aNow)
{
  switch (aChange.phase_) {
    case Phase::Choosing:
      Choose(aDatabase, aChange, aNow);
      break;
    case Phase::Fencing:
      FenceOld(aDatabase, aChange, aLeases, aNow);
      break;
    case Phase::Promoting:
      Promote(aDatabase, aChange, aLeases, aNow);
      break;
  }
}

// Returns the server with the longest log; empty if no server can be chosen. A
// server that is leaving gets no new work, and is chosen only if all others are
// leaving as well.
ServerId
Failover::ChooseSuccessor(const wire::Database& aDatabase,
                          const Change& aChange) const
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
    const auto status = aChange.statuses_.find(server.server());
    const bool isCandidate = server.server() != aDatabase.primary() &&
                             status != aChange.statuses_.end() &&
                             !aChange.refusing_.contains(server.server());
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
Failover::Choose(const wire::Database& aDatabase, Change& aChange, Time aNow)
{
  AskAll(aDatabase, aChange, aNow);
  const auto servers = static_cast<std::size_t>(aDatabase.servers_size());
  const bool all =
    aChange.statuses_.size() -
      (aChange.statuses_.contains(aDatabase.primary()) ? 1U : 0U) + 1 >=
    servers;
  const bool delayElapsed =
    aChange.firstAnswerAt_ &&
    aNow - *aChange.firstAnswerAt_ >= timing_.candidateWait_;
  if (!all && !delayElapsed) {
    return;
  }
  ServerId successor = ChooseSuccessor(aDatabase, aChange);
  if (successor.empty()) {
    aChange.refusing_.clear();
    return;
  }
  aChange.successor_ = std::move(successor);
  aChange.refused_ = false;
  aChange.accepted_ = false;
  SetPhase(aChange, Phase::Fencing, aNow);
}

void
Failover::ProposeIntent(const wire::Database& aDatabase,
                        Change& aChange,
                        Time aNow)
{
  if (aNow < aChange.proposedAt_ + kProposalInterval) {
    return;
  }
  aChange.proposedAt_ = aNow;
  wire::Change change;
  change.mutable_intent()->set_database(aDatabase.name());
  change.mutable_intent()->set_term(
    std::max(aDatabase.reserved_term(), aDatabase.primary_term()) + 1);
  change.mutable_intent()->set_server(aChange.successor_);
  proposals_.push_back(std::move(change));
}

// True once the successor has every log entry that the old primary had when the
// leases on it were given back, or once the time limit for this is over. A
// replacement that was not planned does not wait.
bool
Failover::HasCaughtUp(const wire::Database& aDatabase,
                      const Change& aChange,
                      Time aNow) const
{
  if (!aChange.planned_ || aNow - aChange.phaseAt_ >= timing_.catchUp_) {
    return true;
  }
  const auto old = aChange.statuses_.find(aDatabase.primary());
  const auto next = aChange.statuses_.find(aChange.successor_);
  return old != aChange.statuses_.end() && next != aChange.statuses_.end() &&
         next->second.received_ >= old->second.received_;
}

// True if the primary has not been suspected for the clear delay, and no step
// was taken that can't be undone, such as proposing the intent.
bool
Failover::IsTrusted(const wire::Database& aDatabase,
                    Change& aChange,
                    const LeaseTable& aLeases,
                    Time aNow)
{
  const wire::Upstream* old = FindServer(aDatabase, aDatabase.primary());
  const bool canBeKept = old != nullptr && !old->leaving() &&
                         aDatabase.intended_primary().empty() &&
                         aChange.proposedAt_ == Time{};
  if (!canBeKept || IsSuspected(aDatabase, aLeases, aNow)) {
    aChange.trustedSince_.reset();
    return false;
  }
  if (!aChange.trustedSince_) {
    aChange.trustedSince_ = aNow;
  }
  return aNow - *aChange.trustedSince_ >= timing_.trust_;
}

void
Failover::FenceOld(const wire::Database& aDatabase,
                   Change& aChange,
                   LeaseTable& aLeases,
                   Time aNow)
{
  if (IsTrusted(aDatabase, aChange, aLeases, aNow)) {
    aLeases.LiftFence(aDatabase.name());
    changedAt_[aDatabase.name()] = aNow;
    notes_.push_back({ Event::PromotionFinished,
                       fmt::format("database={} server={} term={} cause=\"the "
                                   "primary is no longer suspected\"",
                                   aDatabase.name(),
                                   aDatabase.primary(),
                                   aDatabase.primary_term()) });
    changes_.erase(aDatabase.name()); // invalidates aChange
    return;
  }
  aLeases.Fence(aDatabase.name(), aDatabase.primary_term());
  const bool leasesGone = aLeases.IsFree(aDatabase.name(), aNow);
  if (!leasesGone && aNow >= aChange.revokedAt_ + kRevocationInterval) {
    aChange.revokedAt_ = aNow;
    revocations_.push_back(aDatabase.name());
  }
  const wire::Upstream* old = FindServer(aDatabase, aDatabase.primary());
  const bool intentLogged = aDatabase.intended_primary() == aChange.successor_;
  if (!intentLogged || (aChange.planned_ && !aChange.steppedDown_)) {
    AskAll(aDatabase, aChange, aNow);
  }
  // Until the old primary steps down, its statuses tell which log entries the
  // successor still lacks. Those from before its leases were given back are
  // out of date.
  if (aChange.planned_ && !aChange.steppedDown_) {
    if (!leasesGone && aNow - aChange.phaseAt_ < timing_.catchUp_) {
      aChange.statuses_.clear();
      return;
    }
    if (!HasCaughtUp(aDatabase, aChange, aNow)) {
      return;
    }
  }
  const bool primaryReached = aChange.statuses_.contains(aDatabase.primary());
  if (!intentLogged) {
    if (leasesGone || primaryReached) {
      ProposeIntent(aDatabase, aChange, aNow);
    }
    return;
  }
  const bool requestDue = aNow >= aChange.promotedAt_ + timing_.statusEvery_;
  if (old != nullptr && !aChange.steppedDown_ && requestDue) {
    aChange.promotedAt_ = aNow;
    Ask(*old, aDatabase.reserved_term(), aNow);
  }
  if (leasesGone || aChange.steppedDown_) {
    aChange.promotedAt_ = Time{};
    SetPhase(aChange, Phase::Promoting, aNow);
    Promote(aDatabase, aChange, aLeases, aNow);
  }
}

void
Failover::Promote(const wire::Database& aDatabase,
                  Change& aChange,
                  LeaseTable& aLeases,
                  Time aNow)
{
  if (aDatabase.intended_primary().empty()) {
    // The control state names the new primary.
    changedAt_[aDatabase.name()] = aNow;
    notes_.push_back({ Event::PromotionFinished,
                       fmt::format("database={} server={} term={} took_ms={}",
                                   aDatabase.name(),
                                   aDatabase.primary(),
                                   aDatabase.primary_term(),
                                   CountMs(aNow - aChange.startedAt_)) });
    changes_.erase(aDatabase.name()); // invalidates aChange
    return;
  }
  const bool leasesGone = aLeases.IsFree(aDatabase.name(), aNow);
  if (!leasesGone && aNow >= aChange.revokedAt_ + kRevocationInterval) {
    aChange.revokedAt_ = aNow;
    revocations_.push_back(aDatabase.name());
  }
  const auto status = aChange.statuses_.find(aChange.successor_);
  const bool isPromoted = status != aChange.statuses_.end() &&
                          status->second.primary_ &&
                          status->second.term_ > aDatabase.primary_term();
  if (isPromoted) {
    if (leasesGone && aNow >= aChange.proposedAt_ + kProposalInterval) {
      aChange.proposedAt_ = aNow;
      wire::Change change;
      change.mutable_primary()->set_database(aDatabase.name());
      change.mutable_primary()->set_server(aChange.successor_);
      change.mutable_primary()->set_term(status->second.term_);
      proposals_.push_back(std::move(change));
    }
    return;
  }
  aChange.proposedAt_ = Time{};
  if (aChange.refused_ || aNow - aChange.phaseAt_ >= timing_.effectLimit_) {
    notes_.push_back({ Event::PromotionStalled,
                       fmt::format("database={} server={} refused={}",
                                   aDatabase.name(),
                                   aChange.successor_,
                                   aChange.refused_) });
    aChange.refusing_ = { aChange.successor_ };
    aChange.planned_ = false;
    SetPhase(aChange, Phase::Choosing, aNow);
    return;
  }
  if (!aChange.accepted_ &&
      aNow >= aChange.promotedAt_ + timing_.promoteAgain_) {
    aChange.promotedAt_ = aNow;
    const std::uint64_t call = nextCall_++;
    promotionCalls_[call] = aDatabase.name();
    promotions_.push_back(
      { call, aDatabase.name(), aChange.successor_, fence_ });
  }
  const wire::Upstream* server = FindServer(aDatabase, aChange.successor_);
  if (server != nullptr && aNow >= aChange.askedAt_ + timing_.statusEvery_) {
    aChange.askedAt_ = aNow;
    Ask(*server, 0, aNow);
  }
}

} // namespace jaydoor
