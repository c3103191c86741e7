#include "traffic/StatementRouter.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr Duration kRetryPause = 10ms;    // before the same route is retried
constexpr Duration kAttemptLimit = 600ms; // until a safe retry without a reply
constexpr Duration kReplyGrace = 50ms;    // an owner's reply may be this late
constexpr Duration kOtherZone = 2ms;      // assumed cost of leaving the zone
constexpr int kSmoothing = 8;             // a new time counts 1/8
constexpr std::size_t kMaxFlows = 100'000;
constexpr std::size_t kTraceparentBytes = 55;

bool
IsSafeTwice(const CallerRequest& aRequest)
{
  return aRequest.step_ == TransactionStep::None &&
         (aRequest.read_ || aRequest.repeatable_);
}

// True for the steps of a transaction after its Begin.
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

// True for refusals after which another route, or the same route a little
// later, may succeed.
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

// True for refusals that are due to an outdated route and not to load. Retrying
// after a pause costs the fleet nothing, so they don't use the retry budget.
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

std::vector<ForwardOut>
StatementRouter::TakeForwards()
{
  return std::exchange(out_, {});
}

std::vector<CancelOut>
StatementRouter::TakeCancels()
{
  return std::exchange(cancels_, {});
}

TrafficActions
StatementRouter::TakeActions()
{
  return std::exchange(actions_, {});
}

// ---- Start and end of a statement

void
StatementRouter::Start(RequestId aId, CallerRequest aRequest, Time aNow)
{
  auto session = signer_.Read(aRequest.session_);
  const bool forged = !session;
  const auto [at, isNew] = flows_.try_emplace(aId);
  Flow& flow = at->second;
  flow.startedAt_ = aNow;
  flow.request_ = std::move(aRequest);
  const CallerRequest& request = flow.request_;
  const Rules& rules = view_->rules_;
  flow.rank_ = rules.RankOf(request.database_, request.work_, request.rank_);
  flow.deadline_ =
    aNow + rules.Deadline(request.database_, request.work_, request.deadline_);
  flow.maxAge_ = rules.MaxAge(request.database_, request.work_);
  StartTrace(flow);
  if (forged) {
    actions_.push_back(
      WriteNote{ Event::TokenForged, session.error().message_ });
    Refuse(aId, Outcome::NotRun, Reason::BadSession, aNow);
    return;
  }
  flow.session_ = std::move(*session);
  const auto refusal = FindRefusal(flow);
  if (refusal) {
    Refuse(aId, Outcome::NotRun, *refusal, aNow);
    return;
  }
  budget_.NoteAttempt();
  Route(aId, flow, aNow);
}

