// Callers' sessions: what is answered here, and what becomes work for a server.

#include "gateway/Gateway.h"

#include "base/Erase.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr Duration kOpeningWait = 400ms; // then another VM may know more
constexpr std::size_t kMaxInbox = 64;    // statements sent ahead
constexpr std::size_t kMaxNames = 4096;  // values or prepared statements
// Shares of the statement limit. A caller makes three tries, each held by
// another VM; the last one has to be refused before the caller gives up.
constexpr double kHoldShort = 0.23; // targets far below the limit
constexpr double kHoldLong = 0.45;  // a caller that can wait
constexpr double kHoldMost = 0.29;  // there is no primary: nobody serves it

Duration
ShareOf(Duration aLimit, double aShare)
{
  return Duration(
    static_cast<Duration::rep>(static_cast<double>(aLimit.count()) * aShare));
}

// How long a statement waits for room before its caller is told to try again.
Duration
HoldOf(const CatalogDatabase& aRoute)
{
  const bool patient = aRoute.latencyTarget_ > aRoute.statementLimit_ / 2;
  const double share = patient ? kHoldLong : kHoldShort;
  return std::min(aRoute.latencyTarget_,
                  ShareOf(aRoute.statementLimit_, share));
}

bool
IsSingleWrite(const SessionStatement& aStatement,
              bool aPreparedWrites,
              bool aInside)
{
  const bool writes =
    aStatement.kind_ == StatementKind::Write ||
    (aStatement.kind_ == StatementKind::Execute && aPreparedWrites);
  return writes && !aInside;
}

} // namespace

Gateway::Gateway(GatewayConfig aConfig)
  : config_(std::move(aConfig))
{
}

void
Gateway::Step(GatewayEvent aEvent, Time aNow, GatewayActions& aOut)
{
  std::visit([&](auto& aCase) { Handle(aCase, aNow, aOut); }, aEvent);
  while (!groupsToDispatch_.empty()) {
    const DatabaseId group = *groupsToDispatch_.begin();
    groupsToDispatch_.erase(groupsToDispatch_.begin());
    Dispatch(group, aNow, aOut);
  }
}

Gateway::Server*
Gateway::FindServer(const ServerId& aServer)
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

// ---- Sessions come and go

// Just after a start nobody can say yet which databases there are.
void
Gateway::Handle(SessionOpenRequested& aEvent, Time aNow, GatewayActions& aOut)
{
  if (IsCatalogProven()) {
    OpenSession(aEvent.session_, std::move(aEvent.database_), aOut);
  } else {
    pendingSessions_[aEvent.session_] = { std::move(aEvent.database_),
                                          aNow + kOpeningWait };
  }
}

void
Gateway::TickPendingSessions(Time aNow, GatewayActions& aOut)
{
  const bool proven = IsCatalogProven();
  EraseWhere(pendingSessions_, [&](SessionId aId, PendingSession& aOpening) {
    if (proven) {
      OpenSession(aId, std::move(aOpening.database_), aOut);
    } else if (aNow >= aOpening.until_) {
      aOut.push_back(
        WriteLogEvent{ Event::SessionRefused,
                       fmt::format("session={} database={} reason=no_catalog",
                                   aId,
                                   aOpening.database_) });
      aOut.push_back(RefuseSession{ aId, SessionError::Overloaded });
    } else {
      return false;
    }
    return true;
  });
}

void
Gateway::OpenSession(SessionId aId, std::string aDatabase, GatewayActions& aOut)
{
  if (catalog_->Find(aDatabase) == nullptr) {
    aOut.push_back(WriteLogEvent{
      Event::SessionRefused,
      fmt::format("session={} database={} catalog={} reason=no_such_database",
                  aId,
                  aDatabase,
                  catalog_->version_) });
    aOut.push_back(RefuseSession{ aId, SessionError::NoDatabase });
    return;
  }
  counters_.sessions_++;
  sessions_[aId].database_ = std::move(aDatabase);
  aOut.push_back(AcceptSession{ aId });
}

