// Handles links that open or are lost, answers of servers, and the end of
// statements: completion, retry or failure.
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

// Time without new statements after a server refused one for lack of capacity,
// or refused to begin a transaction because it was not the primary.
constexpr Duration kServerFullDelay = 15ms;
// Delay before a statement that was refused inside a transaction is sent to the
// same server again: it can't run on another one.
constexpr Duration kResendDelay = 15ms;
// Delay before a probe is sent after an error that may be a repetition. By then
// the server's log is likely to have grown, which makes the probe's answer one
// that can't be a repetition. A statement that was refused waits as long
// anyway.
constexpr Duration kProbeDelay = kResendDelay;
// Time without new connections after the first failed one. It doubles with each
// further failure, up to the maximum.
constexpr Duration kMinReconnectDelay = 50ms;
constexpr Duration kMaxReconnectDelay = 200ms;
// Time without new connections after a server refused one because of its
// connection limit.
constexpr Duration kConnectionLimitDelay = 60ms;
constexpr int kMaxAttempts = 6; // of one statement

// Returns the error's name in log lines.
std::string_view
GetErrorName(SessionError aError)
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
    case SessionError::NoDatabase:
      return "no_database";
    case SessionError::UnknownKey:
      return "unknown_key";
    default:
      return "other";
  }
}

// Returns true if the error proves that the statement has not run.
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

// No longer counts the link's statement as running on its server.
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
  link.readyAt_ = aNow;
  Server& server = servers_.at(link.server_);
  server.openingCount_--;
  RecordContact(server, aNow, aOut);
  groupsToDispatch_.insert(server.info_.database());
  if (IsServed(link.organisation_)) {
    server.idleLinks_.push_back(aEvent.link_);
  } else {
    CloseIdleLink(server, aEvent.link_, aOut);
  }
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
    server.blockedUntil_ = aNow + kConnectionLimitDelay;
    server.idleLinkPolicy_.RecordScarcity(aNow);
    server.connectionLimitAt_ = aNow;
    server.answers_.set_connection_limit(true);
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
                  aEvent.error_ ? GetErrorName(*aEvent.error_)
                                : "connection could not be opened",
                  aOut);
  }
  RemoveLink(aEvent.link_, aNow, aOut);
}

// Records that the server has answered or a link to it has opened: it can be
// reached.
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

// Records that a link to the server could not be opened, and sets the time
// before which no further attempt is made.
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
  const Duration delay =
    kMinReconnectDelay * (1 << std::min(server.failures_ - 1, 3));
  server.blockedUntil_ = aNow + std::min(delay, kMaxReconnectDelay);
}

