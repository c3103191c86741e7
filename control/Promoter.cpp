#include "control/Promoter.h"

#include "base/Erase.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace jaydoor {
namespace {

// A promotion that is not finished is logged as stalled whenever this time has
// passed.
constexpr Duration kStallTimeout = 3s;

std::size_t
MajoritySize(const wire::Database& aDatabase)
{
  return ControlState::GroupSize(aDatabase) / 2 + 1;
}

} // namespace

Promoter::Promoter(PromoterTiming aTiming)
  : timing_(aTiming)
{
}

void
Promoter::Reset()
{
  promotions_.clear();
  pendingCalls_.clear();
  suspicionReports_.clear();
  primaryMissingSince_.clear();
}

std::vector<SendPromoterRequest>
Promoter::TakeRequests()
{
  return std::exchange(requests_, {});
}

std::vector<wire::Change>
Promoter::TakeProposals()
{
  return std::exchange(proposals_, {});
}

std::vector<LogControlEvent>
Promoter::TakeLogEvents()
{
  return std::exchange(logEvents_, {});
}

void
Promoter::RecordSuspicion(const VmId& aFrom,
                          const wire::Suspicion& aSuspicion,
                          Time aNow)
{
  suspicionReports_[aSuspicion.database()][aFrom] = { aSuspicion.term(),
                                                      aNow,
                                                      aSuspicion.suspected() };
}

// ---- Whether a promotion is needed

// True if the database has no primary, or if the watchers of a majority of its
// servers suspect the primary. The watcher of a server is the VM that owns it;
// a VM that owns several servers counts once for each.
bool
Promoter::IsPromotionNeeded(const wire::Database& aDatabase,
                            const OwnerMap& aOwners,
                            Time aNow)
{
  const auto known = static_cast<std::size_t>(aDatabase.servers_size());
  if (known < MajoritySize(aDatabase)) {
    return false;
  }
  if (aDatabase.primary().empty()) {
    const Time first =
      primaryMissingSince_.try_emplace(aDatabase.name(), aNow).first->second;
    const bool isComplete = known >= ControlState::GroupSize(aDatabase);
    return isComplete || aNow - first >= timing_.newGroupDelay_;
  }
  const auto found = suspicionReports_.find(aDatabase.name());
  if (found == suspicionReports_.end()) {
    return false;
  }
  std::size_t suspecting = 0;
  for (const auto& server : aDatabase.servers()) {
    const auto report = found->second.find(aOwners.FindOwner(server));
    const bool counts =
      report != found->second.end() && report->second.suspected_ &&
      report->second.term_ == aDatabase.primary_term() &&
      aNow - report->second.receivedAt_ <= timing_.suspicionWindow_;
    suspecting += counts ? 1U : 0U;
  }
  return suspecting >= MajoritySize(aDatabase);
}

void
Promoter::Tick(const ControlState& aState, const OwnerMap& aOwners, Time aNow)
{
  for (const auto& [name, database] : aState.Databases()) {
    const bool running = promotions_.contains(name);
    const bool nothingToDo =
      !running && suspicionReports_.empty() && !database.primary().empty();
    if (nothingToDo) {
      continue;
    }
    if (!running && IsPromotionNeeded(database, aOwners, aNow)) {
      Promotion& promotion = promotions_[name];
      promotion.startedAt_ = aNow;
      promotion.phaseStartedAt_ = aNow;
      promotion.term_ = database.reserved_term() + 1;
      logEvents_.push_back({ Event::PromotionStarted,
                             fmt::format("database={} term={} primary_was={}",
                                         name,
                                         promotion.term_,
                                         database.primary()) });
    }
    const auto found = promotions_.find(name);
    if (found != promotions_.end()) {
      Advance(database, found->second, aNow);
    }
  }
  EraseWhere(promotions_, [&](const DatabaseId& aName, Promotion& aPromotion) {
    const auto database = aState.Databases().find(aName);
    return database == aState.Databases().end() ||
           database->second.primary_term() >= aPromotion.term_;
  });
}

