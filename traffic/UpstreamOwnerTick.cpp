// The part of the owner that runs at each Tick: time limits, proofs, sending,
// and opening and closing connections.

#include "traffic/UpstreamOwner.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr Duration kIdleConnectionTimeout = 30s; // then it is closed

} // namespace

void
UpstreamOwner::Tick(Time aNow,
                    const GroupWatch& aWatch,
                    IdSource& aIds,
                    TrafficActions& aOut)
{
  ReplyToDropped(aNow);
  CloseSilentConnections(aNow, aOut);
  ExpireTransactions(aNow, aOut);
  StartTransactionSteps(aNow, aOut);
  StartQueued(aNow, aIds, aOut);
  CheckProofs(aNow, aWatch);
  MaintainConnections(aNow, aIds, aOut);
}

// Replies to the statements that the queue has dropped and, after a change of
// the view, to those that can't run here any more.
void
UpstreamOwner::ReplyToDropped(Time aNow)
{
  for (const auto& refused : queue_.TakeRefused(aNow)) {
    const auto found = statements_.find(refused.id_);
    const bool sent = found != statements_.end() && found->second.attempts_ > 0;
    const bool provenNotRun = !sent || IsRead(found->second);
    ReplyById(refused.id_,
              provenNotRun ? Outcome::NotRun : Outcome::Unknown,
              refused.reason_,
              aNow);
  }
  if (viewChanged_) {
    viewChanged_ = false;
    RefuseUnroutable(aNow);
  }
}

// Refuses the queued statements that can't run here any more after a change of
// owner, primary or rules, so that they are routed again. They have not run
// unless an earlier attempt was sent.
void
UpstreamOwner::RefuseUnroutable(Time aNow)
{
  std::vector<std::pair<std::uint64_t, Reason>> unroutable;
  for (const auto& [id, statement] : statements_) {
    const auto refusal = FindRoutingRefusal(statement);
    if (refusal && queue_.Remove(id)) {
      unroutable.emplace_back(id, *refusal);
    }
  }
  for (const auto& [id, reason] : unroutable) {
    const OwnedStatement& statement = statements_.at(id);
    const bool provenNotRun = statement.attempts_ == 0 || IsRead(statement);
    ReplyById(
      id, provenNotRun ? Outcome::NotRun : Outcome::Unknown, reason, aNow);
  }
}

// Closes the connections that have not opened or answered in time, or whose
// statement is past its deadline.
void
UpstreamOwner::CloseSilentConnections(Time aNow, TrafficActions& aOut)
{
  std::vector<ConnectionId> silent;
  Time newestOpenedAt;
  for (const auto& [id, connection] : connections_) {
    const Duration elapsed = aNow - connection.useSince_;
    bool drop = false;
    if (connection.use_ == ConnectionUse::Opening) {
      drop = elapsed >= timing_.connectTimeout_;
    } else if (connection.use_ == ConnectionUse::Checking) {
      drop = elapsed >= timing_.answerTimeout_;
    } else if (connection.use_ == ConnectionUse::Running) {
      const auto& statement = statements_.at(connection.statementId_);
      const bool pastDeadline = aNow >= statement.deadline_;
      const bool repeatAfterTimeout =
        IsSafeToRepeat(statement) && elapsed >= timing_.answerTimeout_;
      drop = pastDeadline || repeatAfterTimeout;
    }
    if (drop) {
      silent.push_back(id);
      if (connection.use_ != ConnectionUse::Opening) {
        newestOpenedAt = std::max(newestOpenedAt, connection.openedAt_);
      }
    }
  }
  for (const ConnectionId id : silent) {
    aOut.push_back(CloseConnection{ id });
    HandleLost(id, aNow);
  }
  if (newestOpenedAt != Time{}) {
    CloseIdleOpenedUntil(newestOpenedAt, aNow, aOut);
  }
}

// Closes the idle connections whose opening began no later than
// `aOpenedUntil`, after a connection opened then has turned out silent. The
// cause may have affected all connections of that age, and opening a new
// connection is cheap while a lost write is not.
void
UpstreamOwner::CloseIdleOpenedUntil(Time aOpenedUntil,
                                    Time aNow,
                                    TrafficActions& aOut)
{
  std::vector<ConnectionId> idle;
  for (const auto& [id, connection] : connections_) {
    if (connection.use_ == ConnectionUse::Idle &&
        connection.openedAt_ <= aOpenedUntil) {
      idle.push_back(id);
    }
  }
  for (const ConnectionId id : idle) {
    aOut.push_back(CloseConnection{ id });
    HandleLost(id, aNow);
  }
  aOut.push_back(WriteLogEvent{ Event::ConnectionSilent,
                                fmt::format("upstream={} dropped_with_it={}",
                                            info_.server(),
                                            idle.size()) });
}

