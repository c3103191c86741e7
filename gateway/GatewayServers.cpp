// Connections to servers, their answers, and what these mean for statements.
//
// Sections:
//   1. Connections
//   2. Answers
//   3. The end of a statement

#include "gateway/Gateway.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr Duration kFullPause = 15ms;   // after a refusal for lack of slots
constexpr Duration kResendPause = 15ms; // inside a transaction
constexpr Duration kBlockFirst = 50ms;  // after a failed connection
constexpr Duration kBlockMost = 200ms;  //
constexpr Duration kBlockLimit = 60ms;  // after a refusal for connections
constexpr int kMaxAttempts = 6;         // of one statement
constexpr int kSmoothing = 8;           // weight of the old service time

std::string_view
NameOf(SessionError aError)
{
  switch (aError) {
    case SessionError::Overloaded:
      return "overloaded";
    case SessionError::Aborted:
      return "aborted";
    case SessionError::Behind:
      return "behind";
    case SessionError::ReadOnly:
      return "read_only";
    case SessionError::WrongServer:
      return "wrong_server";
    case SessionError::ConnectionLimit:
      return "connection_limit";
    case SessionError::InDoubt:
      return "in_doubt";
    case SessionError::TimedOut:
      return "timed_out";
    case SessionError::Failed:
      return "failed";
    case SessionError::NoStatement:
      return "no_statement";
    default:
      return "other";
  }
}

// Errors that prove that the statement has not run.
bool
IsNotRun(SessionError aError)
{
  return aError == SessionError::Overloaded || aError == SessionError::Behind ||
         aError == SessionError::ReadOnly ||
         aError == SessionError::NoStatement ||
         aError == SessionError::WrongServer ||
         aError == SessionError::ConnectionLimit;
}

} // namespace

// ---- 1. Connections

// Its statement takes no slot any more.
void
Gateway::FreeSlot(Link& aLink)
{
  if (aLink.holdsSlot_) {
    aLink.holdsSlot_ = false;
    servers_.at(aLink.server_).runningCount_--;
  }
}

void
Gateway::Handle(ServerLinkOpened& aEvent, Time aNow, GatewayActions& aOut)
{
  const auto found = links_.find(aEvent.link_);
  if (found == links_.end()) {
    return;
  }
  Link& link = found->second;
  link.state_ = LinkState::Idle;
  link.heardAt_ = aNow;
  Server& server = servers_.at(link.server_);
  server.openingCount_--;
  RecordContact(server, aNow, aOut);
  server.idleLinks_.push_back(aEvent.link_);
  groupsToDispatch_.insert(server.info_.database());
}

void
Gateway::Handle(ServerLinkLost& aEvent, Time aNow, GatewayActions& aOut)
{
  const auto found = links_.find(aEvent.link_);
  if (found == links_.end()) {
    return;
  }
  const ServerId id = found->second.server_;
  const bool opening = found->second.state_ == LinkState::Opening;
  Server& server = servers_.at(id);
  if (aEvent.error_ == SessionError::ConnectionLimit) {
    server.blockedUntil_ = aNow + kBlockLimit;
    aOut.push_back(
      WriteLogEvent{ Event::ServerFull,
                     fmt::format("server={} database={} own={} share={}",
                                 id,
                                 server.info_.database(),
                                 server.links_.size(),
                                 LinkShare(server)) });
  } else if (opening) {
    RecordFailure(id,
                  aNow,
                  aEvent.error_ ? NameOf(*aEvent.error_) : "connection failed",
                  aOut);
  }
  RemoveLink(aEvent.link_, aNow, aOut);
}

void
Gateway::RecordContact(Server& aServer, Time aNow, GatewayActions& aOut)
{
  if (aServer.failures_ > 0) {
    aOut.push_back(WriteLogEvent{
      Event::ServerReached,
      fmt::format("server={} database={} failures={} silent_ms={}",
                  aServer.info_.server(),
                  aServer.info_.database(),
                  aServer.failures_,
                  CountMs(aNow - aServer.heardAt_)) });
  }
  aServer.heardAt_ = aNow;
  aServer.failures_ = 0;
  aServer.blockedUntil_ = Time{};
}

