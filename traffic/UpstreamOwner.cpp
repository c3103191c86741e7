// The part of the owner that accepts statements and handles answers and lost
// connections.

#include "traffic/UpstreamOwner.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr Duration kReopenDelay = 50ms; // after a failed connection
constexpr Duration kReplyMargin = 5ms;  // for the reply to reach the caller
constexpr int kMaxAttempts = 3;         // to send one statement to the upstream

} // namespace

UpstreamOwner::UpstreamOwner(wire::Upstream aInfo,
                             VmId aSelf,
                             OwnerTiming aTiming)
  : info_(std::move(aInfo))
  , self_(std::move(aSelf))
  , timing_(aTiming)
{
}

void
UpstreamOwner::SetView(const FleetView& aView,
                       bool aOwned,
                       TrafficActions& aOut)
{
  const auto found = aView.servers_.find(info_.server());
  owned_ = aOwned && found != aView.servers_.end();
  if (found != aView.servers_.end()) {
    const auto& info = found->second.info_;
    const bool moved =
      info.host() != info_.host() || info.port() != info_.port();
    info_ = info;
    if (moved) {
      CloseUnusedConnections(aOut);
    }
  }
  const auto group = aView.databases_.find(info_.database());
  const bool known = group != aView.databases_.end();
  primary_ = known && group->second.primary_ == info_.server();
  term_ = known ? group->second.term_ : 0;
  rules_ = aView.rules_;
  queue_.SetPolicy(info_.slots(), rules_.floors_);
  viewChanged_ = true;
}

// True for the steps of a transaction after its Begin.
bool
UpstreamOwner::IsTransactionStep(const OwnedStatement& aStatement) const
{
  return StepOf(aStatement) > TransactionStep::Begin;
}

// Returns why, by the current view, the statement has to be routed elsewhere.
// Unset if it can run here.
std::optional<Reason>
UpstreamOwner::FindRoutingRefusal(const OwnedStatement& aStatement) const
{
  if (!owned_) {
    return Reason::NotOwner;
  }
  if (info_.leaving()) {
    return Reason::Leaving;
  }
  if (!rules_.IsTrafficAllowed(info_.server())) {
    return Reason::RuleForbids;
  }
  if (!IsRead(aStatement) && !primary_) {
    return Reason::NotPrimary;
  }
  if (aStatement.term_ > term_) {
    return Reason::NotOwner; // this VM's view is behind the sender's
  }
  return std::nullopt;
}

// Returns why the statement can't run here, if that is known before it is sent.
std::optional<Reason>
UpstreamOwner::FindRefusal(const OwnedStatement& aStatement,
                           const GroupWatch& aWatch,
                           Time aNow) const
{
  const auto routing = FindRoutingRefusal(aStatement);
  if (routing) {
    return routing;
  }
  // The proof of the data's age may still be obtained while the read runs, but
  // not if the primary is unreachable.
  const bool primaryUnreachable = aWatch.IsUnreachable(aWatch.Primary());
  if (IsRead(aStatement) && !primary_ && primaryUnreachable) {
    const auto fresh =
      aWatch.FindFreshnessTime(info_.server(), aWatch.PointOf(info_.server()));
    if (!fresh || *fresh < aNow - aStatement.maxAge_) {
      return Reason::Stale;
    }
  }
  return std::nullopt;
}

// Marks the transaction that a step belongs to as busy. False if there is none
// or if it is busy with another step. A transaction's handle has the format
// vm/server/number.
bool
UpstreamOwner::AttachTransaction(OwnedStatement& aStatement)
{
  const std::string& handle = aStatement.statement_.transaction();
  const std::string prefix = fmt::format("{}/{}/", self_, info_.server());
  if (!handle.starts_with(prefix)) {
    return false;
  }
  for (auto& [id, transaction] : transactions_) {
    if (handle == fmt::format("{}{}", prefix, id) && !transaction.busy_) {
      aStatement.transactionId_ = id;
      transaction.busy_ = true;
      return true;
    }
  }
  return false;
}

