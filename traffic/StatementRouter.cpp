#include "traffic/StatementRouter.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr Duration kRetryPause = 10ms;    // before the same route is retried
constexpr Duration kAttemptLimit = 600ms; // a read is then tried elsewhere
constexpr Duration kReplyGrace = 50ms;    // an owner's reply may be this late
constexpr Duration kOtherZone = 2ms;      // assumed cost of leaving the zone
constexpr int kSmoothing = 8;             // weight of the past in times
constexpr std::size_t kMaxFlows = 100'000;
constexpr std::size_t kTraceparentBytes = 55;

bool
IsSafeToRepeat(const CallerRequest& aRequest)
{
  return aRequest.step_ == TransactionStep::None &&
         (aRequest.read_ || aRequest.repeatable_);
}

bool
Continues(const CallerRequest& aRequest)
{
  return aRequest.step_ > TransactionStep::Begin;
}

bool
IsPlainRead(const CallerRequest& aRequest)
{
  return aRequest.read_ && aRequest.step_ == TransactionStep::None;
}

// Refusals after which another route, or the same a little later, may do.
bool
IsWorthRetry(Reason aReason)
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

// Refusals that say nothing about load: waiting costs the fleet nothing.
bool
IsRerouting(Reason aReason)
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

// ---- Start and end of a flow

void
StatementRouter::StartStatement(RequestId aId,
                                CallerRequest aRequest,
                                Time aNow)
{
  auto session = signer_.Read(aRequest.sessionToken_);
  const bool forged = !session;
  const auto [at, isNew] = pendingStatements_.try_emplace(aId);
  PendingStatement& flow = at->second;
  flow.startedAt_ = aNow;
  flow.request_ = std::move(aRequest);
  const CallerRequest& request = flow.request_;
  const Rules& rules = view_->rules_;
  flow.rank_ =
    rules.RankOf(request.database_, request.workLabel_, request.rank_);
  flow.deadline_ =
    aNow +
    rules.Deadline(request.database_, request.workLabel_, request.deadline_);
  flow.maxAge_ = rules.MaxAge(request.database_, request.workLabel_);
  StartTrace(flow);
  if (forged) {
    actions_.push_back(
      WriteLogEvent{ Event::TokenForged, session.error().message_ });
    Refuse(aId, Outcome::NotRun, Reason::BadSession, aNow);
    return;
  }
  flow.session_ = std::move(*session);
  const auto refusal = FindRefusal(flow);
  if (refusal) {
    Refuse(aId, Outcome::NotRun, *refusal, aNow);
    return;
  }
  retryBudget_.RecordAttempt();
  Route(aId, flow, aNow);
}