// Returns why a new statement can't be accepted; unset if it can.
std::optional<Reason>
StatementRouter::FindRefusal(const Flow& aFlow) const
{
  if (flows_.size() > kMaxFlows) {
    return Reason::Overloaded;
  }
  if (draining_ && !Continues(aFlow.request_)) {
    return Reason::Leaving;
  }
  if (!view_->proven_) {
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
StatementRouter::Abandon(RequestId aId)
{
  const auto found = flows_.find(aId);
  if (found == flows_.end()) {
    return;
  }
  const Flow& flow = found->second;
  if (flow.forward_ != 0) {
    cancels_.push_back({ flow.owner_, flow.forward_ });
    forwards_.erase(flow.forward_);
  }
  flows_.erase(found);
}

// Answers the caller and forgets the statement.
void
StatementRouter::Answer(RequestId aId, CallerAnswer aAnswer, Time aNow)
{
  const auto found = flows_.find(aId);
  Flow& flow = found->second;
  aAnswer.session_ = signer_.Issue(flow.session_);
  if (!flow.traceId_.empty()) {
    EmitSpan span;
    span.trace_ = fmt::format("00-{}-{}-01", flow.traceId_, flow.spanId_);
    span.parent_ = flow.parentId_;
    span.name_ = "entry";
    span.start_ = flow.startedAt_;
    span.end_ = aNow;
    span.detail_ =
      fmt::format("{} {}", ToText(aAnswer.outcome_), ToText(aAnswer.reason_));
    actions_.push_back(std::move(span));
  }
  forwards_.erase(flow.forward_);
  flows_.erase(found);
  actions_.push_back(AnswerCaller{ aId, std::move(aAnswer) });
}

void
StatementRouter::Refuse(RequestId aId,
                        Outcome aOutcome,
                        Reason aReason,
                        Time aNow)
{
  const Flow& flow = flows_.at(aId);
  CallerAnswer answer;
  answer.outcome_ = aOutcome;
  answer.reason_ = aReason;
  answer.server_ = flow.server_;
  // A later attempt that is proven not to have run says nothing about an
  // earlier attempt that may have run.
  if (aOutcome == Outcome::NotRun && flow.mayHaveRun_) {
    answer.outcome_ = Outcome::Unknown;
  }
  if (Continues(flow.request_)) {
    answer.transaction_ = flow.request_.transaction_;
  }
  Answer(aId, std::move(answer), aNow);
}

// ---- Routing

// Returns the server with its owner. Unset if the server is unknown or no VM
// serves.
std::optional<StatementRouter::Target>
StatementRouter::TargetFor(const ServerId& aServer) const
{
  const auto found = view_->servers_.find(aServer);
  if (found == view_->servers_.end()) {
    return std::nullopt;
  }
  const VmId owner = view_->owners_.Choose(found->second.info_);
  if (owner.empty()) {
    return std::nullopt;
  }
  return Target{ aServer, owner };
}

// Returns the server and VM that hold the transaction, which its handle names:
// vm/server/number. Unset if the handle is malformed or the VM is not live.
std::optional<StatementRouter::Target>
StatementRouter::FindTransactionTarget(const Flow& aFlow) const
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

// Estimates the time until a reply for a statement to this server.
Duration
StatementRouter::ExpectTime(const wire::Upstream& aServer) const
{
  const auto found = notes_.find(aServer.server());
  const Duration known =
    found == notes_.end() ? Duration::zero() : found->second.time_;
  return known + (aServer.zone() == zone_ ? Duration::zero() : kOtherZone);
}

std::optional<StatementRouter::Target>
StatementRouter::FindReplica(const Flow& aFlow)
{
  const auto& group = view_->databases_.at(aFlow.request_.database_);
  std::optional<Target> best;
  Duration bestTime = Duration::max();
  for (const auto& id : group.servers_) {
    const auto& info = view_->servers_.at(id).info_;
    const bool usable = id != group.primary_ && !info.leaving() &&
                        !aFlow.tried_.contains(id) &&
                        view_->rules_.TakesTraffic(id);
    if (!usable) {
      continue;
    }
    const Duration time = ExpectTime(info);
    auto target = TargetFor(id);
    if (target && time < bestTime) {
      best = std::move(target);
      bestTime = time;
    }
  }
  return best;
}

std::optional<StatementRouter::Target>
StatementRouter::FindTarget(Flow& aFlow)
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
    aFlow.tried_.clear(); // the next retry begins with the replicas again
  }
  const auto& group = view_->databases_.at(aFlow.request_.database_);
  if (group.primary_.empty()) {
    return std::nullopt;
  }
  return TargetFor(group.primary_);
}