// Removes a link that has ended. Its statement is retried if it is safe to run
// again, and otherwise answered with an error.
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
  const bool ownsLink =
    session != sessions_.end() && session->second.txLink_ == aLink;
  if (link.work_ != 0) {
    FreeSlot(link);
  }
  if (work == work_.end() || !work->second.links_.contains(aLink)) {
    if (ownsLink) {
      AbortTransaction(link.session_, "connection lost", aNow, aOut);
    }
    return;
  }
  work->second.links_.erase(aLink);
  if (!work->second.links_.empty()) {
    return; // it also runs on another link
  }
  const bool wasSent = !link.hasNextCommand_;
  if (work->second.commitsData_ && wasSent) {
    FailWork(link.work_, SessionError::InDoubt, "connection lost", aNow, aOut);
  } else if (!ownsLink) {
    // A read, or the first statement of a transaction, of which the server
    // keeps nothing: it can run again.
    RetryOrFailWork(link.work_,
                    wasSent ? SessionError::Aborted : SessionError::Overloaded,
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

// Closes a link on which nothing runs.
void
Gateway::CloseIdleLink(Server& aServer,
                       ServerLinkId aLink,
                       GatewayActions& aOut)
{
  std::erase(aServer.idleLinks_, aLink);
  aServer.links_.erase(aLink);
  links_.erase(aLink);
  CloseLink(aLink, aOut);
}

// Returns a link that its session no longer needs to the idle links. An open
// transaction is rolled back before; a link to a server that takes no new work,
// or of an organisation that is no longer served, is closed instead.
void
Gateway::ReleaseLink(ServerLinkId aLink, Time aNow, GatewayActions& aOut)
{
  Link& link = links_.at(aLink);
  Server& server = servers_.at(link.server_);
  const bool wasPinned = link.state_ == LinkState::Pinned;
  link.session_ = 0;
  if (wasPinned) {
    link.state_ = LinkState::RollingBack;
    link.hasNextCommand_ = false;
    SendCommand(aLink, ServerCommand(CommandKind::Rollback), aNow, aOut);
    return;
  }
  link.state_ = LinkState::Idle;
  if (!MayTakeWork(server, aNow) || !IsServed(link.organisation_)) {
    CloseIdleLink(server, aLink, aOut);
    return;
  }
  server.idleLinks_.push_back(aLink);
  groupsToDispatch_.insert(server.info_.database());
}

// Closes the server's idle links on which nothing was received since `aSince`.
// If a statement got no answer, `aSince` is its send time: the fault that lost
// the answer may have broken these links too. Time::max() closes all of them.
void
Gateway::CloseIdleLinks(const ServerId& aServer,
                        Time aSince,
                        GatewayActions& aOut)
{
  Server& server = servers_.at(aServer);
  const std::vector<ServerLinkId> idle = server.idleLinks_;
  for (const ServerLinkId id : idle) {
    if (links_.at(id).heardAt_ < aSince) {
      CloseIdleLink(server, id, aOut);
    }
  }
}

// ---- 2. Answers

// Records the log point of an answer. A point of the primary counts only if
// this VM held the lease on it when the command was sent.
void
Gateway::RecordPoint(const Link& aLink, LogPoint aPoint, Time aNow)
{
  if (aPoint == LogPoint{}) {
    return;
  }
  const DatabaseId& name = servers_.at(aLink.server_).info_.database();
  Group& group = groups_.at(name);
  if (aLink.server_ != group.primary_) {
    group.log_.RecordReplicaPoint(aLink.server_, aNow, aPoint);
  } else if (aLink.sentLeaseTerm_ != 0 && aLink.sentLeaseTerm_ == group.term_) {
    ReportPrimaryPoint(name, aLink.sentAt_, aPoint);
    group.log_.RecordPrimaryPoint(aLink.sentAt_, aPoint);
  }
}

void
Gateway::Handle(ServerLinkAnswered& aEvent, Time aNow, GatewayActions& aOut)
{
  const auto found = links_.find(aEvent.link_);
  if (found == links_.end()) {
    return;
  }
  Link& link = found->second;
  const AnswerVerdict verdict = link.answers_.Check(aEvent.answer_);
  switch (verdict) {
    case AnswerVerdict::Matches:
    case AnswerVerdict::Confirmed:
      break;
    case AnswerVerdict::Repeated:
      ReportUnmatched(aEvent.link_, aEvent.answer_, verdict, aOut);
      link.answers_.Ignore(aEvent.answer_);
      return;
    case AnswerVerdict::Undecided:
      link.answers_.Ignore(aEvent.answer_);
      link.probeAt_ = aNow + kProbeDelay;
      return;
    case AnswerVerdict::Ambiguous:
      counters_.answersAmbiguous_++;
      HandleAmbiguousError(aEvent.link_, std::move(aEvent.answer_), aNow, aOut);
      return;
    case AnswerVerdict::Unexpected:
      // What its commands have done is as unknown as if it had broken.
      ReportUnmatched(aEvent.link_, aEvent.answer_, verdict, aOut);
      CloseLink(aEvent.link_, aOut);
      RemoveLink(aEvent.link_, aNow, aOut);
      return;
  }
  link.probeAt_.reset();
  link.heardAt_ = aNow;
  Server& server = servers_.at(link.server_);
  RecordContact(server, aNow, aOut);
  if (!aEvent.answer_.signature_.empty()) {
    // Any other answer may repeat an earlier one, with the point of that time.
    RecordPoint(link, aEvent.answer_.point_, aNow);
  }
  CommandKind kind{};
  if (verdict == AnswerVerdict::Confirmed) {
    std::tie(kind, aEvent.answer_) = link.answers_.AcceptHeld(aEvent.answer_);
  } else {
    kind = link.answers_.Accept(aEvent.answer_);
  }
  if (kind != CommandKind::Forward && kind != CommandKind::Execute) {
    HandleSetupAnswer(aEvent.link_, kind, aEvent.answer_, aNow, aOut);
    return;
  }
  RecordResponse(server, link, aEvent.answer_.error_, aNow);
  FreeSlot(link);
  groupsToDispatch_.insert(server.info_.database());
  const WorkId work = std::exchange(link.work_, 0);
  const auto running = work_.find(work);
  const bool isAwaited =
    running != work_.end() && running->second.links_.contains(aEvent.link_);
  if (isAwaited) {
    FinishWork(work, aEvent.link_, std::move(aEvent.answer_), aNow, aOut);
    return;
  }
  // The caller has been answered without this link, or its session has ended.
  const auto session = sessions_.find(link.session_);
  const bool ownsLink =
    session != sessions_.end() && session->second.txLink_ == aEvent.link_;
  if (!ownsLink) {
    const bool isIdle = aEvent.answer_.state_ == TransactionState::Idle;
    link.state_ = isIdle ? LinkState::Running : LinkState::Pinned;
    ReleaseLink(aEvent.link_, aNow, aOut);
  }
}

// Handles an error that may be the answer to the link's statement or to an
// earlier one. A read runs again elsewhere, whether it has run here or not; any
// other statement waits until it is known.
void
Gateway::HandleAmbiguousError(ServerLinkId aLink,
                              ServerAnswer aError,
                              Time aNow,
                              GatewayActions& aOut)
{
  Link& link = links_.at(aLink);
  link.probeAt_ = aNow + kProbeDelay;
  link.answers_.Hold(aError);
  const WorkId id = link.work_;
  const auto work = work_.find(id);
  const bool canRetry = work != work_.end() && work->second.repeatable_ &&
                        work->second.session_ != 0 &&
                        work->second.links_.contains(aLink);
  if (!canRetry) {
    return;
  }
  RecordResponse(servers_.at(link.server_), link, aError.error_, aNow);
  FreeSlot(link);
  link.work_ = 0;
  link.session_ = 0;
  work->second.links_.erase(aLink);
  RetryRefusedWork(id, link.server_, link.minPointAt_, aError, aNow, aOut);
}

// Logs and counts an answer that does not belong to the link's oldest
// unanswered command.
void
Gateway::ReportUnmatched(ServerLinkId aLink,
                         const ServerAnswer& aAnswer,
                         AnswerVerdict aVerdict,
                         GatewayActions& aOut)
{
  const Link& link = links_.at(aLink);
  (aVerdict == AnswerVerdict::Repeated ? counters_.answersRepeated_
                                       : counters_.answersUnexpected_)++;
  aOut.push_back(WriteLogEvent{
    Event::AnswerUnmatched,
    fmt::format("server={} link={} verdict={} unanswered={} signature={} "
                "error={} rows={} point={}.{}",
                link.server_,
                aLink,
                GetVerdictName(aVerdict),
                link.answers_.CountUnanswered(),
                aAnswer.signature_.empty() ? "-" : aAnswer.signature_,
                aAnswer.error_ ? GetErrorName(*aAnswer.error_) : "-",
                aAnswer.rows_.size(),
                aAnswer.point_.term_,
                aAnswer.point_.position_) });
}

// Handles the answer to a command other than the statement itself: setup of the
// link, begin or rollback.
void
Gateway::HandleSetupAnswer(ServerLinkId aLink,
                           CommandKind aKind,
                           const ServerAnswer& aAnswer,
                           Time aNow,
                           GatewayActions& aOut)
{
  Link& link = links_.at(aLink);
  if (link.state_ == LinkState::RollingBack) {
    if (!link.answers_.IsIdle()) {
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
  // The setup failed, so the statement has not been sent.
  const WorkId id = link.work_;
  const auto work = work_.find(id);
  const bool isBegin =
    aKind == CommandKind::Begin || aKind == CommandKind::BeginReadOnly;
  if (!isBegin || work == work_.end() || !link.answers_.IsIdle()) {
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
    server.fullUntil_ = aNow + kServerFullDelay;
  }
  const ServerId serverId = link.server_;
  ReleaseLink(aLink, aNow, aOut);
  work->second.links_.erase(aLink);
  if (*aAnswer.error_ == SessionError::Behind) {
    work->second.excludedServers_.insert(serverId);
  }
  RetryOrFailWork(id, *aAnswer.error_, aAnswer.errorText_, aNow, aOut);
}

// Handles the answer to the statement: replies to the caller, or sends the
// statement again if the error allows it.
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
  const auto found = sessions_.find(work.session_);
  if (found == sessions_.end()) {
    const bool isIdle = aAnswer.state_ == TransactionState::Idle;
    link.state_ = isIdle ? LinkState::Running : LinkState::Pinned;
    ReleaseLink(aLink, aNow, aOut);
    DropWork(aId);
    return;
  }
  Session& session = found->second;
  const bool inTransaction = session.txState_ != TxState::None;
  const bool isCommit = work.statement_.kind_ == StatementKind::Commit;
  if (inTransaction && aAnswer.error_ == SessionError::Overloaded) {
    counters_.serverBusy_++;
    servers_.at(serverId).fullUntil_ = aNow + kServerFullDelay;
  }
  if (inTransaction && work.beginsTx_) {
    session.txLink_ = aLink;
    session.txState_ = TxState::Open;
    work.beginsTx_ = false;
  }
  const bool resend = inTransaction &&
                      aAnswer.error_ == SessionError::Overloaded &&
                      aAnswer.state_ == TransactionState::Open &&
                      !session.ending_ && aNow + kResendDelay < work.deadline_;
  if (resend) {
    work.links_.erase(aLink);
    work.resendAt_ = aNow + kResendDelay;
    return;
  }
  if (!inTransaction && aAnswer.error_) {
    const Time minPointAt = link.minPointAt_;
    const bool isIdle = aAnswer.state_ == TransactionState::Idle;
    link.state_ = isIdle ? LinkState::Running : LinkState::Pinned;
    if (*aAnswer.error_ == SessionError::NoStatement) {
      link.prepared_.clear();
    }
    ReleaseLink(aLink, aNow, aOut);
    work.links_.erase(aLink);
    RetryRefusedWork(aId, serverId, minPointAt, aAnswer, aNow, aOut);
    return;
  }
  // A write is acknowledged only under a valid lease: without it, another
  // server may already be the primary, and the outcome is in doubt.
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
  const bool inDoubt = !reply.error_ && work.commitsData_ && !leased;
  if (isCommit) {
    session.txState_ = TxState::None;
    session.txLink_ = 0;
    session.txLeaseTerm_ = 0;
  } else if (inTransaction && aAnswer.state_ != TransactionState::Open) {
    session.txState_ = TxState::Failed;
  }
  if (isCommit || !inTransaction) {
    const bool isIdle = aAnswer.state_ == TransactionState::Idle;
    link.state_ = isIdle ? LinkState::Running : LinkState::Pinned;
    ReleaseLink(aLink, aNow, aOut);
  }
  work.links_.erase(aLink);
  if (inDoubt) {
    FailWork(aId, SessionError::InDoubt, "primary lease lost", aNow, aOut);
    return;
  }
  const SessionId sessionId = work.session_;
  if (work.queued_) {
    Dequeue(aId); // was queued for a second server
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
                  GetErrorName(*reply.error_),
                  CountMs(aNow - work.arrivedAt_)) });
  } else {
    counters_.done_++;
    aOut.push_back(WriteLogEvent{
      Event::StatementDone,
      fmt::format("id={} session={} server={} link={} signature={} "
                  "point={}.{} term={} attempts={} queued_ms={} total_ms={}",
                  work.statement_.id_,
                  sessionId,
                  serverId,
                  aLink,
                  reply.signature_,
                  aAnswer.point_.term_,
                  aAnswer.point_.position_,
                  work.leaseTerm_,
                  work.attempts_,
                  CountMs(work.firstSentAt_ - work.arrivedAt_),
                  CountMs(aNow - work.arrivedAt_)) });
  }
  work_.erase(aId);
  Reply(sessionId, std::move(reply), aOut);
  if (HasForeignTransaction(session)) {
    AbortTransaction(sessionId, "change of organisation", aNow, aOut);
  }
  RunPipelined(sessionId, aNow, aOut);
}