// Rolls back the transactions that have had no statement for too long, by
// closing their connections.
void
UpstreamOwner::ExpireTransactions(Time aNow, TrafficActions& aOut)
{
  std::vector<ConnectionId> idle;
  for (const auto& [id, transaction] : transactions_) {
    const bool timedOut =
      aNow - transaction.lastUsedAt_ >= timing_.transactionIdleTimeout_;
    if (!transaction.busy_ && timedOut) {
      idle.push_back(transaction.connectionId_);
    }
  }
  for (const ConnectionId id : idle) {
    aOut.push_back(CloseConnection{ id });
    HandleLost(id, aNow);
  }
}

// Returns whether the answer of a statement that has run is proven. A write and
// the data that a read returns have to be on a majority. Data that a failover
// can still lose must not be returned, or a later read could return older data.
// A replica's data comes from the primary, so two servers hold it and no
// further proof of durability is needed.
UpstreamOwner::ProofState
UpstreamOwner::GetProofState(const OwnedStatement& aStatement,
                             const GroupWatch& aWatch) const
{
  const LogPoint point = aStatement.answer_.point_;
  const bool write = NeedsMajority(aStatement);
  if (!write && point < aStatement.minPoint_) {
    return ProofState::Behind;
  }
  if ((write || primary_) && !aWatch.IsDurable(point, info_.server())) {
    return ProofState::Unproven;
  }
  if (write) {
    return ProofState::Proven;
  }
  const auto fresh = aWatch.FindFreshnessTime(info_.server(), point);
  const Time requiredTime = aStatement.arrivedAt_ - aStatement.maxAge_;
  return fresh && *fresh >= requiredTime ? ProofState::Proven
                                         : ProofState::Unproven;
}

// Returns the time until which a statement waits for its proof. A read at a
// replica waits only briefly, and is then routed to the primary.
Time
UpstreamOwner::ProofDeadline(const OwnedStatement& aStatement) const
{
  if (NeedsMajority(aStatement) || primary_) {
    return aStatement.deadline_;
  }
  return std::min(aStatement.answeredAt_ + timing_.freshnessProofTimeout_,
                  aStatement.deadline_);
}

// Replies to the statements whose answer is proven, is behind the session, or
// was not proven in time.
void
UpstreamOwner::CheckProofs(Time aNow, const GroupWatch& aWatch)
{
  std::vector<std::uint64_t> stillUnproven;
  for (const std::uint64_t id : std::exchange(awaitingProof_, {})) {
    const OwnedStatement& statement = statements_.at(id);
    const auto proof = GetProofState(statement, aWatch);
    if (proof == ProofState::Proven) {
      queue_.RecordAnswerTime(aNow - statement.sentAt_);
      ReplyById(id, Outcome::Done, Reason::None, aNow);
    } else if (proof == ProofState::Behind) {
      ReplyById(id, Outcome::Failed, Reason::Behind, aNow);
    } else if (aNow < ProofDeadline(statement)) {
      stillUnproven.push_back(id);
    } else if (NeedsMajority(statement)) {
      ReplyById(id, Outcome::Unknown, Reason::NotDurable, aNow);
    } else {
      ReplyById(id, Outcome::Failed, Reason::Stale, aNow);
    }
  }
  awaitingProof_ = std::move(stillUnproven);
}

// ---- Sending

// Returns the idle connection that has answered most recently, so that surplus
// connections stay idle until they are closed. 0 if none is idle.
ConnectionId
UpstreamOwner::FindIdleConnection() const
{
  ConnectionId best = 0;
  Time lastAnswerAt;
  for (const auto& [id, connection] : connections_) {
    const bool isLater = best == 0 || connection.lastAnswerAt_ > lastAnswerAt;
    if (connection.use_ == ConnectionUse::Idle && isLater) {
      best = id;
      lastAnswerAt = connection.lastAnswerAt_;
    }
  }
  return best;
}

