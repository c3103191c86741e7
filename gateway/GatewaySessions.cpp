// Handles callers' sessions and their statements. Statements that need no
// server are answered here; the others become work for a server.

#include "gateway/Gateway.h"

#include "base/Erase.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

namespace jaydoor {
namespace {

// A session that waits longer for the databases to be known is refused: another
// VM may already know them.
constexpr Duration kPendingSessionTimeout = 400ms;
// If no event arrives for longer, the machine was suspended: there is a tick
// each 50 ms. A withdrawn key may be accepted for 5 s at most.
constexpr Duration kMaxEventGap = 2s;
// Maximum number of a session's statements that wait for the one being
// processed. A session that sends more is closed.
constexpr std::size_t kMaxPipelined = 64;

// How long a statement waits for a server, as shares of its statement limit. A
// caller makes three attempts, each of which waits on another VM. The last one
// has to be refused before the caller gives up.
//
// For a latency target of at most half the limit.
constexpr double kShortWaitShare = 0.23;
// For a latency target above half the limit: the caller can wait longer.
constexpr double kLongWaitShare = 0.45;
// While there is no primary: no other VM can run the statement either.
constexpr double kNoPrimaryWaitShare = 0.29;

// Returns the given share of the limit.
Duration
ScaleDuration(Duration aLimit, double aShare)
{
  return Duration(
    static_cast<Duration::rep>(static_cast<double>(aLimit.count()) * aShare));
}

// Returns a number from 0 to 1 that depends only on the statement's id.
double
DrawTicket(std::string_view aId)
{
  constexpr std::uint64_t kRange = 1U << 16U;
  return static_cast<double>(XXH3_64bits(aId.data(), aId.size()) % kRange) /
         static_cast<double>(kRange);
}

// Returns true for a write outside a transaction.
bool
IsSingleWrite(const SessionStatement& aStatement,
              bool aPreparedWrites,
              bool aInTransaction)
{
  const bool writes =
    aStatement.kind_ == StatementKind::Write ||
    (aStatement.kind_ == StatementKind::Execute && aPreparedWrites);
  return writes && !aInTransaction;
}

} // namespace

Gateway::Gateway(GatewayConfig aConfig)
  : config_(std::move(aConfig))
  , limiter_(config_.limitTolerance_)
{
}

void
Gateway::Step(GatewayEvent aEvent, Time aNow, GatewayActions& aOut)
{
  if (aNow - steppedAt_ > kMaxEventGap) {
    resumedAt_ = aNow;
  }
  steppedAt_ = aNow;
  std::visit([&](auto& aCase) { Handle(aCase, aNow, aOut); }, aEvent);
  if (!parked_.empty()) {
    SettleOperations(aNow, aOut);
  }
  while (!groupsToDispatch_.empty()) {
    const DatabaseId group = *groupsToDispatch_.begin();
    groupsToDispatch_.erase(groupsToDispatch_.begin());
    Dispatch(group, aNow, aOut);
  }
  CloseAnsweredSessions(aNow, aOut);
}

Gateway::Server*
Gateway::FindServer(const ServerId& aServer)
{
  const auto found = servers_.find(aServer);
  return found == servers_.end() ? nullptr : &found->second;
}

const Gateway::Server*
Gateway::FindServer(const ServerId& aServer) const
{
  const auto found = servers_.find(aServer);
  return found == servers_.end() ? nullptr : &found->second;
}

Gateway::Group*
Gateway::FindGroup(const DatabaseId& aGroup)
{
  const auto found = groups_.find(aGroup);
  return found == groups_.end() ? nullptr : &found->second;
}

std::vector<GatewaySample>
Gateway::TakeSamples()
{
  return std::exchange(samples_, {});
}

// ---- Opening and closing sessions

// Opens the session. Just after its start, the VM does not know the databases
// and the keys yet; sessions wait until it does.
void
Gateway::Handle(SessionOpenRequested& aEvent, Time aNow, GatewayActions& aOut)
{
  if (IsCatalogProven()) {
    OpenSession(
      aEvent.session_, std::move(aEvent.database_), aEvent.key_, aNow, aOut);
  } else {
    pendingSessions_[aEvent.session_] = { std::move(aEvent.database_),
                                          aEvent.key_,
                                          aNow + kPendingSessionTimeout };
  }
}

void
Gateway::TickPendingSessions(Time aNow, GatewayActions& aOut)
{
  const bool proven = IsCatalogProven();
  EraseWhere(pendingSessions_, [&](SessionId aId, PendingSession& aPending) {
    if (proven) {
      OpenSession(
        aId, std::move(aPending.database_), aPending.key_, aNow, aOut);
    } else if (aNow >= aPending.until_) {
      RefuseOpening(aId,
                    aPending.database_,
                    aPending.key_,
                    SessionError::Overloaded,
                    aNow,
                    aOut);
    } else {
      return false;
    }
    return true;
  });
}

void
Gateway::OpenSession(SessionId aId,
                     std::string aDatabase,
                     const KeyHash& aKey,
                     Time aNow,
                     GatewayActions& aOut)
{
  const CatalogDatabase* route = catalog_->Find(aDatabase);
  if (route == nullptr) {
    RefuseOpening(aId, aDatabase, aKey, SessionError::NoDatabase, aNow, aOut);
    return;
  }
  OrganisationId organisation;
  if (catalog_->organisations_ && !route->public_) {
    organisation = catalog_->organisations_->FindByKey(aKey);
    if (organisation.empty()) {
      RefuseOpening(aId, aDatabase, aKey, SessionError::UnknownKey, aNow, aOut);
      return;
    }
  }
  counters_.sessions_++;
  Session& session = sessions_[aId];
  session.database_ = std::move(aDatabase);
  session.organisation_ = std::move(organisation);
  limiter_.AddSession(session.organisation_);
  session.key_ = aKey;
  aOut.push_back(AcceptSession{ aId });
}

// Returns the error with which to refuse what the configuration does not list.
// If the configuration may not be the newest one, the caller is told to try
// another VM instead.
SessionError
Gateway::RefusalByCatalog(SessionError aError, Time aNow) const
{
  return IsViewRecent(aNow) ? aError : SessionError::Overloaded;
}

// Refuses to open a session. `aError` is what the configuration says; it is
// Overloaded if none is known yet.
void
Gateway::RefuseOpening(SessionId aId,
                       std::string_view aDatabase,
                       const KeyHash& aKey,
                       SessionError aError,
                       Time aNow,
                       GatewayActions& aOut)
{
  const bool isKnown = aError != SessionError::Overloaded;
  const SessionError error = isKnown ? RefusalByCatalog(aError, aNow) : aError;
  const std::string_view reason =
    !isKnown                            ? "no_catalog"
    : error == SessionError::Overloaded ? "stale_catalog"
    : error == SessionError::UnknownKey ? "unknown_key"
                                        : "no_such_database";
  aOut.push_back(WriteLogEvent{
    Event::SessionRefused,
    fmt::format("session={} database={} key={} catalog={} proven_ms={} "
                "reason={}",
                aId,
                aDatabase,
                MakeFingerprint(aKey),
                catalog_ ? catalog_->version_ : 0,
                viewProvenAt_ == Time{} ? -1 : CountMs(aNow - viewProvenAt_),
                reason) });
  (!isKnown                            ? counters_.missingCatalog_
   : error == SessionError::Overloaded ? counters_.outdatedCatalog_
   : error == SessionError::UnknownKey ? counters_.unknownKeys_
                                       : counters_.unknownDatabases_)++;
  aOut.push_back(RefuseSession{ aId, error });
}

void
Gateway::Handle(SessionEnded& aEvent, Time aNow, GatewayActions& aOut)
{
  pendingSessions_.erase(aEvent.session_);
  const auto found = sessions_.find(aEvent.session_);
  if (found == sessions_.end()) {
    return;
  }
  EndOperations(aEvent.session_, found->second);
  const Session session = std::move(found->second);
  sessions_.erase(found);
  if (session.work_ != 0) {
    Work& work = work_.at(session.work_);
    if (work.queued_) {
      DropWork(session.work_);
    } else {
      work.session_ = 0; // a statement that runs is left to finish
    }
  }
  const auto link = links_.find(session.txLink_);
  if (link != links_.end()) {
    link->second.session_ = 0;
    if (link->second.answers_.IsIdle()) {
      ReleaseLink(session.txLink_, aNow, aOut);
    } else {
      link->second.state_ = LinkState::RollingBack;
    }
  }
}

// ---- Statements

// Returns how long a statement waits for a server before its caller is told to
// try again.
Duration
Gateway::GetWaitLimit(const CatalogDatabase& aRoute)
{
  const bool canWaitLong = aRoute.latencyTarget_ > aRoute.statementLimit_ / 2;
  const double share = canWaitLong ? kLongWaitShare : kShortWaitShare;
  return std::min(aRoute.latencyTarget_,
                  ScaleDuration(aRoute.statementLimit_, share));
}

TransactionState
Gateway::GetTransactionState(const Session& aSession) const
{
  switch (aSession.txState_) {
    case TxState::None:
      return TransactionState::Idle;
    case TxState::Begun:
    case TxState::Open:
      return TransactionState::Open;
    case TxState::Failed:
      return TransactionState::Failed;
  }
  return TransactionState::Idle;
}

void
Gateway::Reply(SessionId aId, SessionReply aReply, GatewayActions& aOut)
{
  const auto found = sessions_.find(aId);
  if (found == sessions_.end()) {
    return;
  }
  if (found->second.txState_ == TxState::None) {
    ReturnUnusedToken(found->second); // the operation is over
  }
  if (drainingSince_) {
    sessionsAnswered_.push_back(aId);
  }
  aReply.state_ = GetTransactionState(found->second);
  aOut.push_back(SendSessionReply{ aId, std::move(aReply) });
}

void
Gateway::ReplyError(SessionId aId,
                    SessionError aError,
                    std::string aText,
                    GatewayActions& aOut)
{
  SessionReply reply;
  reply.error_ = aError;
  reply.errorText_ = std::move(aText);
  Reply(aId, std::move(reply), aOut);
}

void
Gateway::Handle(SessionStatementReceived& aEvent,
                Time aNow,
                GatewayActions& aOut)
{
  const auto found = sessions_.find(aEvent.session_);
  if (found == sessions_.end()) {
    return;
  }
  Session& session = found->second;
  if (session.work_ == 0 && session.pipelined_.empty() &&
      !IsParked(aEvent.session_)) {
    if (aEvent.memoryShort_ &&
        RefuseForMemory(aEvent.session_, aEvent.statement_, aOut)) {
      return;
    }
    RunStatement(aEvent.session_, std::move(aEvent.statement_), aNow, aOut);
    return;
  }
  if (session.pipelined_.size() >= kMaxPipelined) {
    CloseSessionNow(aEvent.session_, aNow, aOut);
    return;
  }
  session.pipelined_.push_back(std::move(aEvent.statement_));
}

// Refuses a statement for lack of memory if that leaves nothing behind: one of
// a transaction that has begun is not refused, nor is one that frees memory.
bool
Gateway::RefuseForMemory(SessionId aId,
                         const SessionStatement& aStatement,
                         GatewayActions& aOut)
{
  const Session& session = sessions_.at(aId);
  const bool storesBytes = aStatement.kind_ == StatementKind::Set ||
                           aStatement.kind_ == StatementKind::Prepare;
  if (aStatement.kind_ == StatementKind::Deallocate ||
      (session.txState_ != TxState::None && !storesBytes)) {
    return false;
  }
  counters_.statements_++;
  counters_.refused_++;
  ReplyError(aId,
             SessionError::Overloaded,
             "memory is short: send the statement again later",
             aOut);
  return true;
}

std::size_t
Gateway::CountSessionBytes(SessionId aSession) const
{
  const auto found = sessions_.find(aSession);
  return found == sessions_.end() ? 0 : found->second.state_.Bytes();
}

// Runs the statements that the caller sent while an earlier one was processed,
// until one of them needs a server.
void
Gateway::RunPipelined(SessionId aId, Time aNow, GatewayActions& aOut)
{
  while (true) {
    const auto found = sessions_.find(aId);
    if (IsEnding(aId) && found->second.work_ == 0) {
      EndSession(aId, aNow, aOut);
      return;
    }
    const bool canRun = found != sessions_.end() && found->second.work_ == 0 &&
                        !found->second.pipelined_.empty() && !IsParked(aId);
    if (!canRun) {
      return;
    }
    SessionStatement next = std::move(found->second.pipelined_.front());
    found->second.pipelined_.pop_front();
    RunStatement(aId, std::move(next), aNow, aOut);
  }
}

// Answers the statement or starts its work, by its kind and the state of the
// session's transaction.
void
Gateway::RunStatement(SessionId aId,
                      SessionStatement aStatement,
                      Time aNow,
                      GatewayActions& aOut)
{
  if (!ChargeOperation(aId, aStatement, aNow, aOut)) {
    return;
  }
  Session& session = sessions_.at(aId);
  counters_.statements_++;
  const StatementKind kind = aStatement.kind_;
  const bool endsTransaction =
    kind == StatementKind::Rollback || kind == StatementKind::Commit;
  if (session.txState_ == TxState::Failed && !endsTransaction) {
    ReplyError(aId,
               SessionError::Malformed,
               "the transaction failed: send a commit or rollback first",
               aOut);
    return;
  }
  if (session.txState_ == TxState::Failed || kind == StatementKind::Rollback) {
    if (session.txState_ == TxState::None) {
      ReplyError(aId,
                 SessionError::Malformed,
                 "no transaction is open: begin one first",
                 aOut);
      return;
    }
    const bool wasFailed =
      session.txState_ == TxState::Failed && kind == StatementKind::Commit;
    RollBackTransaction(aId, aNow, aOut);
    if (wasFailed) {
      ReplyError(
        aId, SessionError::Aborted, "the transaction was rolled back", aOut);
    } else {
      Reply(aId, {}, aOut);
    }
    return;
  }
  const bool begins =
    kind == StatementKind::Begin || kind == StatementKind::BeginReadOnly;
  if (begins && session.txState_ == TxState::None && !MayStartWork(aNow)) {
    ReplyError(
      aId, SessionError::Overloaded, std::string(kSendElsewhereText), aOut);
    return;
  }
  switch (kind) {
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
    case StatementKind::Set:
    case StatementKind::Prepare:
    case StatementKind::Deallocate:
    case StatementKind::Malformed:
      AnswerLocally(aId, aStatement, aNow, aOut);
      session.txIdleSince_ = aNow;
      return;
    default:
      break;
  }
  if (kind == StatementKind::Commit && session.txState_ == TxState::None) {
    ReplyError(aId,
               SessionError::Malformed,
               "no transaction is open: begin one first",
               aOut);
    return;
  }
  const bool isUnknown = kind == StatementKind::Execute &&
                         !session.state_.Prepared().contains(aStatement.name_);
  if (isUnknown) {
    if (session.txState_ != TxState::None) {
      session.txState_ = TxState::Failed;
    }
    ReplyError(aId, SessionError::NoStatement, aStatement.name_, aOut);
    return;
  }
  StartWork(aId, std::move(aStatement), aNow, aOut);
}

// Answers a statement that needs no server. Values, prepared statements and
// begins are sent to a server together with the first statement that uses them.
void
Gateway::AnswerLocally(SessionId aId,
                       const SessionStatement& aStatement,
                       Time aNow,
                       GatewayActions& aOut)
{
  Session& session = sessions_.at(aId);
  SessionReply reply;
  switch (aStatement.kind_) {
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly: {
      const CatalogDatabase* route =
        catalog_ ? catalog_->Find(session.database_) : nullptr;
      if (session.txState_ != TxState::None) {
        reply.error_ = SessionError::Malformed;
        reply.errorText_ = "a transaction is already open: end it first";
      } else if (route == nullptr) {
        reply.error_ = RefusalByCatalog(SessionError::NoDatabase, aNow);
        reply.errorText_ = session.database_;
      } else {
        session.route_ = *route;
        session.txState_ = TxState::Begun;
        session.txReadOnly_ = aStatement.kind_ == StatementKind::BeginReadOnly;
      }
      break;
    }
    case StatementKind::Set:
      if (!session.state_.Set(aStatement.name_, aStatement.argument_)) {
        reply.error_ = SessionError::TooLarge;
      }
      break;
    case StatementKind::Prepare:
      if (!session.state_.Prepare(
            aStatement.name_, aStatement.writes_, aStatement.argument_)) {
        reply.error_ = SessionError::TooLarge;
      }
      break;
    case StatementKind::Deallocate:
      if (!session.state_.Deallocate(aStatement.name_)) {
        reply.error_ = SessionError::NoStatement;
        reply.errorText_ = aStatement.name_;
      }
      break;
    default:
      reply.error_ = SessionError::Malformed;
      reply.errorText_ = "not a valid statement";
      break;
  }
  Reply(aId, std::move(reply), aOut);
}

// Ends the transaction without a commit. If it is open on a server, the server
// rolls it back in the background.
void
Gateway::RollBackTransaction(SessionId aId, Time aNow, GatewayActions& aOut)
{
  Session& session = sessions_.at(aId);
  session.txState_ = TxState::None;
  session.txAborted_ = false;
  const ServerLinkId link = std::exchange(session.txLink_, 0);
  session.txLeaseTerm_ = 0;
  if (const auto found = links_.find(link); found != links_.end()) {
    found->second.session_ = 0;
    ReleaseLink(link, aNow, aOut);
  }
}

// Ends a transaction that was lost with its link or that this VM aborts;
// nothing of it is kept. The caller is told with its next statement.
void
Gateway::AbortTransaction(SessionId aId,
                          std::string_view aCause,
                          Time aNow,
                          GatewayActions& aOut)
{
  Session& session = sessions_.at(aId);
  counters_.transactionsLost_++;
  aOut.push_back(WriteLogEvent{
    Event::TransactionLost,
    fmt::format(
      "session={} database={} cause=\"{}\"", aId, session.database_, aCause) });
  const ServerLinkId link = std::exchange(session.txLink_, 0);
  session.txLeaseTerm_ = 0;
  session.txAborted_ = true;
  if (const auto found = links_.find(link); found != links_.end()) {
    found->second.session_ = 0;
    ReleaseLink(link, aNow, aOut);
  }
}

// Creates the work for a statement that needs a server, and sends or queues it.
void
Gateway::StartWork(SessionId aId,
                   SessionStatement aStatement,
                   Time aNow,
                   GatewayActions& aOut)
{
  Session& session = sessions_.at(aId);
  const bool inTransaction = session.txState_ != TxState::None;
  if (!MayStartWork(aNow)) {
    if (!inTransaction) {
      counters_.refused_++;
      ReplyError(
        aId, SessionError::Overloaded, std::string(kSendElsewhereText), aOut);
      return;
    }
    if (!session.txAborted_) {
      AbortTransaction(aId, kStoppingText, aNow, aOut);
    }
  }
  if (inTransaction && session.txAborted_) {
    session.txAborted_ = false;
    session.txState_ = aStatement.kind_ == StatementKind::Commit
                         ? TxState::None
                         : TxState::Failed;
    ReplyError(aId,
               SessionError::Aborted,
               "the transaction was aborted: run it again from its start",
               aOut);
    return;
  }
  if (!inTransaction) {
    const CatalogDatabase* route =
      catalog_ ? catalog_->Find(session.database_) : nullptr;
    if (route == nullptr) {
      ReplyError(aId,
                 RefusalByCatalog(SessionError::NoDatabase, aNow),
                 session.database_,
                 aOut);
      return;
    }
    session.route_ = *route;
  }
  const Time arrivedAt =
    std::exchange(session.waitedSince_, std::nullopt).value_or(aNow);
  const bool preparedWrites =
    aStatement.kind_ == StatementKind::Execute &&
    session.state_.Prepared().at(aStatement.name_).writes_;
  const WorkId id = nextWork_++;
  Work& work = work_[id];
  work.session_ = aId;
  work.organisation_ = session.organisation_;
  work.route_ = session.route_;
  work.beginsTx_ = session.txState_ == TxState::Begun;
  work.firstInTx_ = work.beginsTx_;
  const bool singleWrite =
    IsSingleWrite(aStatement, preparedWrites, inTransaction);
  work.commitsData_ = singleWrite || aStatement.kind_ == StatementKind::Commit;
  work.repeatable_ = !inTransaction && !singleWrite;
  const bool readsOnly = inTransaction ? session.txReadOnly_ : !singleWrite;
  work.needsPrimary_ = NeedsPrimary(readsOnly, work.route_);
  work.arrivedAt_ = arrivedAt;
  work.deadline_ = arrivedAt + work.route_.statementLimit_;
  work.waitForPrimaryUntil_ =
    arrivedAt + ScaleDuration(work.route_.statementLimit_, kNoPrimaryWaitShare);
  work.waitUntil_ = arrivedAt + GetWaitLimit(work.route_);
  work.shedTicket_ = DrawTicket(aStatement.id_);
  work.statement_ = std::move(aStatement);
  session.work_ = id;
  if (session.txState_ == TxState::Open) {
    // A transaction stays on its link. Its statements do not wait in the queue.
    if (AwaitsProof()) {
      work.resendAt_ = aNow;
      return;
    }
    ServerChoice choice;
    choice.server_ = links_.at(session.txLink_).server_;
    SendWork(id, session.txLink_, choice, aNow, aOut);
    return;
  }
  Enqueue(id);
}

} // namespace jaydoor