// ---- The four phases of a promotion

void
Promoter::SetPhase(Promotion& aPromotion, Phase aPhase, Time aNow)
{
  aPromotion.phase_ = aPhase;
  aPromotion.phaseStartedAt_ = aNow;
  aPromotion.retryAt_ = aNow;
}

void
Promoter::Advance(const wire::Database& aDatabase,
                  Promotion& aPromotion,
                  Time aNow)
{
  if (aPromotion.needsNewTerm_) {
    const std::uint64_t term =
      std::max(aPromotion.highestUsedTerm_, aDatabase.reserved_term()) + 1;
    const Time startedAt = aPromotion.startedAt_;
    aPromotion = Promotion{};
    aPromotion.term_ = term;
    aPromotion.startedAt_ = startedAt;
    SetPhase(aPromotion, Phase::Reserving, aNow);
  }
  if (aNow - aPromotion.startedAt_ >= kStallTimeout) {
    logEvents_.push_back({ Event::PromotionStalled,
                           fmt::format("database={} term={} sealed={}",
                                       aDatabase.name(),
                                       aPromotion.term_,
                                       aPromotion.sealedPoints_.size()) });
    aPromotion.startedAt_ = aNow;
  }
  switch (aPromotion.phase_) {
    case Phase::Reserving:
      Reserve(aDatabase, aPromotion, aNow);
      break;
    case Phase::Sealing:
      Seal(aDatabase, aPromotion, aNow);
      break;
    case Phase::Promoting:
      Promote(aDatabase, aPromotion, aNow);
      break;
    case Phase::Publishing:
      Publish(aDatabase, aPromotion, aNow);
      break;
  }
}

void
Promoter::Reserve(const wire::Database& aDatabase,
                  Promotion& aPromotion,
                  Time aNow)
{
  if (aDatabase.reserved_term() >= aPromotion.term_) {
    SetPhase(aPromotion, Phase::Sealing, aNow);
    Seal(aDatabase, aPromotion, aNow);
    return;
  }
  if (aNow < aPromotion.retryAt_) {
    return;
  }
  aPromotion.retryAt_ = aNow + timing_.proposalRetryInterval_;
  wire::Change change;
  change.mutable_intent()->set_database(aDatabase.name());
  change.mutable_intent()->set_term(aPromotion.term_);
  proposals_.push_back(std::move(change));
}

void
Promoter::Seal(const wire::Database& aDatabase,
               Promotion& aPromotion,
               Time aNow)
{
  if (aNow >= aPromotion.retryAt_) {
    aPromotion.retryAt_ = aNow + timing_.callRetryInterval_;
    for (const auto& server : aDatabase.servers()) {
      if (!aPromotion.sealedPoints_.contains(server.server())) {
        QueueRequest(server, UpstreamOp::Seal, aPromotion);
      }
    }
  }
  if (aPromotion.sealedPoints_.size() < MajoritySize(aDatabase)) {
    return;
  }
  if (!aPromotion.majoritySealedAt_) {
    aPromotion.majoritySealedAt_ = aNow;
  }
  const bool all = aPromotion.sealedPoints_.size() >=
                   static_cast<std::size_t>(aDatabase.servers_size());
  if (all || aNow - *aPromotion.majoritySealedAt_ >= timing_.lateSealDelay_) {
    aPromotion.chosenServer_ = ChooseServer(aDatabase, aPromotion);
    SetPhase(aPromotion, Phase::Promoting, aNow);
    Promote(aDatabase, aPromotion, aNow);
  }
}

