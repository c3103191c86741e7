#include "traffic/StatementRouter.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr Duration kRetryDelay = 10ms; // before the same route is retried
// A repeatable statement whose owner has not replied by then is sent again.
constexpr Duration kAttemptTimeout = 600ms;
constexpr Duration kReplyGrace = 50ms;    // an owner's reply may be this late
constexpr Duration kCrossZoneDelay = 2ms; // assumed cost of leaving the zone
constexpr int kSmoothingDivisor = 8;      // a new time counts 1/8
constexpr std::size_t kMaxPendingStatements = 100'000;
constexpr std::size_t kTraceparentBytes = 55;

bool
IsSafeToRepeat(const CallerRequest& aRequest)
{
  return aRequest.step_ == TransactionStep::None &&
         (aRequest.read_ || aRequest.repeatable_);
}

// True for the steps of a transaction after its Begin.
bool
IsLaterTransactionStep(const CallerRequest& aRequest)
{
  return aRequest.step_ > TransactionStep::Begin;
}

// True for a read outside a transaction.
bool
IsPlainRead(const CallerRequest& aRequest)
{
  return aRequest.read_ && aRequest.step_ == TransactionStep::None;
}

// True for refusals after which another route, or the same route a little
// later, may succeed.
bool
IsRetryable(Reason aReason)
{
  switch (aReason) {
    case Reason::NoPrimary:
    case Reason::WrongTerm:
    case Reason::NotPrimary:
    case Reason::Behind:
    case Reason::Stale:
    case Reason::NoConnection:
    case Reason::NotOwner:
    case Reason::Leaving:
    case Reason::RuleForbids:
    case Reason::Unreachable:
      return true;
    default:
      return false;
  }
}

// True for refusals that are due to an outdated route and not to load. Retrying
// after a pause costs the fleet nothing, so it doesn't use the retry budget.
bool
IsOutdatedRoute(Reason aReason)
{
  return aReason == Reason::WrongTerm || aReason == Reason::NotPrimary ||
         aReason == Reason::NotOwner || aReason == Reason::NoPrimary;
}

} // namespace

StatementRouter::StatementRouter(VmId aSelf,
                                 ZoneId aZone,
                                 SessionSigner aSigner,
                                 std::uint64_t aSeed)
  : self_(std::move(aSelf))
  , zone_(std::move(aZone))
  , signer_(std::move(aSigner))
  , random_(aSeed)
  , nextForward_(MakeFirstId(random_))
  , view_(std::make_shared<FleetView>())
{
}

std::vector<OutgoingForward>
StatementRouter::TakeForwards()
{
  return std::exchange(outgoingForwards_, {});
}

std::vector<OutgoingCancel>
StatementRouter::TakeCancels()
{
  return std::exchange(outgoingCancels_, {});
}

TrafficActions
StatementRouter::TakeActions()
{
  return std::exchange(actions_, {});
}

// ---- Start and end of a statement

void
StatementRouter::StartStatement(RequestId aId,
                                CallerRequest aRequest,
                                Time aNow)
{
  auto session = signer_.Read(aRequest.sessionToken_);
  const bool forged = !session;
  const auto [at, isNew] = pendingStatements_.try_emplace(aId);
  PendingStatement& pending = at->second;
  pending.startedAt_ = aNow;
  pending.request_ = std::move(aRequest);
  const CallerRequest& request = pending.request_;
  const Rules& rules = view_->rules_;
  pending.rank_ =
    rules.RankOf(request.database_, request.workLabel_, request.rank_);
  pending.deadline_ =
    aNow +
    rules.Deadline(request.database_, request.workLabel_, request.deadline_);
  pending.maxAge_ = rules.MaxAge(request.database_, request.workLabel_);
  StartTrace(pending);
  if (forged) {
    actions_.push_back(
      WriteLogEvent{ Event::TokenForged, session.error().message_ });
    Refuse(aId, Outcome::NotRun, Reason::BadSession, aNow);
    return;
  }
  pending.session_ = std::move(*session);
  const auto refusal = FindRefusal(pending);
  if (refusal) {
    Refuse(aId, Outcome::NotRun, *refusal, aNow);
    return;
  }
  retryBudget_.RecordAttempt();
  Route(aId, pending, aNow);
}