void
Gateway::RecordFailure(const ServerId& aServer,
                       Time aNow,
                       std::string_view aCause,
                       GatewayActions& aOut)
{
  Server& server = servers_.at(aServer);
  if (server.failures_ == 0) {
    aOut.push_back(WriteLogEvent{
      Event::ServerUnreachable,
      fmt::format("server={} database={} cause=\"{}\" heard_ms={}",
                  aServer,
                  server.info_.database(),
                  aCause,
                  CountMs(aNow - server.heardAt_)) });
  }
  server.failures_++;
  const Duration pause = kBlockFirst * (1 << std::min(server.failures_ - 1, 3));
  server.blockedUntil_ = aNow + std::min(pause, kBlockMost);
}

// Takes the connection out of all lists; its statement goes on elsewhere or is
// answered.
void
Gateway::RemoveLink(ServerLinkId aLink, Time aNow, GatewayActions& aOut)
{
  const auto found = links_.find(aLink);
  if (found == links_.end()) {
    return;
  }
  Link link = std::move(found->second);
  links_.erase(found);
  Server& server = servers_.at(link.server_);
  server.links_.erase(aLink);
  std::erase(server.idleLinks_, aLink);
  server.openingCount_ -= link.state_ == LinkState::Opening ? 1U : 0U;
  groupsToDispatch_.insert(server.info_.database());
  const auto work = work_.find(link.work_);
  const auto session = sessions_.find(link.session_);
  const bool owner =
    session != sessions_.end() && session->second.txLink_ == aLink;
  if (link.work_ != 0) {
    FreeSlot(link);
  }
  if (work == work_.end() || !work->second.links_.contains(aLink)) {
    if (owner) {
      AbortTransaction(link.session_, "connection lost", aNow, aOut);
    }
    return;
  }
  work->second.links_.erase(aLink);
  if (!work->second.links_.empty()) {
    return; // it also runs elsewhere
  }
  const bool sent = !link.hasNextCommand_;
  if (work->second.commitsData_ && sent) {
    FailWork(link.work_, SessionError::InDoubt, "connection lost", aNow, aOut);
  } else if (!owner) {
    // A read, or a transaction of which nothing is kept: it may run again.
    RetryOrFailWork(link.work_,
                    sent ? SessionError::Aborted : SessionError::Overloaded,
                    "connection lost",
                    aNow,
                    aOut);
  } else {
    FailWork(link.work_, SessionError::Aborted, "connection lost", aNow, aOut);
  }
}

void
Gateway::CloseLink(ServerLinkId aLink, GatewayActions& aOut)
{
  aOut.push_back(CloseServerLink{ aLink });
}

// The connection is no longer needed by its session.
void
Gateway::ReleaseLink(ServerLinkId aLink, Time aNow, GatewayActions& aOut)
{
  Link& link = links_.at(aLink);
  Server& server = servers_.at(link.server_);
  const bool pinned = link.state_ == LinkState::Pinned;
  link.session_ = 0;
  if (pinned) {
    link.state_ = LinkState::RollingBack;
    link.hasNextCommand_ = false;
    SendCommand(aLink, ServerCommand(CommandKind::Rollback), aNow, aOut);
    return;
  }
  link.state_ = LinkState::Idle;
  const Group& group = groups_.at(server.info_.database());
  if (server.info_.leaving() && group.primary_ != link.server_) {
    server.links_.erase(aLink);
    links_.erase(aLink);
    CloseLink(aLink, aOut);
    return;
  }
  server.idleLinks_.push_back(aLink);
  groupsToDispatch_.insert(server.info_.database());
}

// Connections that were not heard since a statement was sent that got no
// answer: what lost that one may have lost them all.
void
Gateway::CloseIdleLinks(const ServerId& aServer,
                        Time aSince,
                        GatewayActions& aOut)
{
  Server& server = servers_.at(aServer);
  const std::vector<ServerLinkId> idle = server.idleLinks_;
  for (const ServerLinkId id : idle) {
    if (links_.at(id).heardAt_ < aSince) {
      std::erase(server.idleLinks_, id);
      server.links_.erase(id);
      links_.erase(id);
      CloseLink(id, aOut);
    }
  }
}

// ---- 2. Answers

void
Gateway::RecordPoint(const Link& aLink, LogPoint aPoint, Time aNow)
{
  if (aPoint == LogPoint{}) {
    return;
  }
  Group& group = groups_.at(servers_.at(aLink.server_).info_.database());
  if (aLink.server_ != group.primary_) {
    group.log_.RecordReplicaPoint(aLink.server_, aNow, aPoint);
  } else if (aLink.sentLeaseTerm_ != 0 && aLink.sentLeaseTerm_ == group.term_) {
    group.log_.RecordPrimaryPoint(aLink.sentAt_, aPoint);
  }
}

