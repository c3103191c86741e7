// The limits of organisations, as sessions meet them: see
// gateway/OrganisationLimiter.h.
//
// An operation is charged when its first statement arrives: a single statement,
// or the begin of a transaction. If there is no token yet, the statement is
// parked, and the session's later ones wait behind it. A token goes back if the
// operation ends before anything of it was sent to a server. A statement that
// is sent again is not charged again.

#include "gateway/Gateway.h"

#include <utility>

#include <fmt/format.h>

namespace jaydoor {
namespace {

// Stands for an operation that is only explained.
constexpr OrganisationLimiter::OperationId kExplainedOperation = UINT64_MAX;

std::string_view
GetCauseName(OrganisationLimiter::Cause aCause)
{
  switch (aCause) {
    case OrganisationLimiter::Cause::LimitReached:
      return "limit of the organisation reached";
    case OrganisationLimiter::Cause::NoShare:
      return "no share of the organisation's limit";
    case OrganisationLimiter::Cause::Crowded:
      return "too many operations wait for the organisation's limit";
    case OrganisationLimiter::Cause::None:
      break;
  }
  return "";
}

} // namespace

// Returns true if the statement may run: it begins no operation, or there is a
// token for it. Otherwise it has been parked or refused.
bool
Gateway::ChargeOperation(SessionId aId,
                         SessionStatement& aStatement,
                         Time aNow,
                         GatewayActions& aOut)
{
  Session& session = sessions_.at(aId);
  if (session.organisation_.empty() || session.isCharged_ ||
      session.txState_ != TxState::None) {
    return true;
  }
  const StatementKind kind = aStatement.kind_;
  const bool begins =
    kind == StatementKind::Begin || kind == StatementKind::BeginReadOnly ||
    kind == StatementKind::Read || kind == StatementKind::Write ||
    (kind == StatementKind::Execute &&
     session.state_.Prepared().contains(aStatement.name_));
  const CatalogDatabase* route =
    catalog_ ? catalog_->Find(session.database_) : nullptr;
  if (!begins || route == nullptr) {
    return true;
  }
  const auto decision = limiter_.Admit(
    session.organisation_, aId, aNow + GetWaitLimit(*route), aNow);
  switch (decision.verdict_) {
    case OrganisationLimiter::Verdict::Admitted:
      session.isCharged_ = true;
      return true;
    case OrganisationLimiter::Verdict::Waits:
      parked_[aId] = { std::move(aStatement), aNow };
      if (limiter_.IsReportUrgent(aNow)) {
        RequestLeases(aNow, aOut);
      }
      return false;
    case OrganisationLimiter::Verdict::Refused:
      break;
  }
  RefuseOperation(aId, aStatement, decision, aNow, aNow, aOut);
  return false;
}

void
Gateway::RefuseOperation(SessionId aId,
                         const SessionStatement& aStatement,
                         const OrganisationLimiter::Decision& aDecision,
                         Time aArrivedAt,
                         Time aNow,
                         GatewayActions& aOut)
{
  using Cause = OrganisationLimiter::Cause;
  const Session& session = sessions_.at(aId);
  counters_.statements_++;
  counters_.refused_++;
  (aDecision.cause_ == Cause::NoShare   ? counters_.limitNoShare_
   : aDecision.cause_ == Cause::Crowded ? counters_.limitCrowded_
                                        : counters_.limitReached_)++;
  const CatalogDatabase* route =
    catalog_ ? catalog_->Find(session.database_) : nullptr;
  samples_.push_back({ route == nullptr ? 0 : route->rank_,
                       SessionError::Overloaded,
                       aNow - aArrivedAt,
                       aNow - aArrivedAt });
  const auto usage = limiter_.GetUsage(session.organisation_);
  const auto retryMs = CountMs(aDecision.retryAfter_) + 1;
  aOut.push_back(WriteLogEvent{
    Event::StatementRefused,
    fmt::format("id={} session={} database={} by=jaydoor error=overloaded "
                "cause=\"{}\" organisation={} share={:.4f} demand={:.1f} "
                "leader_term={} grant={} retry_ms={} total_ms={}",
                aStatement.id_,
                aId,
                session.database_,
                GetCauseName(aDecision.cause_),
                session.organisation_,
                usage.share_,
                usage.demand_,
                limiter_.AppliedTerm(),
                limiter_.AppliedGrant(),
                retryMs,
                CountMs(aNow - aArrivedAt)) });
  ReplyError(aId,
             SessionError::Overloaded,
             fmt::format("{}: try again in {} ms",
                         GetCauseName(aDecision.cause_),
                         retryMs),
             aOut);
}

// Runs or refuses the parked statements whose wait has ended.
void
Gateway::SettleOperations(Time aNow, GatewayActions& aOut)
{
  for (const auto& settled : limiter_.TakeSettled()) {
    const auto found = parked_.find(settled.id_);
    if (found == parked_.end()) {
      continue;
    }
    const SessionId id = settled.id_;
    ParkedStatement parked = std::move(found->second);
    parked_.erase(found);
    Session& session = sessions_.at(id);
    if (settled.decision_.verdict_ == OrganisationLimiter::Verdict::Admitted) {
      session.isCharged_ = true;
      session.waitedSince_ = parked.arrivedAt_;
      RunStatement(id, std::move(parked.statement_), aNow, aOut);
      if (const auto at = sessions_.find(id); at != sessions_.end()) {
        at->second.waitedSince_.reset(); // of this statement only
      }
    } else {
      RefuseOperation(id,
                      parked.statement_,
                      settled.decision_,
                      parked.arrivedAt_,
                      aNow,
                      aOut);
    }
    RunPipelined(id, aNow, aOut);
  }
}

bool
Gateway::IsParked(SessionId aId) const
{
  return !parked_.empty() && parked_.contains(aId);
}

void
Gateway::ReturnUnusedToken(Session& aSession)
{
  if (aSession.isCharged_) {
    aSession.isCharged_ = false;
    limiter_.ReturnToken(aSession.organisation_);
  }
}

// The session is to belong to another organisation, or to none, before its next
// operation. Returns the statement that waited for a token of the former one.
std::optional<Gateway::ParkedStatement>
Gateway::MoveLimitCharge(SessionId aId,
                         Session& aSession,
                         const OrganisationId& aOrganisation)
{
  std::optional<ParkedStatement> parked;
  if (const auto found = parked_.find(aId); found != parked_.end()) {
    parked = std::move(found->second);
  }
  EndOperations(aId, aSession);
  limiter_.AddSession(aOrganisation);
  return parked;
}

// Adds what is left of the limit on this VM, and what the limit decides about
// the statement: it comes before the choice of a server.
void
Gateway::ExplainLimit(const Work& aWork, Explanation& aOut, Time aNow) const
{
  const Organisation* organisation =
    catalog_->organisations_->Find(aWork.organisation_);
  if (organisation == nullptr || !organisation->limit_) {
    return;
  }
  aOut.limit_ = organisation->limit_;
  aOut.usage_ = limiter_.GetUsage(aWork.organisation_);
  OrganisationLimiter trial = limiter_; // admitting changes it
  const auto decision = trial.Admit(aWork.organisation_,
                                    kExplainedOperation,
                                    aNow + GetWaitLimit(aWork.route_),
                                    aNow);
  using Verdict = OrganisationLimiter::Verdict;
  if (decision.verdict_ == Verdict::Admitted) {
    return;
  }
  aOut.server_.clear();
  if (decision.verdict_ == Verdict::Refused) {
    aOut.outcome_ = Explanation::Outcome::Refused;
    aOut.reason_ = fmt::format("{}: try again in {} ms",
                               GetCauseName(decision.cause_),
                               CountMs(decision.retryAfter_) + 1);
  } else if (aOut.outcome_ != Explanation::Outcome::Refused) {
    aOut.outcome_ = Explanation::Outcome::Waits;
    aOut.reason_ = "no operation of the organisation's limit is left on this "
                   "VM: more are asked for";
  }
}

// The session ends.
void
Gateway::EndOperations(SessionId aId, Session& aSession)
{
  if (aSession.organisation_.empty()) {
    return;
  }
  if (parked_.erase(aId) > 0) {
    limiter_.Cancel(aSession.organisation_, aId);
  }
  ReturnUnusedToken(aSession);
  limiter_.RemoveSession(aSession.organisation_);
}

// Ends waits and shares whose time has come. A VM that serves no session any
// more before it stops gives its shares back.
void
Gateway::TickLimits(Time aNow, GatewayActions& aOut)
{
  limiter_.Tick(aNow);
  if (drainingSince_ && IsIdle()) {
    limiter_.Leave(aNow);
  }
  if (limiter_.IsReportUrgent(aNow)) {
    RequestLeases(aNow, aOut);
  }
  for (const auto& note : limiter_.TakeNotes()) {
    const auto text = [&](std::string_view aCount) {
      return fmt::format("organisation={} share={:.4f} leader_term={} grant={} "
                         "{}={}",
                         note.organisation_,
                         note.share_,
                         note.leaderTerm_,
                         note.grant_,
                         aCount,
                         note.count_);
    };
    using Kind = OrganisationLimiter::Note::Kind;
    switch (note.kind_) {
      case Kind::Granted:
        aOut.push_back(WriteLogEvent{ Event::ShareGranted, text("changes") });
        break;
      case Kind::UsedUp:
        aOut.push_back(WriteLogEvent{ Event::ShareUsedUp, text("refused") });
        break;
      case Kind::Expired:
        aOut.push_back(WriteLogEvent{ Event::ShareExpired, text("times") });
        break;
    }
  }
}

} // namespace jaydoor
