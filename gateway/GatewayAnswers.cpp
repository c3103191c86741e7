// Handles answers of servers: to the commands that set up a link, and to
// statements, which succeed, are sent again or fail.

#include "gateway/Gateway.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <fmt/format.h>

namespace jaydoor {
namespace {

// Delay before a statement that was refused inside a transaction is sent to the
// same server again: it can't run on another one.
constexpr Duration kResendDelay = 15ms;
// Delay before a probe is sent after an error that may be a repetition. By then
// the server's log is likely to have grown, which makes the probe's answer one
// that can't be a repetition. A statement that was refused waits as long
// anyway.
constexpr Duration kProbeDelay = kResendDelay;

} // namespace

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
      HandleAmbiguousError(aEvent.link_, aEvent.answer_, aNow, aOut);
      return;
    case AnswerVerdict::Unproven:
      counters_.answersUnproven_++;
      DropUnprovenLink(aEvent.link_, aEvent.answer_, aNow, aOut);
      return;
    case AnswerVerdict::Unexpected:
      ReportUnmatched(aEvent.link_, aEvent.answer_, verdict, aOut);
      DropLink(aEvent.link_, aNow, aOut);
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
  if (!RunsStatement(kind)) {
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
    ReleaseLinkIn(aEvent.answer_.state_, aEvent.link_, aNow, aOut);
  }
}

// Closes a link on an answer that may belong to the oldest command or to an
// earlier one. If that command begins a transaction, its statement has not been
// sent: that does not count as an attempt, and a refusal is taken for one.
void
Gateway::DropUnprovenLink(ServerLinkId aLink,
                          const ServerAnswer& aAnswer,
                          Time aNow,
                          GatewayActions& aOut)
{
  const Link& link = links_.at(aLink);
  const auto work = work_.find(link.work_);
  if (work != work_.end() && link.hasNextCommand_) {
    work->second.attempts_ -= aAnswer.error_ ? 0 : 1;
    if (aAnswer.error_) {
      RecordRefusedBegin(link, *aAnswer.error_, aNow);
    }
  }
  DropLink(aLink, aNow, aOut);
}

// Records that the link's server has refused to begin the transaction of the
// link's statement.
void
Gateway::RecordRefusedBegin(const Link& aLink, SessionError aError, Time aNow)
{
  Server& server = servers_.at(aLink.server_);
  if (aError == SessionError::Behind) {
    counters_.serverBehind_++;
    groups_.at(server.info_.database())
      .log_.RecordReplicaBehind(aLink.server_, aNow, aLink.minPointAt_);
    work_.at(aLink.work_).excludedServers_.insert(aLink.server_);
  }
  if (aError == SessionError::ReadOnly) {
    PauseServer(server, aNow);
  }
}

// Handles an error that may be the answer to the link's statement or to an
// earlier one. A read runs again elsewhere, whether it has run here or not; any
// other statement waits until it is known.
void
Gateway::HandleAmbiguousError(ServerLinkId aLink,
                              const ServerAnswer& aError,
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
  const ServerId server = link.server_;
  RetryRefusedWork(id, server, link.minPointAt_, aError, aNow, aOut);
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
  const WorkId id = link.work_;
  const auto work = work_.find(id);
  if (link.state_ == LinkState::RollingBack) {
    if (aAnswer.error_) {
      DropLink(aLink, aNow, aOut);
      return;
    }
    if (!link.answers_.IsIdle()) {
      return;
    }
    // A statement of the session that has ended may not have been sent.
    FreeSlot(link);
    link.work_ = 0;
    link.hasNextCommand_ = false;
    if (work != work_.end() && work->second.session_ == 0) {
      DropWork(id);
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
  if (!BeginsTransaction(aKind) || !IsNotRun(*aAnswer.error_) ||
      work == work_.end() || !link.answers_.IsIdle()) {
    DropLink(aLink, aNow, aOut);
    return;
  }
  RecordRefusedBegin(link, *aAnswer.error_, aNow);
  FreeSlot(link);
  link.work_ = 0;
  link.hasNextCommand_ = false;
  link.state_ = LinkState::Running;
  ReleaseLink(aLink, aNow, aOut);
  work->second.links_.erase(aLink);
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
    ReleaseLinkIn(aAnswer.state_, aLink, aNow, aOut);
    DropWork(aId);
    return;
  }
  Session& session = found->second;
  const bool inTransaction = session.txState_ != TxState::None;
  const bool isCommit = work.statement_.kind_ == StatementKind::Commit;
  if (inTransaction && aAnswer.error_ == SessionError::Overloaded) {
    counters_.serverBusy_++;
    PauseServer(servers_.at(serverId), aNow);
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
    if (*aAnswer.error_ == SessionError::NoStatement) {
      link.prepared_.clear();
    }
    ReleaseLinkIn(aAnswer.state_, aLink, aNow, aOut);
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
    ReleaseLinkIn(aAnswer.state_, aLink, aNow, aOut);
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

} // namespace jaydoor