// ---- 3. The end of a statement

// Handles the error of a statement outside a transaction, which no longer runs
// on the server.
void
Gateway::RetryRefusedWork(WorkId aId,
                          const ServerId& aServer,
                          Time aMinPointAt,
                          const ServerAnswer& aAnswer,
                          Time aNow,
                          GatewayActions& aOut)
{
  Work& work = work_.at(aId);
  const SessionError error = *aAnswer.error_;
  if (error == SessionError::Overloaded) {
    counters_.serverBusy_++;
    servers_.at(aServer).fullUntil_ = aNow + kServerFullDelay;
  }
  if (error == SessionError::Behind) {
    counters_.serverBehind_++;
    groups_.at(work.route_.group_)
      .log_.RecordReplicaBehind(aServer, aNow, aMinPointAt);
    work.excludedServers_.insert(aServer);
  }
  const bool canRetry =
    IsNotRun(error) || (work.repeatable_ && error != SessionError::Other);
  if (canRetry) {
    RetryOrFailWork(aId, error, aAnswer.errorText_, aNow, aOut);
  } else {
    FailWork(aId, error, aAnswer.errorText_, aNow, aOut);
  }
}

// Removes a statement whose session has ended.
void
Gateway::DropWork(WorkId aId)
{
  if (work_.at(aId).queued_) {
    Dequeue(aId);
  }
  work_.erase(aId);
}

