// What an owner does as time passes: expire, prove, send, keep connections.

#include "traffic/UpstreamOwner.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr Duration kKeepIdle = 30s; // idle connections above the slots

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

void
UpstreamOwner::ReplyToDropped(Time aNow)
{
  for (const auto& refused : queue_.TakeRefused(aNow)) {
    const auto found = statements_.find(refused.id_);
    const bool sent = found != statements_.end() && found->second.attempts_ > 0;
    const bool proven = !sent || IsRead(found->second);
    ReplyById(refused.id_,
              proven ? Outcome::NotRun : Outcome::Unknown,
              refused.reason_,
              aNow);
  }
  if (viewChanged_) {
    viewChanged_ = false;
    RefuseUnroutable(aNow);
  }
}

// After a change of owner, primary or rules: what is queued and can't run
// here any more has not run, and goes back to be routed again.
void
UpstreamOwner::RefuseUnroutable(Time aNow)
{
  std::vector<std::pair<std::uint64_t, Reason>> bounced;
  for (const auto& [id, statement] : statements_) {
    const auto refusal = FindRoutingRefusal(statement);
    if (refusal && queue_.Remove(id)) {
      bounced.emplace_back(id, *refusal);
    }
  }
  for (const auto& [id, reason] : bounced) {
    const OwnedStatement& statement = statements_.at(id);
    const bool proven = statement.attempts_ == 0 || IsRead(statement);
    ReplyById(id, proven ? Outcome::NotRun : Outcome::Unknown, reason, aNow);
  }
}

void
UpstreamOwner::CloseSilentConnections(Time aNow, TrafficActions& aOut)
{
  std::vector<ConnectionId> silent;
  Time newest;
  for (const auto& [id, connection] : connections_) {
    const Duration spent = aNow - connection.useSince_;
    bool drop = false;
    if (connection.use_ == ConnectionUse::Opening) {
      drop = spent >= timing_.connectTimeout_;
    } else if (connection.use_ == ConnectionUse::Checking) {
      drop = spent >= timing_.answerTimeout_;
    } else if (connection.use_ == ConnectionUse::Running) {
      const auto& statement = statements_.at(connection.statementId_);
      const bool late = aNow >= statement.deadline_;
      const bool repeat =
        IsSafeToRepeat(statement) && spent >= timing_.answerTimeout_;
      drop = late || repeat;
    }
    if (drop) {
      silent.push_back(id);
      if (connection.use_ != ConnectionUse::Opening) {
        newest = std::max(newest, connection.openedAt_);
      }
    }
  }
  for (const ConnectionId id : silent) {
    aOut.push_back(CloseConnection{ id });
    HandleLost(id, aNow);
  }
  if (newest != Time{}) {
    CloseIdleOpenedUntil(newest, aNow, aOut);
  }
}

// Whatever made one connection silent may have silenced all that are as old.
// Idle ones are dropped: opening a new one is cheap, a lost write is not.
void
UpstreamOwner::CloseIdleOpenedUntil(Time aOpenedUntil,
                                    Time aNow,
                                    TrafficActions& aOut)
{
  std::vector<ConnectionId> mates;
  for (const auto& [id, connection] : connections_) {
    if (connection.use_ == ConnectionUse::Idle &&
        connection.openedAt_ <= aOpenedUntil) {
      mates.push_back(id);
    }
  }
  for (const ConnectionId id : mates) {
    aOut.push_back(CloseConnection{ id });
    HandleLost(id, aNow);
  }
  aOut.push_back(WriteLogEvent{ Event::ConnectionSilent,
                                fmt::format("upstream={} dropped_with_it={}",
                                            info_.server(),
                                            mates.size()) });
}

void
UpstreamOwner::ExpireTransactions(Time aNow, TrafficActions& aOut)
{
  std::vector<ConnectionId> idle;
  for (const auto& [id, transaction] : transactions_) {
    const bool old =
      aNow - transaction.lastUsedAt_ >= timing_.transactionIdleTimeout_;
    if (!transaction.busy_ && old) {
      idle.push_back(transaction.connectionId_);
    }
  }
  for (const ConnectionId id : idle) {
    aOut.push_back(CloseConnection{ id });
    HandleLost(id, aNow);
  }
}

// A write has to be on a majority. So has what a read shows: data that a
// failover could still lose must not be seen, or a later read would go back.
// A replica has its data from the primary, so that two hold it.
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
  const Time wanted = aStatement.arrivedAt_ - aStatement.maxAge_;
  return fresh && *fresh >= wanted ? ProofState::Proven : ProofState::Unproven;
}

// A replica that can't prove itself soon is left for the primary.
Time
UpstreamOwner::ProofDeadline(const OwnedStatement& aStatement) const
{
  if (NeedsMajority(aStatement) || primary_) {
    return aStatement.deadline_;
  }
  return std::min(aStatement.answeredAt_ + timing_.freshnessProofTimeout_,
                  aStatement.deadline_);
}

void
UpstreamOwner::CheckProofs(Time aNow, const GroupWatch& aWatch)
{
  std::vector<std::uint64_t> open;
  for (const std::uint64_t id : std::exchange(awaitingProof_, {})) {
    const OwnedStatement& statement = statements_.at(id);
    const auto proof = GetProofState(statement, aWatch);
    if (proof == ProofState::Proven) {
      queue_.RecordAnswerTime(aNow - statement.sentAt_);
      ReplyById(id, Outcome::Done, Reason::None, aNow);
    } else if (proof == ProofState::Behind) {
      ReplyById(id, Outcome::Failed, Reason::Behind, aNow);
    } else if (aNow < ProofDeadline(statement)) {
      open.push_back(id);
    } else if (NeedsMajority(statement)) {
      ReplyById(id, Outcome::Unknown, Reason::NotDurable, aNow);
    } else {
      ReplyById(id, Outcome::Failed, Reason::Stale, aNow);
    }
  }
  awaitingProof_ = std::move(open);
}

// ---- Sending

// The connection proven most recently, so that the surplus ages and is closed.
ConnectionId
UpstreamOwner::FindIdleConnection() const
{
  ConnectionId best = 0;
  Time proven;
  for (const auto& [id, connection] : connections_) {
    const bool later = best == 0 || connection.lastAnswerAt_ > proven;
    if (connection.use_ == ConnectionUse::Idle && later) {
      best = id;
      proven = connection.lastAnswerAt_;
    }
  }
  return best;
}

void
UpstreamOwner::StartTransactionSteps(Time aNow, TrafficActions& aOut)
{
  std::vector<std::uint64_t> later;
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
      later.push_back(id);
    }
  }
  transactionSteps_ = std::move(later);
}

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

// Opens what the queue needs, and closes what has been idle for long.
void
UpstreamOwner::MaintainConnections(Time aNow,
                                   IdSource& aIds,
                                   TrafficActions& aOut)
{
  std::size_t usable = 0;
  std::vector<ConnectionId> old;
  for (const auto& [id, connection] : connections_) {
    const bool idle = connection.use_ == ConnectionUse::Idle;
    usable += connection.transactionId_ == 0 ? 1U : 0U;
    if (idle && (!owned_ || aNow - connection.useSince_ >= kKeepIdle)) {
      old.push_back(id);
    }
  }
  for (const ConnectionId id : old) {
    if (owned_ && usable <= 1) {
      break; // one stays warm
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
  // Waiting for a proof or a connection is paced by the watch and by events;
  // what is left are deadlines and time-outs, which bear a coarse clock.
  return statements_.empty() ? aNow + 100ms : aNow + 5ms;
}

} // namespace jaydoor