QueuedItem
UpstreamOwner::MakeQueuedItem(std::uint64_t aId,
                              const OwnedStatement& aStatement) const
{
  QueuedItem item;
  item.id_ = aId;
  item.rank_ = static_cast<Rank>(aStatement.statement_.rank());
  item.customer_ = aStatement.statement_.customer();
  item.weight_ = rules_.WeightOf(item.customer_);
  item.deadline_ = aStatement.deadline_;
  return item;
}

void
UpstreamOwner::Accept(OwnedStatement aStatement,
                      Time aNow,
                      const GroupWatch& aWatch)
{
  aStatement.arrivedAt_ = aNow;
  aStatement.deadline_ -= kReplyMargin;
  if (IsTransactionStep(aStatement)) {
    if (!AttachTransaction(aStatement)) {
      Reply(aStatement, Outcome::NotRun, Reason::TransactionLost, aNow);
      return;
    }
    const std::uint64_t id = nextId_++;
    statements_[id] = std::move(aStatement);
    transactionSteps_.push_back(id);
    return;
  }
  if (StepOf(aStatement) == TransactionStep::Begin &&
      transactions_.size() >= TransactionLimit()) {
    Reply(aStatement, Outcome::NotRun, Reason::Overloaded, aNow);
    return;
  }
  const auto refusal = FindRefusal(aStatement, aWatch, aNow);
  if (refusal) {
    Reply(aStatement, Outcome::NotRun, *refusal, aNow);
    return;
  }
  const std::uint64_t id = nextId_++;
  const auto refused = queue_.Push(MakeQueuedItem(id, aStatement), aNow);
  if (refused) {
    Reply(aStatement, Outcome::NotRun, *refused, aNow);
    return;
  }
  statements_[id] = std::move(aStatement);
}

void
UpstreamOwner::Cancel(const ReplyAddress& aAddress)
{
  for (const auto& [id, statement] : statements_) {
    const bool same = statement.replyTo_.vm_ == aAddress.vm_ &&
                      statement.replyTo_.request_ == aAddress.request_;
    if (same && queue_.Remove(id)) {
      statements_.erase(id);
      return;
    }
  }
}

void
UpstreamOwner::Reply(const OwnedStatement& aStatement,
                     Outcome aOutcome,
                     Reason aReason,
                     Time aNow)
{
  OwnerReply reply;
  reply.to_ = aStatement.replyTo_;
  wire::ForwardReply& message = reply.reply_;
  message.set_request(aStatement.replyTo_.request_);
  message.set_outcome(static_cast<std::uint32_t>(aOutcome));
  message.set_reason(static_cast<std::uint32_t>(aReason));
  message.set_server(info_.server());
  const UpstreamAnswer& answer = aStatement.answer_;
  if (aOutcome == Outcome::Done) {
    message.mutable_point()->set_term(answer.point_.term_);
    message.mutable_point()->set_position(answer.point_.position_);
    for (const auto& row : answer.rows_) {
      message.add_rows(row);
    }
  } else if (aOutcome == Outcome::Failed && !answer.detail_.empty()) {
    message.add_rows(answer.detail_);
  }
  if (aStatement.transactionId_ != 0 && aOutcome != Outcome::NotRun) {
    message.set_transaction(fmt::format(
      "{}/{}/{}", self_, info_.server(), aStatement.transactionId_));
  }
  const bool wasSent = aStatement.sentAt_ != Time{};
  const Time leftQueueAt = wasSent ? aStatement.sentAt_ : aNow;
  message.set_queue_us((leftQueueAt - aStatement.arrivedAt_).count());
  const bool answered = aStatement.answeredAt_ != Time{};
  message.set_upstream_us(
    answered ? (aStatement.answeredAt_ - aStatement.sentAt_).count() : 0);
  replies_.push_back(std::move(reply));
}

void
UpstreamOwner::ReplyById(std::uint64_t aId,
                         Outcome aOutcome,
                         Reason aReason,
                         Time aNow)
{
  const auto found = statements_.find(aId);
  if (found == statements_.end()) {
    return;
  }
  Reply(found->second, aOutcome, aReason, aNow);
  statements_.erase(found);
}