void
Gateway::Handle(SessionEnded& aEvent, Time aNow, GatewayActions& aOut)
{
  pendingSessions_.erase(aEvent.session_);
  const auto found = sessions_.find(aEvent.session_);
  if (found == sessions_.end()) {
    return;
  }
  const Session session = std::move(found->second);
  sessions_.erase(found);
  if (session.work_ != 0) {
    Work& work = work_.at(session.work_);
    if (work.queued_) {
      DropWork(session.work_);
    } else {
      work.session_ = 0; // what runs is left to finish
    }
  }
  const auto link = links_.find(session.txLink_);
  if (link != links_.end()) {
    link->second.session_ = 0;
    if (link->second.unanswered_.empty()) {
      ReleaseLink(session.txLink_, aNow, aOut);
    } else {
      link->second.state_ = LinkState::RollingBack;
    }
  }
}

// ---- Statements

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
  if (session.work_ == 0 && session.pipelined_.empty()) {
    RunStatement(aEvent.session_, std::move(aEvent.statement_), aNow, aOut);
    return;
  }
  if (session.pipelined_.size() >= kMaxInbox) {
    aOut.push_back(CloseSession{ aEvent.session_ });
    SessionEnded end{ aEvent.session_ };
    Handle(end, aNow, aOut);
    return;
  }
  session.pipelined_.push_back(std::move(aEvent.statement_));
}

// Goes on with what the caller sent ahead.
void
Gateway::RunPipelined(SessionId aId, Time aNow, GatewayActions& aOut)
{
  while (true) {
    const auto found = sessions_.find(aId);
    const bool idle = found != sessions_.end() && found->second.work_ == 0 &&
                      !found->second.pipelined_.empty();
    if (!idle) {
      return;
    }
    SessionStatement next = std::move(found->second.pipelined_.front());
    found->second.pipelined_.pop_front();
    RunStatement(aId, std::move(next), aNow, aOut);
  }
}

void
Gateway::RunStatement(SessionId aId,
                      SessionStatement aStatement,
                      Time aNow,
                      GatewayActions& aOut)
{
  Session& session = sessions_.at(aId);
  counters_.statements_++;
  const StatementKind kind = aStatement.kind_;
  const bool ends =
    kind == StatementKind::Rollback || kind == StatementKind::Commit;
  if (session.txState_ == TxState::Failed && !ends) {
    ReplyError(aId, SessionError::Malformed, "end the transaction first", aOut);
    return;
  }
  if (session.txState_ == TxState::Failed || kind == StatementKind::Rollback) {
    if (session.txState_ == TxState::None) {
      ReplyError(aId, SessionError::Malformed, "no transaction is open", aOut);
      return;
    }
    const bool lost =
      session.txState_ == TxState::Failed && kind == StatementKind::Commit;
    RollBackTransaction(aId, aNow, aOut);
    if (lost) {
      ReplyError(aId, SessionError::Aborted, "rolled back", aOut);
    } else {
      Reply(aId, {}, aOut);
    }
    return;
  }
  switch (kind) {
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
    case StatementKind::Set:
    case StatementKind::Prepare:
    case StatementKind::Deallocate:
    case StatementKind::Malformed:
      AnswerLocally(aId, aStatement, aOut);
      session.txIdleSince_ = aNow;
      return;
    default:
      break;
  }
  if (kind == StatementKind::Commit && session.txState_ == TxState::None) {
    ReplyError(aId, SessionError::Malformed, "no transaction is open", aOut);
    return;
  }
  const bool unknown = kind == StatementKind::Execute &&
                       !session.prepared_.contains(aStatement.name_);
  if (unknown) {
    if (session.txState_ != TxState::None) {
      session.txState_ = TxState::Failed;
    }
    ReplyError(aId, SessionError::NoStatement, aStatement.name_, aOut);
    return;
  }
  StartWork(aId, std::move(aStatement), aNow, aOut);
}

