// Opens links to servers and sends statements over them, after the commands
// that give a link the session's values, the prepared statement and the
// transaction.

#include "gateway/Gateway.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

namespace jaydoor {
namespace {

// A link that holds more prepared statements is reset before its next use.
constexpr std::size_t kMaxPreparedPerLink = 128;

// Returns the name that a prepared statement has on servers. It depends only on
// the statement's text and on whether it writes, so that sessions with the same
// prepared statement share it.
std::string
MakePreparedName(bool aWrites, std::string_view aText)
{
  return fmt::format(
    "{}{:016x}", aWrites ? 'w' : 'r', XXH3_64bits(aText.data(), aText.size()));
}

} // namespace

void
Gateway::OpenLink(Server& aServer,
                  const OrganisationId& aOrganisation,
                  Time aNow,
                  GatewayActions& aOut)
{
  const ServerLinkId id = nextLink_++;
  Link& link = links_[id];
  link.server_ = aServer.info_.server();
  link.organisation_ = aOrganisation;
  link.openedAt_ = aNow;
  link.sentAt_ = aNow;
  link.heardAt_ = aNow;
  aServer.links_.insert(id);
  aServer.openingCount_++;
  counters_.linksOpened_++;
  aOut.push_back(
    OpenServerLink{ id,
                    aServer.info_.host(),
                    static_cast<std::uint16_t>(aServer.info_.port()),
                    aServer.info_.database(),
                    aServer.info_.server(),
                    aOrganisation });
}

void
Gateway::SendCommand(ServerLinkId aLink,
                     ServerCommand aCommand,
                     Time aNow,
                     GatewayActions& aOut)
{
  Link& link = links_.at(aLink);
  if (link.answers_.IsIdle()) {
    link.sentAt_ = aNow;
    const Group& group = groups_.at(servers_.at(link.server_).info_.database());
    const bool leased =
      group.primary_ == link.server_ && HoldsLease(group, group.term_, aNow);
    link.sentLeaseTerm_ = leased ? group.term_ : 0;
  }
  link.answers_.Expect({ aCommand.kind_, aCommand.endsTransaction_ });
  aOut.push_back(SendServerCommand{ aLink, std::move(aCommand) });
}

// Sends the commands that give the link the session's values and, for an
// Execute, the prepared statement. Returns true if none was needed.
bool
Gateway::SetUpLink(const Session& aSession,
                   const SessionStatement& aStatement,
                   ServerLinkId aLink,
                   Time aNow,
                   GatewayActions& aOut)
{
  Link& link = links_.at(aLink);
  const std::size_t sentBefore = link.answers_.CountUnanswered();
  const bool hasExtraValues =
    std::any_of(link.values_.begin(), link.values_.end(), [&](auto& aValue) {
      return !aSession.state_.Values().contains(aValue.first);
    });
  const bool inTransaction = aSession.txLink_ == aLink;
  if (!inTransaction &&
      (hasExtraValues || link.prepared_.size() > kMaxPreparedPerLink)) {
    SendCommand(aLink, ServerCommand(CommandKind::Reset), aNow, aOut);
    link.values_.clear();
    link.prepared_.clear();
  }
  for (const auto& [name, value] : aSession.state_.Values()) {
    const auto current = link.values_.find(name);
    if (current == link.values_.end() || current->second != value.digest_) {
      ServerCommand set(CommandKind::Set);
      set.name_ = name;
      set.argument_ = value.text_;
      SendCommand(aLink, std::move(set), aNow, aOut);
      link.values_[name] = value.digest_;
    }
  }
  if (aStatement.kind_ == StatementKind::Execute) {
    const auto& prepared = aSession.state_.Prepared().at(aStatement.name_);
    const std::string name = MakePreparedName(prepared.writes_, prepared.text_);
    if (link.prepared_.insert(name).second) {
      ServerCommand prepare(CommandKind::Prepare);
      prepare.name_ = name;
      prepare.argument_ = prepared.text_;
      prepare.writes_ = prepared.writes_;
      SendCommand(aLink, std::move(prepare), aNow, aOut);
    }
  }
  return link.answers_.CountUnanswered() == sentBefore;
}

// Returns the command that runs the statement on a server.
ServerCommand
Gateway::BuildCommand(const Session& aSession,
                      const SessionStatement& aStatement) const
{
  ServerCommand command;
  command.id_ = aStatement.id_;
  command.endsTransaction_ = aStatement.kind_ == StatementKind::Commit;
  if (aStatement.kind_ != StatementKind::Execute) {
    command.text_ = aStatement.text_;
    return command;
  }
  const auto& prepared = aSession.state_.Prepared().at(aStatement.name_);
  command.kind_ = CommandKind::Execute;
  command.name_ = MakePreparedName(prepared.writes_, prepared.text_);
  command.argument_ = aStatement.argument_;
  return command;
}

// Sends the statement over the link, after the commands that set up the link
// and begin the transaction where these are needed.
void
Gateway::SendWork(WorkId aId,
                  ServerLinkId aLink,
                  const ServerChoice& aChoice,
                  Time aNow,
                  GatewayActions& aOut)
{
  Work& work = work_.at(aId);
  Session& session = sessions_.at(work.session_);
  Link& link = links_.at(aLink);
  Server& server = servers_.at(link.server_);
  if (!link.holdsSlot_) {
    link.holdsSlot_ = true;
    server.runningCount_++;
  }
  if (!work.wasSent_) {
    work.wasSent_ = true;
    work.firstSentAt_ = aNow;
  }
  session.isCharged_ = false; // the token is spent
  work.attempts_++;
  work.links_.insert(aLink);
  const Group& group = groups_.at(work.route_.group_);
  if (work.beginsTx_) {
    link.state_ = LinkState::Pinned;
    session.txLeaseTerm_ = work.needsPrimary_ ? group.term_ : 0;
  } else if (session.txLink_ != aLink) {
    link.state_ = LinkState::Running;
  }
  work.leaseTerm_ = session.txLink_ == aLink ? session.txLeaseTerm_
                    : work.needsPrimary_     ? group.term_
                                             : 0;
  link.session_ = work.session_;
  link.work_ = aId;
  link.minPointAt_ = aChoice.minPointAt_;
  if (session.txLink_ != aLink) {
    (link.server_ == group.primary_ ? counters_.primaryReads_
                                    : counters_.replicaReads_)++;
  }
  SetUpLink(session, work.statement_, aLink, aNow, aOut);
  link.nextCommand_ = BuildCommand(session, work.statement_);
  link.hasNextCommand_ = true;
  if (work.beginsTx_) {
    ServerCommand begin(session.txReadOnly_ ? CommandKind::BeginReadOnly
                                            : CommandKind::Begin);
    begin.minPoint_ = aChoice.minPoint_;
    SendCommand(aLink, std::move(begin), aNow, aOut);
  } else if (session.txLink_ != aLink) {
    link.nextCommand_.minPoint_ = aChoice.minPoint_;
  }
  aOut.push_back(WriteLogEvent{
    Event::StatementRouted,
    fmt::format("id={} session={} server={} link={} since={}.{} attempt={} "
                "queued_ms={}",
                work.statement_.id_,
                work.session_,
                link.server_,
                aLink,
                aChoice.minPoint_.term_,
                aChoice.minPoint_.position_,
                work.attempts_,
                CountMs(aNow - work.arrivedAt_)) });
  SendNextCommand(aLink, aNow, aOut);
}

// Sends the link's next command if all earlier ones are answered.
void
Gateway::SendNextCommand(ServerLinkId aLink, Time aNow, GatewayActions& aOut)
{
  Link& link = links_.at(aLink);
  if (!link.hasNextCommand_ || !link.answers_.IsIdle()) {
    return;
  }
  link.hasNextCommand_ = false;
  if (MaySendNextCommand(aLink, aNow)) {
    SendCommand(aLink, std::move(link.nextCommand_), aNow, aOut);
  } else {
    TakeBackWork(aLink, aNow, aOut);
  }
}

// Returns false if, while the link was set up, the statement was given up, its
// server ceased to take new work, or the lease that the statement needs ran out
// or was revoked. Statements of a transaction that has begun are sent all the
// same.
bool
Gateway::MaySendNextCommand(ServerLinkId aLink, Time aNow) const
{
  const Link& link = links_.at(aLink);
  const auto work = work_.find(link.work_);
  if (work == work_.end()) {
    return false;
  }
  const auto session = sessions_.find(link.session_);
  if (session != sessions_.end() && session->second.txLink_ == aLink) {
    return true;
  }
  if (link.organisation_ != work->second.organisation_) {
    return false; // the session's organisation has changed
  }
  const Group& group = groups_.at(work->second.route_.group_);
  const std::uint64_t leaseTerm = work->second.leaseTerm_;
  const bool leased = leaseTerm == 0 || (!group.leaseDrainUntil_ &&
                                         HoldsLease(group, leaseTerm, aNow));
  return leased && MayTakeWork(servers_.at(link.server_), aNow);
}

// Sends a command after a statement, so that the order of the answers shows
// whether the statement has been answered. The session's values are set again
// before the next statement.
void
Gateway::SendProbe(ServerLinkId aLink, Time aNow, GatewayActions& aOut)
{
  Link& link = links_.at(aLink);
  SendCommand(aLink, ServerCommand(CommandKind::Reset), aNow, aOut);
  link.values_.clear();
  link.prepared_.clear();
}

// Releases a link whose statement has not been sent, and queues the statement
// again.
void
Gateway::TakeBackWork(ServerLinkId aLink, Time aNow, GatewayActions& aOut)
{
  Link& link = links_.at(aLink);
  const WorkId id = std::exchange(link.work_, 0);
  FreeSlot(link);
  ReleaseLink(aLink, aNow, aOut);
  const auto work = work_.find(id);
  if (work != work_.end()) {
    work->second.links_.erase(aLink);
    RetryOrFailWork(id,
                    SessionError::Overloaded,
                    "the server or its lease ended",
                    aNow,
                    aOut);
  }
}

} // namespace jaydoor