void
Gateway::Handle(ServerLinkAnswered& aEvent, Time aNow, GatewayActions& aOut)
{
  const auto found = links_.find(aEvent.link_);
  if (found == links_.end() || found->second.unanswered_.empty()) {
    return;
  }
  Link& link = found->second;
  link.heardAt_ = aNow;
  Server& server = servers_.at(link.server_);
  RecordContact(server, aNow, aOut);
  RecordPoint(link, aEvent.answer_.point_, aNow);
  const CommandKind kind = link.unanswered_.front();
  link.unanswered_.pop_front();
  if (kind != CommandKind::Forward && kind != CommandKind::Execute) {
    HandleSetupAnswer(aEvent.link_, kind, aEvent.answer_, aNow, aOut);
    return;
  }
  const Duration took = aNow - link.sentAt_;
  server.serviceTime_ += (took - server.serviceTime_) / kSmoothing;
  FreeSlot(link);
  groupsToDispatch_.insert(server.info_.database());
  const WorkId work = std::exchange(link.work_, 0);
  const auto running = work_.find(work);
  const bool wanted =
    running != work_.end() && running->second.links_.contains(aEvent.link_);
  if (wanted) {
    FinishWork(work, aEvent.link_, std::move(aEvent.answer_), aNow, aOut);
    return;
  }
  // Its caller has been answered, or is gone.
  const auto session = sessions_.find(link.session_);
  const bool owner =
    session != sessions_.end() && session->second.txLink_ == aEvent.link_;
  if (!owner) {
    const bool rests = aEvent.answer_.state_ == TransactionState::Idle;
    link.state_ = rests ? LinkState::Running : LinkState::Pinned;
    ReleaseLink(aEvent.link_, aNow, aOut);
  }
}

void
Gateway::HandleSetupAnswer(ServerLinkId aLink,
                           CommandKind aKind,
                           const ServerAnswer& aAnswer,
                           Time aNow,
                           GatewayActions& aOut)
{
  Link& link = links_.at(aLink);
  if (link.state_ == LinkState::RollingBack) {
    if (!link.unanswered_.empty()) {
      return;
    }
    if (aAnswer.state_ != TransactionState::Idle) {
      SendCommand(aLink, ServerCommand(CommandKind::Rollback), aNow, aOut);
      return;
    }
    ReleaseLink(aLink, aNow, aOut);
    return;
  }
  if (!aAnswer.error_) {
    SendNextCommand(aLink, aNow, aOut);
    return;
  }
  // It does not carry what it should: nothing has run on it.
  const WorkId id = link.work_;
  const auto work = work_.find(id);
  const bool begins =
    aKind == CommandKind::Begin || aKind == CommandKind::BeginReadOnly;
  if (!begins || work == work_.end() || !link.unanswered_.empty()) {
    CloseLink(aLink, aOut);
    RemoveLink(aLink, aNow, aOut);
    return;
  }
  Server& server = servers_.at(link.server_);
  FreeSlot(link);
  link.work_ = 0;
  link.hasNextCommand_ = false;
  link.state_ = LinkState::Running;
  if (*aAnswer.error_ == SessionError::Behind) {
    counters_.serverBehind_++;
    groups_.at(server.info_.database())
      .log_.RecordReplicaBehind(link.server_, aNow, link.minPointAt_);
  }
  if (*aAnswer.error_ == SessionError::ReadOnly) {
    server.fullUntil_ = aNow + kFullPause;
  }
  const ServerId serverId = link.server_;
  ReleaseLink(aLink, aNow, aOut);
  work->second.links_.erase(aLink);
  if (*aAnswer.error_ == SessionError::Behind) {
    work->second.excludedServers_.insert(serverId);
  }
  RetryOrFailWork(id, *aAnswer.error_, aAnswer.errorText_, aNow, aOut);
}