// Returns the sealed server with the highest log point; among equal ones, one
// that is not leaving.
ServerId
Promoter::ChooseServer(const wire::Database& aDatabase,
                       const Promotion& aPromotion) const
{
  ServerId best;
  LogPoint bestPoint;
  bool bestLeaves = true;
  for (const auto& server : aDatabase.servers()) {
    const auto sealed = aPromotion.sealedPoints_.find(server.server());
    if (sealed == aPromotion.sealedPoints_.end()) {
      continue;
    }
    const LogPoint point = sealed->second;
    const bool better = best.empty() || point > bestPoint ||
                        (point == bestPoint && bestLeaves && !server.leaving());
    if (better) {
      best = server.server();
      bestPoint = point;
      bestLeaves = server.leaving();
    }
  }
  return best;
}

void
Promoter::Promote(const wire::Database& aDatabase,
                  Promotion& aPromotion,
                  Time aNow)
{
  if (aPromotion.promoted_) {
    SetPhase(aPromotion, Phase::Publishing, aNow);
    Publish(aDatabase, aPromotion, aNow);
    return;
  }
  if (aNow < aPromotion.retryAt_) {
    return;
  }
  const bool unanswered =
    aNow - aPromotion.phaseStartedAt_ >= timing_.callRetryInterval_ * 3;
  if (unanswered) {
    // The chosen server does not answer. It may have been promoted at this
    // term, so that another server needs a later term.
    aPromotion.needsNewTerm_ = true;
    aPromotion.highestUsedTerm_ = aPromotion.term_;
    return;
  }
  aPromotion.retryAt_ = aNow + timing_.callRetryInterval_;
  for (const auto& server : aDatabase.servers()) {
    if (server.server() == aPromotion.chosenServer_) {
      QueueRequest(server, UpstreamOp::Promote, aPromotion);
    }
  }
}

void
Promoter::Publish(const wire::Database& aDatabase,
                  Promotion& aPromotion,
                  Time aNow)
{
  if (aNow < aPromotion.retryAt_) {
    return;
  }
  aPromotion.retryAt_ = aNow + timing_.proposalRetryInterval_;
  wire::Change change;
  change.mutable_primary()->set_database(aDatabase.name());
  change.mutable_primary()->set_server(aPromotion.chosenServer_);
  change.mutable_primary()->set_term(aPromotion.term_);
  proposals_.push_back(std::move(change));
}

// ---- Requests to servers

void
Promoter::QueueRequest(const wire::Upstream& aServer,
                       UpstreamOp aOp,
                       const Promotion& aPromotion)
{
  SendPromoterRequest call;
  call.callId_ = nextCallId_++;
  call.server_ = aServer.server();
  call.host_ = aServer.host();
  call.port_ = static_cast<std::uint16_t>(aServer.port());
  call.request_.op_ = aOp;
  call.request_.term_ = aPromotion.term_;
  pendingCalls_[call.callId_] = {
    aServer.database(), aServer.server(), aPromotion.term_, aOp
  };
  requests_.push_back(std::move(call));
}

void
Promoter::HandleAnswer(std::uint64_t aCallId,
                       const std::optional<UpstreamAnswer>& aAnswer,
                       Time)
{
  const auto found = pendingCalls_.find(aCallId);
  if (found == pendingCalls_.end()) {
    return;
  }
  const Call call = found->second;
  pendingCalls_.erase(found);
  const auto entry = promotions_.find(call.database_);
  const bool current = entry != promotions_.end() &&
                       entry->second.term_ == call.term_ && aAnswer.has_value();
  if (!current) {
    return;
  }
  Promotion& promotion = entry->second;
  if (aAnswer->promisedTerm_ > promotion.term_) {
    promotion.needsNewTerm_ = true;
    promotion.highestUsedTerm_ =
      std::max(promotion.highestUsedTerm_, aAnswer->promisedTerm_);
    return;
  }
  if (aAnswer->result_ != UpstreamResult::Done) {
    return;
  }
  if (call.op_ == UpstreamOp::Seal) {
    promotion.sealedPoints_[call.server_] = aAnswer->point_;
  } else if (call.server_ == promotion.chosenServer_) {
    promotion.promoted_ = true;
  }
}

} // namespace jaydoor