void
StatementRouter::Route(RequestId aId, Flow& aFlow, Time aNow)
{
  if (aNow >= aFlow.deadline_) {
    const Reason reason =
      aFlow.waitsFor_ == Reason::None ? Reason::PastDeadline : aFlow.waitsFor_;
    Refuse(aId, Outcome::NotRun, reason, aNow);
    return;
  }
  const auto target = FindTarget(aFlow);
  if (!target) {
    if (Continues(aFlow.request_)) {
      // The VM that held the transaction is not live, so its connection and the
      // transaction are lost. No commit was sent: the upstream rolls back.
      Refuse(aId, Outcome::NotRun, Reason::TransactionLost, aNow);
      return;
    }
    Park(aFlow, Reason::NoPrimary, aNow);
    return;
  }
  const auto& group = view_->databases_.at(aFlow.request_.database_);
  const RequestId forwardId = nextForward_++;
  aFlow.forward_ = forwardId;
  aFlow.server_ = target->server_;
  aFlow.owner_ = target->owner_;
  aFlow.sentAt_ = aNow;
  forwards_[forwardId] = aId;

  ForwardOut out;
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
  out_.push_back(std::move(out));
}

// Lets the statement wait until the pause has passed or the view changes.
void
StatementRouter::Park(Flow& aFlow, Reason aReason, Time aNow)
{
  aFlow.forward_ = 0;
  aFlow.waitsFor_ = aReason;
  aFlow.retryAt_ = aNow + kRetryPause;
}