// Returns why a new statement can't be accepted; unset if it can.
std::optional<Reason>
StatementRouter::FindRefusal(const PendingStatement& aPending) const
{
  if (pendingStatements_.size() > kMaxPendingStatements) {
    return Reason::Overloaded;
  }
  if (draining_ && !IsLaterTransactionStep(aPending.request_)) {
    return Reason::Leaving;
  }
  if (!view_->stateProven_) {
    return Reason::RulesUnproven;
  }
  if (!view_->databases_.contains(aPending.request_.database_)) {
    return Reason::NoSuchDatabase;
  }
  if (aPending.session_.IsFullFor(aPending.request_.database_)) {
    return Reason::BadSession;
  }
  return std::nullopt;
}

void
StatementRouter::AbandonStatement(RequestId aId)
{
  const auto found = pendingStatements_.find(aId);
  if (found == pendingStatements_.end()) {
    return;
  }
  const PendingStatement& pending = found->second;
  if (pending.forwardId_ != 0) {
    outgoingCancels_.push_back({ pending.owner_, pending.forwardId_ });
    requestByForward_.erase(pending.forwardId_);
  }
  pendingStatements_.erase(found);
}

// Answers the caller and forgets the statement.
void
StatementRouter::SendAnswer(RequestId aId, CallerAnswer aAnswer, Time aNow)
{
  const auto found = pendingStatements_.find(aId);
  PendingStatement& pending = found->second;
  aAnswer.sessionToken_ = signer_.Issue(pending.session_);
  if (!pending.traceId_.empty()) {
    EmitSpan span;
    span.traceParent_ =
      fmt::format("00-{}-{}-01", pending.traceId_, pending.spanId_);
    span.parentSpanId_ = pending.parentSpanId_;
    span.name_ = "entry";
    span.start_ = pending.startedAt_;
    span.end_ = aNow;
    span.detail_ =
      fmt::format("{} {}", ToText(aAnswer.outcome_), ToText(aAnswer.reason_));
    actions_.push_back(std::move(span));
  }
  requestByForward_.erase(pending.forwardId_);
  pendingStatements_.erase(found);
  actions_.push_back(AnswerCaller{ aId, std::move(aAnswer) });
}

void
StatementRouter::Refuse(RequestId aId,
                        Outcome aOutcome,
                        Reason aReason,
                        Time aNow)
{
  const PendingStatement& pending = pendingStatements_.at(aId);
  CallerAnswer answer;
  answer.outcome_ = aOutcome;
  answer.reason_ = aReason;
  answer.server_ = pending.server_;
  // A later attempt that is proven not to have run says nothing about an
  // earlier attempt that may have run.
  if (aOutcome == Outcome::NotRun && pending.mayHaveRun_) {
    answer.outcome_ = Outcome::Unknown;
  }
  if (IsLaterTransactionStep(pending.request_)) {
    answer.transaction_ = pending.request_.transaction_;
  }
  SendAnswer(aId, std::move(answer), aNow);
}

// ---- Routing

// Returns the server with its owner. Unset if the server is unknown or no VM is
// available to own it.
std::optional<StatementRouter::Target>
StatementRouter::FindTargetOn(const ServerId& aServer) const
{
  const auto found = view_->servers_.find(aServer);
  if (found == view_->servers_.end()) {
    return std::nullopt;
  }
  const VmId owner = view_->owners_.FindOwner(found->second.info_);
  if (owner.empty()) {
    return std::nullopt;
  }
  return Target{ aServer, owner };
}

// Returns the server and VM that hold the transaction, which its handle names:
// vm/server/number. Unset if the handle is malformed or the VM is not live.
std::optional<StatementRouter::Target>
StatementRouter::FindTransactionTarget(const PendingStatement& aPending) const
{
  const std::string& handle = aPending.request_.transaction_;
  const std::size_t first = handle.find('/');
  const std::size_t last = handle.rfind('/');
  if (first == std::string::npos || first == last) {
    return std::nullopt;
  }
  const VmId vm = handle.substr(0, first);
  const bool live =
    std::any_of(view_->vms_.begin(),
                view_->vms_.end(),
                [&vm](const VmView& aVm) { return aVm.id_ == vm; });
  if (!live) {
    return std::nullopt;
  }
  return Target{ handle.substr(first + 1, last - first - 1), vm };
}

// Estimates the time until a reply for a statement to this server.
Duration
StatementRouter::EstimateLatency(const wire::Upstream& aServer) const
{
  const auto found = latencies_.find(aServer.server());
  const Duration observed =
    found == latencies_.end() ? Duration::zero() : found->second.smoothed_;
  return observed +
         (aServer.zone() == zone_ ? Duration::zero() : kCrossZoneDelay);
}