std::optional<Reason>
StatementRouter::FindRefusal(const PendingStatement& aFlow) const
{
  if (pendingStatements_.size() > kMaxFlows) {
    return Reason::Overloaded;
  }
  if (draining_ && !Continues(aFlow.request_)) {
    return Reason::Leaving;
  }
  if (!view_->stateProven_) {
    return Reason::RulesUnproven;
  }
  if (!view_->databases_.contains(aFlow.request_.database_)) {
    return Reason::NoSuchDatabase;
  }
  if (aFlow.session_.IsFullFor(aFlow.request_.database_)) {
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
  const PendingStatement& flow = found->second;
  if (flow.forwardId_ != 0) {
    outgoingCancels_.push_back({ flow.owner_, flow.forwardId_ });
    requestByForward_.erase(flow.forwardId_);
  }
  pendingStatements_.erase(found);
}

void
StatementRouter::SendAnswer(RequestId aId, CallerAnswer aAnswer, Time aNow)
{
  const auto found = pendingStatements_.find(aId);
  PendingStatement& flow = found->second;
  aAnswer.sessionToken_ = signer_.Issue(flow.session_);
  if (!flow.traceId_.empty()) {
    EmitSpan span;
    span.traceParent_ = fmt::format("00-{}-{}-01", flow.traceId_, flow.spanId_);
    span.parentSpanId_ = flow.parentSpanId_;
    span.name_ = "entry";
    span.start_ = flow.startedAt_;
    span.end_ = aNow;
    span.detail_ =
      fmt::format("{} {}", ToText(aAnswer.outcome_), ToText(aAnswer.reason_));
    actions_.push_back(std::move(span));
  }
  requestByForward_.erase(flow.forwardId_);
  pendingStatements_.erase(found);
  actions_.push_back(AnswerCaller{ aId, std::move(aAnswer) });
}

void
StatementRouter::Refuse(RequestId aId,
                        Outcome aOutcome,
                        Reason aReason,
                        Time aNow)
{
  const PendingStatement& flow = pendingStatements_.at(aId);
  CallerAnswer answer;
  answer.outcome_ = aOutcome;
  answer.reason_ = aReason;
  answer.server_ = flow.server_;
  // An attempt without proof outweighs the proof for a later attempt.
  if (aOutcome == Outcome::NotRun && flow.mayHaveRun_) {
    answer.outcome_ = Outcome::Unknown;
  }
  if (Continues(flow.request_)) {
    answer.transaction_ = flow.request_.transaction_;
  }
  SendAnswer(aId, std::move(answer), aNow);
}

// ---- Routing

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

// The VM and server stand in the handle: vm/server/number.
std::optional<StatementRouter::Target>
StatementRouter::FindTransactionTarget(const PendingStatement& aFlow) const
{
  const std::string& handle = aFlow.request_.transaction_;
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

Duration
StatementRouter::EstimateLatency(const wire::Upstream& aServer) const
{
  const auto found = latencies_.find(aServer.server());
  const Duration known =
    found == latencies_.end() ? Duration::zero() : found->second.smoothed_;
  return known + (aServer.zone() == zone_ ? Duration::zero() : kOtherZone);
}

std::optional<StatementRouter::Target>
StatementRouter::FindReplica(const PendingStatement& aFlow)
{
  const auto& group = view_->databases_.at(aFlow.request_.database_);
  std::optional<Target> best;
  Duration bestTime = Duration::max();
  for (const auto& id : group.servers_) {
    const auto& info = view_->servers_.at(id).info_;
    const bool usable = id != group.primary_ && !info.leaving() &&
                        !aFlow.triedServers_.contains(id) &&
                        view_->rules_.IsTrafficAllowed(id);
    if (!usable) {
      continue;
    }
    const Duration time = EstimateLatency(info);
    auto target = FindTargetOn(id);
    if (target && time < bestTime) {
      best = std::move(target);
      bestTime = time;
    }
  }
  return best;
}

std::optional<StatementRouter::Target>
StatementRouter::FindTarget(PendingStatement& aFlow)
{
  if (Continues(aFlow.request_)) {
    return FindTransactionTarget(aFlow);
  }
  const bool stale =
    IsPlainRead(aFlow.request_) && aFlow.maxAge_ > Duration::zero();
  if (stale) {
    auto replica = FindReplica(aFlow);
    if (replica) {
      return replica;
    }
    aFlow.triedServers_.clear(); // a later round begins with the replicas again
  }
  const auto& group = view_->databases_.at(aFlow.request_.database_);
  if (group.primary_.empty()) {
    return std::nullopt;
  }
  return FindTargetOn(group.primary_);
}

void
StatementRouter::Route(RequestId aId, PendingStatement& aFlow, Time aNow)
{
  if (aNow >= aFlow.deadline_) {
    const Reason reason = aFlow.waitReason_ == Reason::None
                            ? Reason::PastDeadline
                            : aFlow.waitReason_;
    Refuse(aId, Outcome::NotRun, reason, aNow);
    return;
  }
  const auto target = FindTarget(aFlow);
  if (!target) {
    if (Continues(aFlow.request_)) {
      // Its VM is gone, and with it the connection and the transaction. A
      // commit has not been sent, so that the upstream has rolled back.
      Refuse(aId, Outcome::NotRun, Reason::TransactionLost, aNow);
      return;
    }
    ScheduleRetry(aFlow, Reason::NoPrimary, aNow);
    return;
  }
  const auto& group = view_->databases_.at(aFlow.request_.database_);
  const RequestId forwardId = nextForward_++;
  aFlow.forwardId_ = forwardId;
  aFlow.server_ = target->server_;
  aFlow.owner_ = target->owner_;
  aFlow.sentAt_ = aNow;
  requestByForward_[forwardId] = aId;

  OutgoingForward out;
  out.owner_ = target->owner_;
  wire::Forward& forward = out.forward_;
  forward.set_request(forwardId);
  forward.set_server(target->server_);
  forward.set_term(group.term_);
  const LogPoint seen = aFlow.session_.PointOf(aFlow.request_.database_);
  forward.mutable_min_point()->set_term(seen.term_);
  forward.mutable_min_point()->set_position(seen.position_);
  forward.set_max_age_us(aFlow.maxAge_.count());
  forward.set_remaining_us((aFlow.deadline_ - aNow).count());
  if (!aFlow.traceId_.empty()) {
    forward.set_trace(
      fmt::format("00-{}-{}-01", aFlow.traceId_, aFlow.spanId_));
  }
  wire::Statement& statement = *forward.mutable_statement();
  statement.set_database(aFlow.request_.database_);
  statement.set_text(aFlow.request_.statement_);
  statement.set_read(aFlow.request_.read_);
  statement.set_rank(static_cast<std::uint32_t>(aFlow.rank_));
  statement.set_customer(aFlow.request_.customer_);
  statement.set_repeatable(aFlow.request_.repeatable_);
  statement.set_transaction_step(
    static_cast<std::uint32_t>(aFlow.request_.step_));
  statement.set_transaction(aFlow.request_.transaction_);
  outgoingForwards_.push_back(std::move(out));
}

void
StatementRouter::ScheduleRetry(PendingStatement& aFlow,
                               Reason aReason,
                               Time aNow)
{
  aFlow.forwardId_ = 0;
  aFlow.waitReason_ = aReason;
  aFlow.retryAt_ = aNow + kRetryPause;
}

void
StatementRouter::SetView(FleetViewPtr aView, Time aNow)
{
  view_ = std::move(aView);
  std::vector<RequestId> waiting;
  std::vector<RequestId> orphaned;
  for (const auto& [id, flow] : pendingStatements_) {
    if (flow.forwardId_ == 0) {
      waiting.push_back(id);
      continue;
    }
    const bool live = std::any_of(
      view_->vms_.begin(),
      view_->vms_.end(),
      [&flow = flow](const VmView& aVm) { return aVm.id_ == flow.owner_; });
    if (!live && flow.owner_ != self_) {
      orphaned.push_back(id);
    }
  }
  for (const RequestId id : waiting) {
    PendingStatement& flow = pendingStatements_.at(id);
    if (view_->databases_.contains(flow.request_.database_)) {
      Route(id, flow, aNow);
    }
  }
  // A write keeps waiting for its owner, which may only be cut off from the
  // one that said it is gone; what may run twice is sent elsewhere at once.
  for (const RequestId id : orphaned) {
    PendingStatement& flow = pendingStatements_.at(id);
    if (IsSafeToRepeat(flow.request_)) {
      HandleSilentOwner(id, flow, aNow);
    }
  }
}

// ---- Replies

void
StatementRouter::HandleReply(const wire::ForwardReply& aReply, Time aNow)
{
  const auto found = requestByForward_.find(aReply.request());
  if (found == requestByForward_.end()) {
    return; // late: its caller has been answered, or it was sent elsewhere
  }
  const RequestId id = found->second;
  requestByForward_.erase(found);
  PendingStatement& flow = pendingStatements_.at(id);
  const Duration took = aNow - flow.sentAt_;
  ServerLatency& note = latencies_[flow.server_];
  note.smoothed_ += (took - note.smoothed_) / kSmoothing;

  const auto outcome = static_cast<Outcome>(aReply.outcome());
  const auto reason = static_cast<Reason>(aReply.reason());
  const bool discarded =
    outcome == Outcome::Failed && reason != Reason::DatabaseError;
  if (outcome == Outcome::Done) {
    HandleDone(id, flow, aReply, aNow);
  } else if (outcome == Outcome::NotRun || discarded) {
    RerouteOrRefuse(id, flow, reason, aNow);
  } else if (outcome == Outcome::Unknown) {
    flow.mayHaveRun_ = !IsPlainRead(flow.request_);
    const bool again = IsSafeToRepeat(flow.request_) && IsWorthRetry(reason);
    if (again) {
      RerouteOrRefuse(id, flow, reason, aNow);
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
                            PendingStatement& aFlow,
                            const wire::ForwardReply& aReply,
                            Time aNow)
{
  const LogPoint point{ aReply.point().term(), aReply.point().position() };
  const DatabaseId& database = aFlow.request_.database_;
  const bool behind =
    IsPlainRead(aFlow.request_) && point < aFlow.session_.PointOf(database);
  if (behind) {
    RerouteOrRefuse(aId, aFlow, Reason::Behind, aNow);
    return;
  }
  const bool open = aFlow.request_.step_ == TransactionStep::Begin ||
                    aFlow.request_.step_ == TransactionStep::Inside;
  if (!open && aFlow.request_.step_ != TransactionStep::Rollback) {
    aFlow.session_.RaisePoint(database, point);
  }
  CallerAnswer answer;
  answer.outcome_ = Outcome::Done;
  answer.rows_.assign(aReply.rows().begin(), aReply.rows().end());
  answer.transaction_ = open ? aReply.transaction() : "";
  answer.server_ = aReply.server();
  answer.point_ = point;
  SendAnswer(aId, std::move(answer), aNow);
}

// The attempt has not run, or may run twice: try again or say so.
void
StatementRouter::RerouteOrRefuse(RequestId aId,
                                 PendingStatement& aFlow,
                                 Reason aReason,
                                 Time aNow)
{
  aFlow.forwardId_ = 0;
  const bool again = !Continues(aFlow.request_) && IsWorthRetry(aReason);
  if (!again) {
    Refuse(aId, Outcome::NotRun, aReason, aNow);
    return;
  }
  if (!IsRerouting(aReason) && !retryBudget_.TrySpendRetry()) {
    Refuse(aId, Outcome::NotRun, Reason::RetryBudget, aNow);
    return;
  }
  const bool elsewhere = IsPlainRead(aFlow.request_) &&
                         aFlow.maxAge_ > Duration::zero() &&
                         aFlow.triedServers_.insert(aFlow.server_).second;
  if (elsewhere) {
    aFlow.waitReason_ = aReason;
    Route(aId, aFlow, aNow);
    return;
  }
  ScheduleRetry(aFlow, aReason, aNow);
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
  PendingStatement& flow = pendingStatements_.at(id);
  if (Continues(flow.request_)) {
    Refuse(id, Outcome::NotRun, Reason::Unreachable, aNow);
    return;
  }
  // Nothing has left this VM, so that trying again costs the fleet nothing.
  ScheduleRetry(flow, Reason::Unreachable, aNow);
}

// The owner has not answered a statement that may run twice.
void
StatementRouter::HandleSilentOwner(RequestId aId,
                                   PendingStatement& aFlow,
                                   Time aNow)
{
  outgoingCancels_.push_back({ aFlow.owner_, aFlow.forwardId_ });
  requestByForward_.erase(aFlow.forwardId_);
  aFlow.mayHaveRun_ = !IsPlainRead(aFlow.request_);
  RerouteOrRefuse(aId, aFlow, Reason::Unreachable, aNow);
}

// ---- Time

void
StatementRouter::Tick(Time aNow)
{
  std::vector<RequestId> waiting;
  std::vector<RequestId> silent;
  std::vector<RequestId> late;
  for (const auto& [id, flow] : pendingStatements_) {
    if (flow.forwardId_ == 0) {
      if (aNow >= flow.retryAt_ || aNow >= flow.deadline_) {
        waiting.push_back(id);
      }
    } else if (aNow >= flow.deadline_ + kReplyGrace) {
      late.push_back(id);
    } else if (IsSafeToRepeat(flow.request_) && flow.owner_ != self_ &&
               aNow - flow.sentAt_ >= kAttemptLimit) {
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

void
StatementRouter::StartTrace(PendingStatement& aFlow)
{
  // version-traceid-spanid-flags
  const std::string& parent = aFlow.request_.traceParent_;
  if (parent.size() != kTraceparentBytes || !parent.ends_with("1")) {
    return;
  }
  aFlow.traceId_ = parent.substr(3, 32);
  aFlow.parentSpanId_ = parent.substr(36, 16);
  aFlow.spanId_ = MakeSpanId();
}

} // namespace jaydoor