// Sends the transaction steps, as far as slots are free, to the connections
// that hold their transactions.
void
UpstreamOwner::StartTransactionSteps(Time aNow, TrafficActions& aOut)
{
  std::vector<std::uint64_t> postponed;
  for (const std::uint64_t id : std::exchange(transactionSteps_, {})) {
    OwnedStatement& statement = statements_.at(id);
    const auto found = transactions_.find(statement.transactionId_);
    if (found == transactions_.end()) {
      statement.transactionId_ = 0;
      ReplyById(id, Outcome::NotRun, Reason::TransactionLost, aNow);
    } else if (aNow >= statement.deadline_) {
      found->second.busy_ = false;
      ReplyById(id, Outcome::NotRun, Reason::PastDeadline, aNow);
    } else if (running_ < info_.slots()) {
      SendStatement(found->second.connectionId_, id, aNow, aOut);
    } else {
      postponed.push_back(id);
    }
  }
  transactionSteps_ = std::move(postponed);
}

// Sends queued statements as long as slots and connections are free. A
// connection that has not answered for long is checked before it is used.
void
UpstreamOwner::StartQueued(Time aNow, IdSource& aIds, TrafficActions& aOut)
{
  while (running_ < info_.slots() && queue_.Size() > 0) {
    const ConnectionId id = FindIdleConnection();
    if (id == 0) {
      return;
    }
    Connection& connection = connections_.at(id);
    if (aNow - connection.lastAnswerAt_ > timing_.uncheckedIdleLimit_) {
      connection.use_ = ConnectionUse::Checking;
      connection.useSince_ = aNow;
      aOut.push_back(SendUpstreamRequest{ id, UpstreamRequest{} });
      continue;
    }
    const auto item = queue_.Pop(aNow);
    if (!item) {
      return;
    }
    const OwnedStatement& statement = statements_.at(item->id_);
    if (StepOf(statement) == TransactionStep::Begin) {
      const std::uint64_t transaction = aIds.Next();
      transactions_[transaction] = { id, aNow, true };
      connection.transactionId_ = transaction;
      statements_.at(item->id_).transactionId_ = transaction;
    }
    SendStatement(id, item->id_, aNow, aOut);
  }
}

void
UpstreamOwner::SendStatement(ConnectionId aId,
                             std::uint64_t aStatement,
                             Time aNow,
                             TrafficActions& aOut)
{
  OwnedStatement& statement = statements_.at(aStatement);
  Connection& connection = connections_.at(aId);
  connection.use_ = ConnectionUse::Running;
  connection.useSince_ = aNow;
  connection.statementId_ = aStatement;
  running_++;
  statement.sentAt_ = aNow;
  statement.attempts_++;
  UpstreamRequest request;
  request.op_ = UpstreamOp::Execute;
  request.term_ = term_;
  request.statement_ = statement.statement_.text();
  request.minPoint_ = statement.minPoint_;
  request.remainingTime_ = statement.deadline_ - aNow;
  request.step_ = StepOf(statement);
  request.read_ = IsRead(statement);
  aOut.push_back(SendUpstreamRequest{ aId, std::move(request) });
}

// Opens the connections that the queue needs, and closes those that have been
// idle for long.
void
UpstreamOwner::MaintainConnections(Time aNow,
                                   IdSource& aIds,
                                   TrafficActions& aOut)
{
  std::size_t usable = 0;
  std::vector<ConnectionId> expired;
  for (const auto& [id, connection] : connections_) {
    const bool idle = connection.use_ == ConnectionUse::Idle;
    usable += connection.transactionId_ == 0 ? 1U : 0U;
    if (idle &&
        (!owned_ || aNow - connection.useSince_ >= kIdleConnectionTimeout)) {
      expired.push_back(id);
    }
  }
  for (const ConnectionId id : expired) {
    if (owned_ && usable <= 1) {
      break; // one stays open so that the next statement finds it ready
    }
    usable--;
    aOut.push_back(CloseConnection{ id });
    connections_.erase(id);
  }
  if (!owned_) {
    return;
  }
  const std::size_t wanted = std::max<std::size_t>(
    1, std::min<std::size_t>(queue_.Size() + running_, info_.slots()));
  while (usable < wanted && connections_.size() < ConnectionLimit() &&
         aNow >= reopenAt_) {
    const ConnectionId id = aIds.Next();
    connections_[id] = { ConnectionUse::Opening, aNow, aNow, aNow, 0, 0 };
    usable++;
    aOut.push_back(OpenConnection{
      id, info_.host(), static_cast<std::uint16_t>(info_.port()) });
  }
}

Time
UpstreamOwner::NextWake(Time aNow) const
{
  // The watch and the events determine when a proof or a connection is ready.
  // Only deadlines and time-outs depend on this time, and they tolerate being
  // noticed a few milliseconds late.
  return statements_.empty() ? aNow + 100ms : aNow + 5ms;
}

} // namespace jaydoor