// Returns the replica with the lowest estimated latency among those that may be
// used and were not tried before. Unset if there is none.
std::optional<StatementRouter::Target>
StatementRouter::FindReplica(const PendingStatement& aPending)
{
  const auto& group = view_->databases_.at(aPending.request_.database_);
  std::optional<Target> best;
  Duration bestLatency = Duration::max();
  for (const auto& id : group.servers_) {
    const auto& info = view_->servers_.at(id).info_;
    const bool usable = id != group.primary_ && !info.leaving() &&
                        !aPending.triedServers_.contains(id) &&
                        view_->rules_.IsTrafficAllowed(id);
    if (!usable) {
      continue;
    }
    const Duration latency = EstimateLatency(info);
    auto target = FindTargetOn(id);
    if (target && latency < bestLatency) {
      best = std::move(target);
      bestLatency = latency;
    }
  }
  return best;
}

std::optional<StatementRouter::Target>
StatementRouter::FindTarget(PendingStatement& aPending)
{
  if (IsLaterTransactionStep(aPending.request_)) {
    return FindTransactionTarget(aPending);
  }
  const bool staleAllowed =
    IsPlainRead(aPending.request_) && aPending.maxAge_ > Duration::zero();
  if (staleAllowed) {
    auto replica = FindReplica(aPending);
    if (replica) {
      return replica;
    }
    // The next retry begins with the replicas again.
    aPending.triedServers_.clear();
  }
  const auto& group = view_->databases_.at(aPending.request_.database_);
  if (group.primary_.empty()) {
    return std::nullopt;
  }
  return FindTargetOn(group.primary_);
}

void
StatementRouter::Route(RequestId aId, PendingStatement& aPending, Time aNow)
{
  if (aNow >= aPending.deadline_) {
    const Reason reason = aPending.waitReason_ == Reason::None
                            ? Reason::PastDeadline
                            : aPending.waitReason_;
    Refuse(aId, Outcome::NotRun, reason, aNow);
    return;
  }
  const auto target = FindTarget(aPending);
  if (!target) {
    if (IsLaterTransactionStep(aPending.request_)) {
      // The VM that held the transaction is not live, so its connection and the
      // transaction are lost. No commit was sent: the upstream rolls back.
      Refuse(aId, Outcome::NotRun, Reason::TransactionLost, aNow);
      return;
    }
    ScheduleRetry(aPending, Reason::NoPrimary, aNow);
    return;
  }
  const auto& group = view_->databases_.at(aPending.request_.database_);
  const RequestId forwardId = nextForward_++;
  aPending.forwardId_ = forwardId;
  aPending.server_ = target->server_;
  aPending.owner_ = target->owner_;
  aPending.sentAt_ = aNow;
  requestByForward_[forwardId] = aId;

  OutgoingForward outgoing;
  outgoing.owner_ = target->owner_;
  wire::Forward& forward = outgoing.forward_;
  forward.set_request(forwardId);
  forward.set_server(target->server_);
  forward.set_term(group.term_);
  const LogPoint seen = aPending.session_.PointOf(aPending.request_.database_);
  forward.mutable_min_point()->set_term(seen.term_);
  forward.mutable_min_point()->set_position(seen.position_);
  forward.set_max_age_us(aPending.maxAge_.count());
  forward.set_remaining_us((aPending.deadline_ - aNow).count());
  if (!aPending.traceId_.empty()) {
    forward.set_trace(
      fmt::format("00-{}-{}-01", aPending.traceId_, aPending.spanId_));
  }
  wire::Statement& statement = *forward.mutable_statement();
  statement.set_database(aPending.request_.database_);
  statement.set_text(aPending.request_.statement_);
  statement.set_read(aPending.request_.read_);
  statement.set_rank(static_cast<std::uint32_t>(aPending.rank_));
  statement.set_customer(aPending.request_.customer_);
  statement.set_repeatable(aPending.request_.repeatable_);
  statement.set_transaction_step(
    static_cast<std::uint32_t>(aPending.request_.step_));
  statement.set_transaction(aPending.request_.transaction_);
  outgoingForwards_.push_back(std::move(outgoing));
}