// Queues a statement again that has not run or can safely run again. After
// kMaxAttempts attempts, or past its deadline, the caller is told the error.
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
    return; // it runs on another link as well, or is queued
  }
  if (IsEnding(work.session_)) {
    const SessionError error = *sessions_.at(work.session_).ending_;
    FailWork(aId, IsNotRun(aError) ? error : aError, aText, aNow, aOut);
    return;
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
                GetErrorName(aError),
                aText,
                work.attempts_,
                CountMs(work.deadline_ - aNow)) });
  // A statement that may have run can wait until its deadline. One that has not
  // run is refused earlier, while its caller can still try another VM.
  const Time latest =
    IsNotRun(aError) ? work.waitForPrimaryUntil_ : work.deadline_;
  work.waitUntil_ = std::max(
    work.waitUntil_, std::min(latest, aNow + work.route_.latencyTarget_ / 2));
  Enqueue(aId);
}

// Gives the statement up and tells the caller the error. An open transaction is
// rolled back with it.
void
Gateway::FailWork(WorkId aId,
                  SessionError aError,
                  std::string aText,
                  Time aNow,
                  GatewayActions& aOut)
{
  if (work_.at(aId).queued_) {
    Dequeue(aId);
  }
  Work work = std::move(work_.at(aId));
  work_.erase(aId);
  const auto found = sessions_.find(work.session_);
  if (found == sessions_.end()) {
    return;
  }
  Session& session = found->second;
  session.work_ = 0;
  session.txIdleSince_ = aNow;
  const bool inDoubt = aError == SessionError::InDoubt;
  (inDoubt ? counters_.inDoubt_ : counters_.refused_)++;
  samples_.push_back({ work.route_.rank_,
                       aError,
                       aNow - work.arrivedAt_,
                       work.wasSent_ ? work.firstSentAt_ - work.arrivedAt_
                                     : aNow - work.arrivedAt_ });
  const Group& group = groups_.at(work.route_.group_);
  aOut.push_back(WriteLogEvent{
    inDoubt ? Event::StatementInDoubt : Event::StatementRefused,
    fmt::format("id={} session={} database={} by=jaydoor error={} cause=\"{}\" "
                "offered={} attempts={} total_ms={} waiting={} primary={} "
                "term={} leased={}",
                work.statement_.id_,
                work.session_,
                work.route_.name_,
                GetErrorName(aError),
                aText,
                work.wasSent_,
                work.attempts_,
                CountMs(aNow - work.arrivedAt_),
                group.queue_.size(),
                group.primary_,
                group.term_,
                HoldsLease(group, group.term_, aNow)) });
  const bool isCommit = work.statement_.kind_ == StatementKind::Commit;
  if (session.txState_ != TxState::None) {
    // The server rolls back what the transaction has done there.
    const ServerLinkId link = std::exchange(session.txLink_, 0);
    session.txLeaseTerm_ = 0;
    session.txState_ = isCommit ? TxState::None : TxState::Failed;
    if (links_.contains(link)) {
      links_.at(link).session_ = 0;
      if (links_.at(link).answers_.IsIdle()) {
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