void
Gateway::FinishWork(WorkId aId,
                    ServerLinkId aLink,
                    ServerAnswer aAnswer,
                    Time aNow,
                    GatewayActions& aOut)
{
  Work& work = work_.at(aId);
  Link& link = links_.at(aLink);
  const ServerId serverId = link.server_;
  Server& server = servers_.at(serverId);
  const auto found = sessions_.find(work.session_);
  if (found == sessions_.end()) {
    const bool rests = aAnswer.state_ == TransactionState::Idle;
    link.state_ = rests ? LinkState::Running : LinkState::Pinned;
    ReleaseLink(aLink, aNow, aOut);
    DropWork(aId);
    return;
  }
  Session& session = found->second;
  const bool inside = session.txState_ != TxState::None;
  const bool commits = work.statement_.kind_ == StatementKind::Commit;
  if (aAnswer.error_ == SessionError::Overloaded) {
    counters_.serverBusy_++;
    server.fullUntil_ = aNow + kFullPause;
  }
  if (inside && work.beginsTx_) {
    session.txLink_ = aLink;
    session.txState_ = TxState::Open;
    work.beginsTx_ = false;
  }
  const bool again = inside && aAnswer.error_ == SessionError::Overloaded &&
                     aAnswer.state_ == TransactionState::Open &&
                     aNow + kResendPause < work.deadline_;
  if (again) {
    work.links_.erase(aLink);
    work.resendAt_ = aNow + kResendPause;
    return;
  }
  if (!inside && aAnswer.error_) {
    const Time need = link.minPointAt_;
    const bool retry =
      IsNotRun(*aAnswer.error_) ||
      (work.repeatable_ && *aAnswer.error_ != SessionError::Other);
    const bool rests = aAnswer.state_ == TransactionState::Idle;
    link.state_ = rests ? LinkState::Running : LinkState::Pinned;
    if (*aAnswer.error_ == SessionError::NoStatement) {
      link.prepared_.clear();
    }
    ReleaseLink(aLink, aNow, aOut);
    work.links_.erase(aLink);
    if (*aAnswer.error_ == SessionError::Behind) {
      counters_.serverBehind_++;
      groups_.at(work.route_.group_)
        .log_.RecordReplicaBehind(serverId, aNow, need);
      work.excludedServers_.insert(serverId);
    }
    if (retry) {
      RetryOrFailWork(aId, *aAnswer.error_, aAnswer.errorText_, aNow, aOut);
    } else {
      FailWork(aId, *aAnswer.error_, aAnswer.errorText_, aNow, aOut);
    }
    return;
  }
  // An acknowledgement counts only while nobody else can be the primary.
  const bool leased =
    work.leaseTerm_ == 0 ||
    HoldsLease(groups_.at(work.route_.group_), work.leaseTerm_, aNow);
  SessionReply reply;
  reply.rows_ = std::move(aAnswer.rows_);
  reply.error_ = aAnswer.error_;
  reply.errorText_ = std::move(aAnswer.errorText_);
  reply.signature_ = std::move(aAnswer.signature_);
  if (!reply.error_ && work.commitsData_) {
    session.lastCommit_ = std::max(session.lastCommit_, aAnswer.point_);
    session.lastCommitAt_ = aNow;
  }
  const bool doubted = !reply.error_ && work.commitsData_ && !leased;
  if (commits) {
    session.txState_ = TxState::None;
    session.txLink_ = 0;
    session.txLeaseTerm_ = 0;
  } else if (inside && aAnswer.state_ != TransactionState::Open) {
    session.txState_ = TxState::Failed;
  }
  if (commits || !inside) {
    const bool rests = aAnswer.state_ == TransactionState::Idle;
    link.state_ = rests ? LinkState::Running : LinkState::Pinned;
    ReleaseLink(aLink, aNow, aOut);
  }
  work.links_.erase(aLink);
  if (doubted) {
    FailWork(aId, SessionError::InDoubt, "primary lease lost", aNow, aOut);
    return;
  }
  const SessionId sessionId = work.session_;
  if (work.queued_) {
    Dequeue(aId); // a second try was not needed
  }
  session.work_ = 0;
  session.txIdleSince_ = aNow;
  samples_.push_back({ work.route_.rank_,
                       reply.error_,
                       aNow - work.arrivedAt_,
                       work.firstSentAt_ - work.arrivedAt_ });
  if (reply.error_) {
    counters_.refused_++;
    aOut.push_back(WriteLogEvent{
      Event::StatementRefused,
      fmt::format("id={} session={} database={} by=server server={} error={} "
                  "total_ms={}",
                  work.statement_.id_,
                  sessionId,
                  work.route_.name_,
                  serverId,
                  NameOf(*reply.error_),
                  CountMs(aNow - work.arrivedAt_)) });
  } else {
    counters_.done_++;
    aOut.push_back(WriteLogEvent{
      Event::StatementDone,
      fmt::format("id={} session={} server={} point={}.{} term={} "
                  "attempts={} queued_ms={} total_ms={}",
                  work.statement_.id_,
                  sessionId,
                  serverId,
                  aAnswer.point_.term_,
                  aAnswer.point_.position_,
                  work.leaseTerm_,
                  work.attempts_,
                  CountMs(work.firstSentAt_ - work.arrivedAt_),
                  CountMs(aNow - work.arrivedAt_)) });
  }
  work_.erase(aId);
  Reply(sessionId, std::move(reply), aOut);
  RunPipelined(sessionId, aNow, aOut);
}