void
StatementRouter::SetView(FleetViewPtr aView, Time aNow)
{
  view_ = std::move(aView);
  std::vector<RequestId> waiting;
  std::vector<RequestId> orphaned;
  for (const auto& [id, flow] : flows_) {
    if (flow.forward_ == 0) {
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
    Flow& flow = flows_.at(id);
    if (view_->databases_.contains(flow.request_.database_)) {
      Route(id, flow, aNow);
    }
  }
  // A write keeps waiting for its owner's reply: the owner may still be running
  // and only be cut off from the VM that reported it dead. A statement that may
  // run more than once is sent elsewhere at once.
  for (const RequestId id : orphaned) {
    Flow& flow = flows_.at(id);
    if (IsSafeTwice(flow.request_)) {
      SettleSilence(id, flow, aNow);
    }
  }
}

// ---- Replies

void
StatementRouter::TakeReply(const wire::ForwardReply& aReply, Time aNow)
{
  const auto found = forwards_.find(aReply.request());
  if (found == forwards_.end()) {
    return; // late: the caller has its answer, or the statement was sent again
  }
  const RequestId id = found->second;
  forwards_.erase(found);
  Flow& flow = flows_.at(id);
  const Duration took = aNow - flow.sentAt_;
  ServerNote& note = notes_[flow.server_];
  note.time_ += (took - note.time_) / kSmoothing;

  const auto outcome = static_cast<Outcome>(aReply.outcome());
  const auto reason = static_cast<Reason>(aReply.reason());
  const bool discarded =
    outcome == Outcome::Failed && reason != Reason::DatabaseError;
  if (outcome == Outcome::Done) {
    SettleDone(id, flow, aReply, aNow);
  } else if (outcome == Outcome::NotRun || discarded) {
    SettleRefusal(id, flow, reason, aNow);
  } else if (outcome == Outcome::Unknown) {
    flow.mayHaveRun_ = !IsPlainRead(flow.request_);
    const bool again = IsSafeTwice(flow.request_) && IsWorthRetry(reason);
    if (again) {
      SettleRefusal(id, flow, reason, aNow);
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
    Answer(id, std::move(answer), aNow);
  }
}

void
StatementRouter::SettleDone(RequestId aId,
                            Flow& aFlow,
                            const wire::ForwardReply& aReply,
                            Time aNow)
{
  const LogPoint point{ aReply.point().term(), aReply.point().position() };
  const DatabaseId& database = aFlow.request_.database_;
  const bool behind =
    IsPlainRead(aFlow.request_) && point < aFlow.session_.PointOf(database);
  if (behind) {
    SettleRefusal(aId, aFlow, Reason::Behind, aNow);
    return;
  }
  const bool open = aFlow.request_.step_ == TransactionStep::Begin ||
                    aFlow.request_.step_ == TransactionStep::Inside;
  if (!open && aFlow.request_.step_ != TransactionStep::Rollback) {
    aFlow.session_.Raise(database, point);
  }
  CallerAnswer answer;
  answer.outcome_ = Outcome::Done;
  answer.rows_.assign(aReply.rows().begin(), aReply.rows().end());
  answer.transaction_ = open ? aReply.transaction() : "";
  answer.server_ = aReply.server();
  answer.point_ = point;
  Answer(aId, std::move(answer), aNow);
}

// Retries a statement whose attempt has not run or that may run more than once.
// If it can't be retried, answers that it was refused.
void
StatementRouter::SettleRefusal(RequestId aId,
                               Flow& aFlow,
                               Reason aReason,
                               Time aNow)
{
  aFlow.forward_ = 0;
  const bool again = !Continues(aFlow.request_) && IsWorthRetry(aReason);
  if (!again) {
    Refuse(aId, Outcome::NotRun, aReason, aNow);
    return;
  }
  if (!IsRerouting(aReason) && !budget_.Take()) {
    Refuse(aId, Outcome::NotRun, Reason::RetryBudget, aNow);
    return;
  }
  const bool elsewhere = IsPlainRead(aFlow.request_) &&
                         aFlow.maxAge_ > Duration::zero() &&
                         aFlow.tried_.insert(aFlow.server_).second;
  if (elsewhere) {
    aFlow.waitsFor_ = aReason;
    Route(aId, aFlow, aNow);
    return;
  }
  Park(aFlow, aReason, aNow);
}

void
StatementRouter::TakeUnsent(RequestId aForward, Time aNow)
{
  const auto found = forwards_.find(aForward);
  if (found == forwards_.end()) {
    return;
  }
  const RequestId id = found->second;
  forwards_.erase(found);
  Flow& flow = flows_.at(id);
  if (Continues(flow.request_)) {
    Refuse(id, Outcome::NotRun, Reason::Unreachable, aNow);
    return;
  }
  // The forward has not left this VM, so a retry costs the fleet nothing and
  // does not use the retry budget.
  Park(flow, Reason::Unreachable, aNow);
}

// Cancels and retries a statement that may run more than once and whose owner
// has not replied.
void
StatementRouter::SettleSilence(RequestId aId, Flow& aFlow, Time aNow)
{
  cancels_.push_back({ aFlow.owner_, aFlow.forward_ });
  forwards_.erase(aFlow.forward_);
  aFlow.mayHaveRun_ = !IsPlainRead(aFlow.request_);
  SettleRefusal(aId, aFlow, Reason::Unreachable, aNow);
}

// ---- Passing of time

void
StatementRouter::Tick(Time aNow)
{
  std::vector<RequestId> waiting;
  std::vector<RequestId> silent;
  std::vector<RequestId> late;
  for (const auto& [id, flow] : flows_) {
    if (flow.forward_ == 0) {
      if (aNow >= flow.retryAt_ || aNow >= flow.deadline_) {
        waiting.push_back(id);
      }
    } else if (aNow >= flow.deadline_ + kReplyGrace) {
      late.push_back(id);
    } else if (IsSafeTwice(flow.request_) && flow.owner_ != self_ &&
               aNow - flow.sentAt_ >= kAttemptLimit) {
      silent.push_back(id);
    }
  }
  for (const RequestId id : waiting) {
    Route(id, flows_.at(id), aNow);
  }
  for (const RequestId id : silent) {
    SettleSilence(id, flows_.at(id), aNow);
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
StatementRouter::StartTrace(Flow& aFlow)
{
  // W3C traceparent: version-traceid-spanid-flags. The last digit 1 marks a
  // sampled trace.
  const std::string& parent = aFlow.request_.trace_;
  if (parent.size() != kTraceparentBytes || !parent.ends_with("1")) {
    return;
  }
  aFlow.traceId_ = parent.substr(3, 32);
  aFlow.parentId_ = parent.substr(36, 16);
  aFlow.spanId_ = MakeSpanId();
}

} // namespace jaydoor