std::vector<OwnerReply>
UpstreamOwner::TakeReplies()
{
  return std::exchange(replies_, {});
}

bool
UpstreamOwner::IsIdle() const
{
  return statements_.empty() && transactions_.empty();
}

std::size_t
UpstreamOwner::ConnectionLimit() const
{
  const auto share = static_cast<std::size_t>(timing_.connectionShare_ *
                                              info_.connection_limit());
  return std::max<std::size_t>(1, share);
}

// Transactions hold connections between their statements. As many connections
// as the slots can use are kept free of them, but at most half of all, so that
// transactions never block plain statements.
std::size_t
UpstreamOwner::TransactionLimit() const
{
  const std::size_t all = ConnectionLimit();
  const std::size_t free = std::min<std::size_t>(info_.slots(), all / 2);
  return std::max<std::size_t>(1, all - free);
}

// ---- Connections and answers

bool
UpstreamOwner::HandleOpened(ConnectionId aId, Time aNow)
{
  const auto found = connections_.find(aId);
  if (found == connections_.end()) {
    return false;
  }
  found->second.use_ = ConnectionUse::Idle;
  found->second.useSince_ = aNow;
  found->second.lastAnswerAt_ = aNow;
  return true;
}

bool
UpstreamOwner::HandleLost(ConnectionId aId, Time aNow)
{
  const auto found = connections_.find(aId);
  if (found == connections_.end()) {
    return false;
  }
  const Connection connection = found->second;
  connections_.erase(found);
  if (connection.use_ == ConnectionUse::Opening) {
    reopenAt_ = aNow + kReopenDelay;
  }
  if (connection.transactionId_ != 0) {
    transactions_.erase(connection.transactionId_);
  }
  if (connection.use_ == ConnectionUse::Running) {
    running_--;
    HandleStatementLost(connection.statementId_, aNow);
  }
  return true;
}

// Replies to a statement, or queues it again, after its connection was lost
// before it was answered.
void
UpstreamOwner::HandleStatementLost(std::uint64_t aId, Time aNow)
{
  const auto found = statements_.find(aId);
  if (found == statements_.end()) {
    return;
  }
  OwnedStatement& statement = found->second;
  const TransactionStep step = StepOf(statement);
  const bool rolledBack = step == TransactionStep::Begin ||
                          step == TransactionStep::Inside ||
                          step == TransactionStep::Rollback;
  if (rolledBack) {
    // An upstream rolls back the uncommitted transaction of a lost connection.
    statement.transactionId_ = 0;
    ReplyById(aId, Outcome::NotRun, Reason::TransactionLost, aNow);
  } else if (IsSafeToRepeat(statement) && statement.attempts_ < kMaxAttempts) {
    Requeue(aId, aNow);
  } else {
    ReplyById(aId, Outcome::Unknown, Reason::Unreachable, aNow);
  }
}

void
UpstreamOwner::Requeue(std::uint64_t aId, Time aNow)
{
  const OwnedStatement& statement = statements_.at(aId);
  const auto refused = queue_.Push(MakeQueuedItem(aId, statement), aNow);
  if (refused) {
    const Outcome outcome =
      statement.attempts_ > 0 ? Outcome::Unknown : Outcome::NotRun;
    ReplyById(aId, outcome, *refused, aNow);
  }
}

bool
UpstreamOwner::HandleAnswer(ConnectionId aId, UpstreamAnswer aAnswer, Time aNow)
{
  const auto found = connections_.find(aId);
  if (found == connections_.end()) {
    return false;
  }
  Connection& connection = found->second;
  connection.lastAnswerAt_ = aNow;
  if (connection.use_ == ConnectionUse::Running) {
    const std::uint64_t statement = connection.statementId_;
    ReleaseConnection(connection, aNow);
    HandleStatementAnswer(statement, std::move(aAnswer), aNow);
  } else {
    connection.use_ = ConnectionUse::Idle;
    connection.useSince_ = aNow;
  }
  return true;
}