// ---- 3. The end of a statement

void
Gateway::DropWork(WorkId aId)
{
  if (work_.at(aId).queued_) {
    Dequeue(aId);
  }
  work_.erase(aId);
}

// It has not run, or may run again: it waits for another place as long as
// that makes sense.
void
Gateway::RetryOrFailWork(WorkId aId,
                         SessionError aError,
                         const std::string& aText,
                         Time aNow,
                         GatewayActions& aOut)
{
  Work& work = work_.at(aId);
  if (!sessions_.contains(work.session_)) {
    DropWork(aId);
    return;
  }
  if (!work.links_.empty() || work.queued_) {
    return; // it is still under way elsewhere
  }
  if (work.attempts_ >= kMaxAttempts || aNow >= work.deadline_) {
    const bool notRun = IsNotRun(aError);
    FailWork(
      aId, notRun ? SessionError::Overloaded : aError, aText, aNow, aOut);
    return;
  }
  counters_.retried_++;
  aOut.push_back(WriteLogEvent{
    Event::StatementRetried,
    fmt::format("id={} session={} error={} cause=\"{}\" attempt={} "
                "left_ms={}",
                work.statement_.id_,
                work.session_,
                NameOf(aError),
                aText,
                work.attempts_,
                CountMs(work.deadline_ - aNow)) });
  // One that has run may be late; one that has not is not held for longer.
  const Time most =
    IsNotRun(aError) ? work.waitForPrimaryUntil_ : work.deadline_;
  work.waitUntil_ = std::max(
    work.waitUntil_, std::min(most, aNow + work.route_.latencyTarget_ / 2));
  Enqueue(aId);
}

// Tells the caller at once that its statement is given up.
void
Gateway::FailWork(WorkId aId,
                  SessionError aError,
                  std::string aText,
                  Time aNow,
                  GatewayActions& aOut)
{
  Work work = std::move(work_.at(aId));
  if (work.queued_) {
    groups_.at(work.route_.group_)
      .queue_.erase({ work.route_.rank_, work.arrivedAt_, aId });
  }
  work_.erase(aId);
  const auto found = sessions_.find(work.session_);
  if (found == sessions_.end()) {
    return;
  }
  Session& session = found->second;
  session.work_ = 0;
  session.txIdleSince_ = aNow;
  const bool doubt = aError == SessionError::InDoubt;
  (doubt ? counters_.inDoubt_ : counters_.refused_)++;
  samples_.push_back({ work.route_.rank_,
                       aError,
                       aNow - work.arrivedAt_,
                       work.wasSent_ ? work.firstSentAt_ - work.arrivedAt_
                                     : aNow - work.arrivedAt_ });
  const Group& group = groups_.at(work.route_.group_);
  aOut.push_back(WriteLogEvent{
    doubt ? Event::StatementInDoubt : Event::StatementRefused,
    fmt::format("id={} session={} database={} by=jaydoor error={} cause=\"{}\" "
                "offered={} attempts={} total_ms={} waiting={} primary={} "
                "term={} leased={}",
                work.statement_.id_,
                work.session_,
                work.route_.name_,
                NameOf(aError),
                aText,
                work.wasSent_,
                work.attempts_,
                CountMs(aNow - work.arrivedAt_),
                group.queue_.size(),
                group.primary_,
                group.term_,
                HoldsLease(group, group.term_, aNow)) });
  const bool commits = work.statement_.kind_ == StatementKind::Commit;
  if (session.txState_ != TxState::None) {
    // What the transaction has at a server is rolled back with its connection.
    const ServerLinkId link = std::exchange(session.txLink_, 0);
    session.txLeaseTerm_ = 0;
    session.txState_ = commits ? TxState::None : TxState::Failed;
    if (links_.contains(link)) {
      links_.at(link).session_ = 0;
      if (links_.at(link).unanswered_.empty()) {
        ReleaseLink(link, aNow, aOut);
      } else {
        CloseLink(link, aOut);
        RemoveLink(link, aNow, aOut);
      }
    }
  }
  ReplyError(work.session_, aError, std::move(aText), aOut);
  RunPipelined(work.session_, aNow, aOut);
}

} // namespace jaydoor