// Makes the statement wait for a route until kRetryDelay has passed or the view
// changes.
void
StatementRouter::ScheduleRetry(PendingStatement& aPending,
                               Reason aReason,
                               Time aNow)
{
  aPending.forwardId_ = 0;
  aPending.waitReason_ = aReason;
  aPending.retryAt_ = aNow + kRetryDelay;
}

void
StatementRouter::SetView(FleetViewPtr aView, Time aNow)
{
  view_ = std::move(aView);
  std::vector<RequestId> waiting;
  std::vector<RequestId> orphaned;
  for (const auto& [id, pending] : pendingStatements_) {
    if (pending.forwardId_ == 0) {
      waiting.push_back(id);
      continue;
    }
    const bool live = std::any_of(view_->vms_.begin(),
                                  view_->vms_.end(),
                                  [&pending = pending](const VmView& aVm) {
                                    return aVm.id_ == pending.owner_;
                                  });
    if (!live && pending.owner_ != self_) {
      orphaned.push_back(id);
    }
  }
  for (const RequestId id : waiting) {
    PendingStatement& pending = pendingStatements_.at(id);
    if (view_->databases_.contains(pending.request_.database_)) {
      Route(id, pending, aNow);
    }
  }
  // A write keeps waiting for its owner's reply: the owner may still be running
  // and only be cut off from the VM that reported it dead. A statement that may
  // run more than once is sent elsewhere at once.
  for (const RequestId id : orphaned) {
    PendingStatement& pending = pendingStatements_.at(id);
    if (IsSafeToRepeat(pending.request_)) {
      HandleSilentOwner(id, pending, aNow);
    }
  }
}

// ---- Replies

void
StatementRouter::HandleReply(const wire::ForwardReply& aReply, Time aNow)
{
  const auto found = requestByForward_.find(aReply.request());
  if (found == requestByForward_.end()) {
    return; // late: the caller has its answer, or the statement was sent again
  }
  const RequestId id = found->second;
  requestByForward_.erase(found);
  PendingStatement& pending = pendingStatements_.at(id);
  const Duration elapsed = aNow - pending.sentAt_;
  ServerLatency& latency = latencies_[pending.server_];
  latency.smoothed_ += (elapsed - latency.smoothed_) / kSmoothingDivisor;

  const auto outcome = static_cast<Outcome>(aReply.outcome());
  const auto reason = static_cast<Reason>(aReply.reason());
  // An owner discards a read's answer that is not proven recent enough.
  const bool answerDiscarded =
    outcome == Outcome::Failed && reason != Reason::DatabaseError;
  if (outcome == Outcome::Done) {
    HandleDone(id, pending, aReply, aNow);
  } else if (outcome == Outcome::NotRun || answerDiscarded) {
    RerouteOrRefuse(id, pending, reason, aNow);
  } else if (outcome == Outcome::Unknown) {
    pending.mayHaveRun_ = !IsPlainRead(pending.request_);
    const bool retry = IsSafeToRepeat(pending.request_) && IsRetryable(reason);
    if (retry) {
      RerouteOrRefuse(id, pending, reason, aNow);
    } else {
      Refuse(id, Outcome::Unknown, reason, aNow);
    }
  } else {
    CallerAnswer answer;
    answer.outcome_ = Outcome::Failed;
    answer.reason_ = reason;
    answer.detail_ = aReply.rows_size() > 0 ? aReply.rows(0) : "";
    answer.transaction_ = aReply.transaction();
    answer.server_ = aReply.server();
    SendAnswer(id, std::move(answer), aNow);
  }
}

void
StatementRouter::HandleDone(RequestId aId,
                            PendingStatement& aPending,
                            const wire::ForwardReply& aReply,
                            Time aNow)
{
  const LogPoint point{ aReply.point().term(), aReply.point().position() };
  const DatabaseId& database = aPending.request_.database_;
  const bool behind = IsPlainRead(aPending.request_) &&
                      point < aPending.session_.PointOf(database);
  if (behind) {
    RerouteOrRefuse(aId, aPending, Reason::Behind, aNow);
    return;
  }
  const bool transactionOpen =
    aPending.request_.step_ == TransactionStep::Begin ||
    aPending.request_.step_ == TransactionStep::Inside;
  if (!transactionOpen &&
      aPending.request_.step_ != TransactionStep::Rollback) {
    aPending.session_.RaisePoint(database, point);
  }
  CallerAnswer answer;
  answer.outcome_ = Outcome::Done;
  answer.rows_.assign(aReply.rows().begin(), aReply.rows().end());
  answer.transaction_ = transactionOpen ? aReply.transaction() : "";
  answer.server_ = aReply.server();
  answer.point_ = point;
  SendAnswer(aId, std::move(answer), aNow);
}