// Makes the connection of an answered statement available again, within its
// transaction if it has one.
void
UpstreamOwner::ReleaseConnection(Connection& aConnection, Time aNow)
{
  running_--;
  aConnection.statementId_ = 0;
  aConnection.use_ = aConnection.transactionId_ != 0
                       ? ConnectionUse::HeldByTransaction
                       : ConnectionUse::Idle;
  aConnection.useSince_ = aNow;
}

void
UpstreamOwner::HandleStatementAnswer(std::uint64_t aId,
                                     UpstreamAnswer aAnswer,
                                     Time aNow)
{
  const auto found = statements_.find(aId);
  if (found == statements_.end()) {
    return; // it has been replied to already
  }
  OwnedStatement& statement = found->second;
  statement.answeredAt_ = aNow;
  statement.answer_ = std::move(aAnswer);
  UpdateTransaction(statement);
  switch (statement.answer_.result_) {
    case UpstreamResult::Refused:
      RequeueOrRefuse(aId, statement.answer_.reason_, aNow);
      return;
    case UpstreamResult::Failed:
      ReplyById(aId, Outcome::Failed, Reason::DatabaseError, aNow);
      return;
    case UpstreamResult::Done:
      break;
  }
  queue_.RecordServiceTime(aNow - statement.sentAt_);
  if (IsRead(statement) || NeedsMajority(statement)) {
    awaitingProof_.push_back(aId);
  } else {
    ReplyById(aId, Outcome::Done, Reason::None, aNow);
  }
}

// Queues a statement again that the upstream has refused for lack of room, or
// replies. The refusal proves that this attempt has not run; an earlier attempt
// may have.
void
UpstreamOwner::RequeueOrRefuse(std::uint64_t aId, Reason aReason, Time aNow)
{
  OwnedStatement& statement = statements_.at(aId);
  const bool firstAttempt = statement.attempts_ <= 1;
  const bool lacksRoom =
    aReason == Reason::Overloaded || aReason == Reason::NoConnection;
  const bool outsideTransaction = StepOf(statement) == TransactionStep::None;
  if (lacksRoom && outsideTransaction && statement.attempts_ < kMaxAttempts) {
    if (firstAttempt) {
      statement.attempts_ = 0; // proven: no attempt has run
    }
    Requeue(aId, aNow);
    return;
  }
  const bool notRun = firstAttempt || IsRead(statement);
  ReplyById(aId, notRun ? Outcome::NotRun : Outcome::Unknown, aReason, aNow);
}

// Makes the transaction of an answered step ready for its next step, or ends
// it.
void
UpstreamOwner::UpdateTransaction(OwnedStatement& aStatement)
{
  const auto found = transactions_.find(aStatement.transactionId_);
  if (found == transactions_.end()) {
    return;
  }
  found->second.busy_ = false;
  found->second.lastUsedAt_ = aStatement.answeredAt_;
  const TransactionStep step = StepOf(aStatement);
  const bool ends = step == TransactionStep::Commit ||
                    step == TransactionStep::Rollback ||
                    aStatement.answer_.result_ == UpstreamResult::Refused;
  if (ends) {
    EndTransaction(aStatement.transactionId_);
  }
}

void
UpstreamOwner::EndTransaction(std::uint64_t aTransaction)
{
  const auto found = transactions_.find(aTransaction);
  if (found == transactions_.end()) {
    return;
  }
  const auto connection = connections_.find(found->second.connectionId_);
  if (connection != connections_.end()) {
    connection->second.transactionId_ = 0;
    if (connection->second.use_ == ConnectionUse::HeldByTransaction) {
      connection->second.use_ = ConnectionUse::Idle;
    }
  }
  transactions_.erase(found);
}

void
UpstreamOwner::CloseUnusedConnections(TrafficActions& aOut)
{
  for (const auto& [id, connection] : connections_) {
    if (connection.use_ != ConnectionUse::Running &&
        connection.transactionId_ == 0) {
      aOut.push_back(CloseConnection{ id });
    }
  }
  std::erase_if(connections_, [](const auto& aEntry) {
    return aEntry.second.use_ != ConnectionUse::Running &&
           aEntry.second.transactionId_ == 0;
  });
}

} // namespace jaydoor
