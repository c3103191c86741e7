// Handles links that open or are lost, and statements that end without success:
// they are sent again, or their callers are told the error.
//
// Sections:
//   1. Connections
//   2. The end of a statement

#include "gateway/Gateway.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace jaydoor {
namespace {

// Time without new statements after a server refused one for lack of capacity,
// or refused to begin a transaction because it was not the primary.
constexpr Duration kServerFullDelay = 15ms;
// Time without new connections after the first failed one. It doubles with each
// further failure, up to the maximum.
constexpr Duration kMinReconnectDelay = 50ms;
constexpr Duration kMaxReconnectDelay = 200ms;
// Time without new connections after a server refused one because of its
// connection limit.
constexpr Duration kConnectionLimitDelay = 60ms;
constexpr int kMaxAttempts = 6; // of one statement

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

// Sends no new statement to a server for a moment: it refused one.
void
Gateway::PauseServer(Server& aServer, Time aNow)
{
  aServer.fullUntil_ = aNow + kServerFullDelay;
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

// Closes a link of which it isn't known what its commands have done, as if it
// had been lost.
void
Gateway::DropLink(ServerLinkId aLink, Time aNow, GatewayActions& aOut)
{
  CloseLink(aLink, aOut);
  RemoveLink(aLink, aNow, aOut);
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
// transaction is rolled back before. Closed instead is a link to a server that
// takes no new work, of an organisation that is no longer served, or one that
// has had too many answers to remember.
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
  if (!MayTakeWork(server, aNow) || !IsServed(link.organisation_) ||
      link.answers_.IsFull()) {
    CloseIdleLink(server, aLink, aOut);
    return;
  }
  server.idleLinks_.push_back(aLink);
  groupsToDispatch_.insert(server.info_.database());
}

// Releases a link whose server has answered in this state.
void
Gateway::ReleaseLinkIn(TransactionState aState,
                       ServerLinkId aLink,
                       Time aNow,
                       GatewayActions& aOut)
{
  links_.at(aLink).state_ =
    aState == TransactionState::Idle ? LinkState::Running : LinkState::Pinned;
  ReleaseLink(aLink, aNow, aOut);
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

// ---- 2. The end of a statement

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
    PauseServer(servers_.at(aServer), aNow);
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
        DropLink(link, aNow, aOut);
      }
    }
  }
  ReplyError(work.session_, aError, std::move(aText), aOut);
  RunPipelined(work.session_, aNow, aOut);
}

} // namespace jaydoor