// Retries a statement whose attempt has not run or that may run more than once.
// If it can't be retried, answers that it was refused.
void
StatementRouter::RerouteOrRefuse(RequestId aId,
                                 PendingStatement& aPending,
                                 Reason aReason,
                                 Time aNow)
{
  aPending.forwardId_ = 0;
  const bool retry =
    !IsLaterTransactionStep(aPending.request_) && IsRetryable(aReason);
  if (!retry) {
    Refuse(aId, Outcome::NotRun, aReason, aNow);
    return;
  }
  if (!IsOutdatedRoute(aReason) && !retryBudget_.TrySpendRetry()) {
    Refuse(aId, Outcome::NotRun, Reason::RetryBudget, aNow);
    return;
  }
  const bool tryElsewhere =
    IsPlainRead(aPending.request_) && aPending.maxAge_ > Duration::zero() &&
    aPending.triedServers_.insert(aPending.server_).second;
  if (tryElsewhere) {
    aPending.waitReason_ = aReason;
    Route(aId, aPending, aNow);
    return;
  }
  ScheduleRetry(aPending, aReason, aNow);
}

void
StatementRouter::HandleUnsentForward(RequestId aForward, Time aNow)
{
  const auto found = requestByForward_.find(aForward);
  if (found == requestByForward_.end()) {
    return;
  }
  const RequestId id = found->second;
  requestByForward_.erase(found);
  PendingStatement& pending = pendingStatements_.at(id);
  if (IsLaterTransactionStep(pending.request_)) {
    Refuse(id, Outcome::NotRun, Reason::Unreachable, aNow);
    return;
  }
  // The forward has not left this VM, so a retry costs the fleet nothing and
  // does not use the retry budget.
  ScheduleRetry(pending, Reason::Unreachable, aNow);
}

// Cancels and retries a statement that may run more than once and whose owner
// has not replied.
void
StatementRouter::HandleSilentOwner(RequestId aId,
                                   PendingStatement& aPending,
                                   Time aNow)
{
  outgoingCancels_.push_back({ aPending.owner_, aPending.forwardId_ });
  requestByForward_.erase(aPending.forwardId_);
  aPending.mayHaveRun_ = !IsPlainRead(aPending.request_);
  RerouteOrRefuse(aId, aPending, Reason::Unreachable, aNow);
}

// ---- Time limits and retries that are due

void
StatementRouter::Tick(Time aNow)
{
  std::vector<RequestId> waiting;
  std::vector<RequestId> silent;
  std::vector<RequestId> late;
  for (const auto& [id, pending] : pendingStatements_) {
    if (pending.forwardId_ == 0) {
      if (aNow >= pending.retryAt_ || aNow >= pending.deadline_) {
        waiting.push_back(id);
      }
    } else if (aNow >= pending.deadline_ + kReplyGrace) {
      late.push_back(id);
    } else if (IsSafeToRepeat(pending.request_) && pending.owner_ != self_ &&
               aNow - pending.sentAt_ >= kAttemptTimeout) {
      silent.push_back(id);
    }
  }
  for (const RequestId id : waiting) {
    Route(id, pendingStatements_.at(id), aNow);
  }
  for (const RequestId id : silent) {
    HandleSilentOwner(id, pendingStatements_.at(id), aNow);
  }
  for (const RequestId id : late) {
    Refuse(id, Outcome::Unknown, Reason::Unreachable, aNow);
  }
}

// ---- Traces

std::string
StatementRouter::MakeSpanId()
{
  return fmt::format("{:016x}", random_());
}

// Sets the statement's trace ids if its caller sent the context of a sampled
// trace.
void
StatementRouter::StartTrace(PendingStatement& aPending)
{
  // W3C traceparent: version-traceid-spanid-flags. The last digit 1 marks a
  // sampled trace.
  const std::string& parent = aPending.request_.traceParent_;
  if (parent.size() != kTraceparentBytes || !parent.ends_with("1")) {
    return;
  }
  aPending.traceId_ = parent.substr(3, 32);
  aPending.parentSpanId_ = parent.substr(36, 16);
  aPending.spanId_ = MakeSpanId();
}

} // namespace jaydoor