// Values, names and begins cost no server anything until they are used.
void
Gateway::AnswerLocally(SessionId aId,
                       const SessionStatement& aStatement,
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
        reply.errorText_ = "a transaction is open";
      } else if (route == nullptr) {
        reply.error_ = SessionError::NoDatabase;
        reply.errorText_ = session.database_;
      } else {
        session.route_ = *route;
        session.txState_ = TxState::Begun;
        session.txReadOnly_ = aStatement.kind_ == StatementKind::BeginReadOnly;
      }
      break;
    }
    case StatementKind::Set:
      if (session.values_.size() < kMaxNames) {
        session.values_[aStatement.name_] = aStatement.argument_;
      } else {
        reply.error_ = SessionError::TooLarge;
      }
      break;
    case StatementKind::Prepare:
      if (session.prepared_.size() < kMaxNames) {
        session.prepared_[aStatement.name_] = { aStatement.writes_,
                                                aStatement.argument_ };
      } else {
        reply.error_ = SessionError::TooLarge;
      }
      break;
    case StatementKind::Deallocate:
      if (session.prepared_.erase(aStatement.name_) == 0) {
        reply.error_ = SessionError::NoStatement;
        reply.errorText_ = aStatement.name_;
      }
      break;
    default:
      reply.error_ = SessionError::Malformed;
      reply.errorText_ = "not a statement";
      break;
  }
  Reply(aId, std::move(reply), aOut);
}

// The caller gives the transaction up: the server is told in the background.
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

// The server side of the transaction is gone, and nothing of it is kept. The
// caller hears of it with its next statement.
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

void
Gateway::StartWork(SessionId aId,
                   SessionStatement aStatement,
                   Time aNow,
                   GatewayActions& aOut)
{
  Session& session = sessions_.at(aId);
  const bool inside = session.txState_ != TxState::None;
  if (inside && session.txAborted_) {
    session.txAborted_ = false;
    session.txState_ = aStatement.kind_ == StatementKind::Commit
                         ? TxState::None
                         : TxState::Failed;
    ReplyError(aId, SessionError::Aborted, "the transaction was ended", aOut);
    return;
  }
  if (!inside) {
    const CatalogDatabase* route =
      catalog_ ? catalog_->Find(session.database_) : nullptr;
    if (route == nullptr) {
      ReplyError(aId, SessionError::NoDatabase, session.database_, aOut);
      return;
    }
    session.route_ = *route;
  }
  const bool preparedWrites = aStatement.kind_ == StatementKind::Execute &&
                              session.prepared_.at(aStatement.name_).writes_;
  const WorkId id = nextWork_++;
  Work& work = work_[id];
  work.session_ = aId;
  work.route_ = session.route_;
  work.beginsTx_ = session.txState_ == TxState::Begun;
  const bool single = IsSingleWrite(aStatement, preparedWrites, inside);
  work.commitsData_ = single || aStatement.kind_ == StatementKind::Commit;
  work.repeatable_ = !inside && !single;
  const bool readsOnly = inside ? session.txReadOnly_ : !single;
  work.needsPrimary_ =
    !readsOnly || work.route_.consistency_ == Consistency::Primary;
  work.arrivedAt_ = aNow;
  work.deadline_ = aNow + work.route_.statementLimit_;
  work.waitForPrimaryUntil_ =
    aNow + ShareOf(work.route_.statementLimit_, kHoldMost);
  work.waitUntil_ = aNow + HoldOf(work.route_);
  work.statement_ = std::move(aStatement);
  session.work_ = id;
  if (session.txState_ == TxState::Open) {
    // It goes on where the transaction is, ahead of what has not begun.
    ServerChoice place;
    place.server_ = links_.at(session.txLink_).server_;
    SendWork(id, session.txLink_, place, aNow, aOut);
    return;
  }
  Enqueue(id);
}

} // namespace jaydoor
