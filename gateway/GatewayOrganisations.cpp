// Sessions and links to servers that belong to organisations.
//
// Sections:
//   1. Withdrawn keys
//   2. Links of organisations
//   3. Figures
//
// Section 1 ends the sessions whose key a new configuration does not list.
// Section 2 decides which link a statement uses, and whose link is closed in
// favour of another organisation's: see LinkPolicy.h for the rule.

#include "gateway/Gateway.h"

#include <algorithm>

#include <fmt/format.h>

namespace jaydoor {
namespace {

// Tells the caller of a statement whose session ends.
constexpr char kWithdrawnText[] =
  "the key is no longer valid: open a new session with another one";
constexpr char kMovedText[] =
  "the key belongs to another organisation now: open a new session";

std::string
GetEndingText(SessionError aError)
{
  return aError == SessionError::UnknownKey ? kWithdrawnText : kMovedText;
}

} // namespace

// ---- 1. Withdrawn keys

// Returns what the configuration says of the session. A key that was given to
// another organisation ends the session as well: it was opened for the former
// one. Its caller may open a new one.
Gateway::SessionAccess
Gateway::FindAccess(const Session& aSession) const
{
  if (!UsesOrganisations()) {
    return {};
  }
  const CatalogDatabase* route = catalog_->Find(aSession.database_);
  if (route != nullptr && route->public_) {
    return {};
  }
  const OrganisationId owner =
    catalog_->organisations_->FindByKey(aSession.key_);
  if (owner.empty()) {
    return { {}, SessionError::UnknownKey, "withdrawn" };
  }
  if (!aSession.organisation_.empty() && aSession.organisation_ != owner) {
    return { {}, SessionError::Overloaded, "moved" };
  }
  return { owner, {}, {} };
}

// Adopts the keys of a new configuration: ends sessions whose key it does not
// list, and changes the organisation of those whose database has become public
// or has ceased to be, or if organisations were not in use before.
void
Gateway::ApplyKeys(Time aNow, GatewayActions& aOut)
{
  struct Revoked
  {
    OrganisationId organisation_;
    std::string_view reason_;
    std::size_t sessions_ = 0;
    std::size_t running_ = 0; // sessions with a statement
  };
  std::map<KeyHash, Revoked> revoked;
  std::vector<std::pair<SessionId, SessionError>> ending;
  std::vector<std::pair<SessionId, OrganisationId>> changing;
  for (const auto& [id, session] : sessions_) {
    if (session.ending_) {
      continue;
    }
    const SessionAccess access = FindAccess(session);
    if (!access.refusal_) {
      if (access.organisation_ != session.organisation_) {
        changing.emplace_back(id, access.organisation_);
      }
      continue;
    }
    ending.emplace_back(id, *access.refusal_);
    Revoked& entry = revoked[session.key_];
    entry.organisation_ = session.organisation_;
    entry.reason_ = access.reason_;
    entry.sessions_++;
    entry.running_ += session.work_ != 0 ? 1U : 0U;
  }
  for (const auto& [key, entry] : revoked) {
    counters_.sessionsRevoked_ += entry.sessions_;
    aOut.push_back(WriteLogEvent{
      Event::KeyRevoked,
      fmt::format(
        "key={} organisation={} reason={} sessions={} with_statement={} "
        "catalog={}",
        MakeFingerprint(key),
        entry.organisation_,
        entry.reason_,
        entry.sessions_,
        entry.running_,
        catalog_->version_) });
  }
  for (const auto& [id, error] : ending) {
    BeginEnding(id, error, aNow, aOut);
  }
  for (const auto& [id, organisation] : changing) {
    ChangeOrganisation(id, organisation, aNow, aOut);
  }
  for (auto& [id, server] : servers_) {
    const std::vector<ServerLinkId> idle = server.idleLinks_;
    for (const ServerLinkId link : idle) {
      if (!IsServed(links_.at(link).organisation_)) {
        CloseIdleLink(server, link, aOut);
      }
    }
  }
}

// Lets the session belong to the organisation from now on. A statement that is
// set up on a link of another one is taken back when the link is ready. A
// transaction goes on only if the session has become public.
void
Gateway::ChangeOrganisation(SessionId aId,
                            const OrganisationId& aOrganisation,
                            Time aNow,
                            GatewayActions& aOut)
{
  Session& session = sessions_.at(aId);
  auto parked = MoveLimitCharge(aId, session, aOrganisation);
  session.organisation_ = aOrganisation;
  const auto work = work_.find(session.work_);
  if (work != work_.end()) {
    const bool isQueued = work->second.queued_;
    if (isQueued) {
      Dequeue(session.work_);
    }
    work->second.organisation_ = aOrganisation;
    if (isQueued) {
      Enqueue(session.work_); // counts it, or ceases to
    }
  } else if (HasForeignTransaction(session)) {
    AbortTransaction(aId, "change of organisation", aNow, aOut);
  }
  if (parked) {
    session.waitedSince_ = parked->arrivedAt_;
    RunStatement(aId, std::move(parked->statement_), aNow, aOut);
  }
}

// Returns true if the session's transaction is open on a link that was not
// opened for the session's organisation.
bool
Gateway::HasForeignTransaction(const Session& aSession) const
{
  const auto link = links_.find(aSession.txLink_);
  return !aSession.organisation_.empty() && link != links_.end() &&
         link->second.organisation_ != aSession.organisation_;
}

// Ends the session, at once or with the answer of the statement that runs. A
// statement that has not been sent to a server is refused.
void
Gateway::BeginEnding(SessionId aId,
                     SessionError aError,
                     Time aNow,
                     GatewayActions& aOut)
{
  Session& session = sessions_.at(aId);
  session.ending_ = aError;
  const auto found = work_.find(session.work_);
  if (found == work_.end()) {
    EndSession(aId, aNow, aOut);
    return;
  }
  const Work& work = found->second;
  const bool isSent = std::any_of(
    work.links_.begin(), work.links_.end(), [&](ServerLinkId aLink) {
      return !links_.at(aLink).hasNextCommand_;
    });
  if (!isSent) {
    // The session ends with it.
    counters_.statementsRevoked_++;
    FailWork(session.work_, aError, GetEndingText(aError), aNow, aOut);
  } else if (work.queued_) {
    Dequeue(session.work_); // it is not sent to a second server
  }
}

// Refuses the statements that wait for their turn, rolls the transaction back
// and closes the session.
void
Gateway::EndSession(SessionId aId, Time aNow, GatewayActions& aOut)
{
  Session& session = sessions_.at(aId);
  const SessionError error = session.ending_.value_or(SessionError::UnknownKey);
  if (session.txLink_ != 0) {
    AbortTransaction(aId, "key withdrawn", aNow, aOut);
  }
  if (IsParked(aId)) {
    counters_.statementsRevoked_++;
    ReplyError(aId, error, GetEndingText(error), aOut);
  }
  counters_.statementsRevoked_ += session.pipelined_.size();
  for (std::size_t i = 0; i < session.pipelined_.size(); i++) {
    ReplyError(aId, error, GetEndingText(error), aOut);
  }
  CloseSessionNow(aId, aNow, aOut);
}

bool
Gateway::IsEnding(SessionId aId) const
{
  const auto found = sessions_.find(aId);
  return found != sessions_.end() && found->second.ending_;
}

// Returns true if the machine was suspended, and the configuration has not been
// proven to be the newest one since: keys may have been withdrawn meanwhile.
bool
Gateway::AwaitsProof() const
{
  return UsesOrganisations() && viewProvenAt_ < resumedAt_;
}

// ---- 2. Links of organisations

bool
Gateway::UsesOrganisations() const
{
  return catalog_ && catalog_->organisations_;
}

// Returns true if statements may still run over links of the organisation.
// Empty stands for public databases and for all if organisations are not used.
bool
Gateway::IsServed(const OrganisationId& aOrganisation) const
{
  return aOrganisation.empty() ||
         (UsesOrganisations() &&
          catalog_->organisations_->Find(aOrganisation) != nullptr);
}

// Returns the number of links that are being opened for the organisation to
// servers of the group and are expected to open soon.
std::size_t
Gateway::CountOpening(const Group& aGroup,
                      const OrganisationId& aOrganisation,
                      Time aNow) const
{
  std::size_t count = 0;
  for (const auto& id : aGroup.servers_) {
    const Server& server = servers_.at(id);
    if (server.openingCount_ == 0) {
      continue;
    }
    count += static_cast<std::size_t>(std::count_if(
      server.links_.begin(), server.links_.end(), [&](ServerLinkId aId) {
        const Link& link = links_.at(aId);
        return link.state_ == LinkState::Opening &&
               link.organisation_ == aOrganisation &&
               aNow - link.openedAt_ < kMaxOpeningWait;
      }));
  }
  return count;
}

// Returns the least recently used idle link of another organisation that may be
// closed in favour of this one; 0 if there is none.
ServerLinkId
Gateway::FindReplaceableLink(const Server& aServer,
                             const Group& aGroup,
                             const OrganisationId& aOrganisation,
                             Time aNow) const
{
  const auto found = std::find_if(
    aServer.idleLinks_.begin(),
    aServer.idleLinks_.end(),
    [&](ServerLinkId aId) {
      const Link& link = links_.at(aId);
      return link.organisation_ != aOrganisation &&
             IsReplaceable(aGroup.waiting_.contains(link.organisation_),
                           aNow - link.readyAt_);
    });
  return found == aServer.idleLinks_.end() ? 0 : *found;
}

// Returns over which kind of link the statement can run on the server.
LinkVerdict
Gateway::FindLink(const Server& aServer, const Work& aWork, Time aNow) const
{
  const bool canOpen =
    aNow >= aServer.blockedUntil_ && aServer.openingCount_ < kMaxOpeningLinks;
  if (!UsesOrganisations() && !aServer.idleLinks_.empty()) {
    return LinkVerdict::Use; // the idle links of others were closed
  }
  if (!UsesOrganisations()) {
    return canOpen && MayOpenLink(aServer) ? LinkVerdict::Open
                                           : LinkVerdict::Wait;
  }
  const OrganisationId& own = aWork.organisation_;
  const Group& group = groups_.at(aWork.route_.group_);
  LinkSituation situation;
  situation.hasOwnIdle_ = std::any_of(
    aServer.idleLinks_.begin(),
    aServer.idleLinks_.end(),
    [&](ServerLinkId aId) { return links_.at(aId).organisation_ == own; });
  if (situation.hasOwnIdle_) {
    return LinkVerdict::Use;
  }
  situation.hasOwnRunning_ = std::any_of(
    aServer.links_.begin(), aServer.links_.end(), [&](ServerLinkId aId) {
      const Link& link = links_.at(aId);
      return link.organisation_ == own &&
             (link.state_ == LinkState::Running ||
              link.state_ == LinkState::RollingBack);
    });
  // An opening takes a slot of the server, as a statement does.
  situation.canOpen_ =
    canOpen &&
    static_cast<std::size_t>(aServer.runningCount_) + aServer.openingCount_ <
      SlotShare(aServer);
  situation.hasPlace_ = MayOpenLink(aServer);
  situation.ownOpening_ = CountOpening(group, own, aNow);
  const auto waiting = group.waiting_.find(own);
  situation.ownWaiting_ =
    (waiting == group.waiting_.end() ? 0 : waiting->second) +
    (aWork.isCounted_ ? 0 : 1); // a statement that is only explained
  situation.hasReplaceable_ =
    FindReplaceableLink(aServer, group, own, aNow) != 0;
  situation.waited_ = aNow - aWork.arrivedAt_;
  return DecideLink(situation);
}

// Opens a link for the statement's organisation, in the place of another one's
// if the verdict says so.
void
Gateway::OpenLinkFor(const Work& aWork,
                     Server& aServer,
                     LinkVerdict aVerdict,
                     Time aNow,
                     GatewayActions& aOut)
{
  if (aVerdict == LinkVerdict::Replace) {
    const Group& group = groups_.at(aWork.route_.group_);
    const ServerLinkId replaced =
      FindReplaceableLink(aServer, group, aWork.organisation_, aNow);
    counters_.linksReplaced_++;
    CloseIdleLink(aServer, replaced, aOut);
  }
  OpenLink(aServer, aWork.organisation_, aNow, aOut);
}

// Returns the organisation for which a link is opened that tests whether the
// server can be reached: one that can make use of the link.
OrganisationId
Gateway::FindTestOrganisation(const Server& aServer) const
{
  if (!UsesOrganisations()) {
    return {};
  }
  const auto group = groups_.find(aServer.info_.database());
  if (group != groups_.end() && !group->second.queue_.empty()) {
    const WorkId first = std::get<WorkId>(*group->second.queue_.begin());
    return work_.at(first).organisation_;
  }
  const auto used = std::find_if(
    aServer.links_.begin(), aServer.links_.end(), [&](ServerLinkId aId) {
      return IsServed(links_.at(aId).organisation_);
    });
  return used == aServer.links_.end() ? OrganisationId()
                                      : links_.at(*used).organisation_;
}

// ---- 3. Figures

std::map<OrganisationId, std::size_t>
Gateway::CountSessionsByOrganisation() const
{
  std::map<OrganisationId, std::size_t> counts;
  for (const auto& [id, session] : sessions_) {
    counts[session.organisation_]++;
  }
  return counts;
}

std::map<OrganisationId, std::size_t>
Gateway::CountLinksByOrganisation() const
{
  std::map<OrganisationId, std::size_t> counts;
  for (const auto& [id, link] : links_) {
    counts[link.organisation_]++;
  }
  return counts;
}

} // namespace jaydoor
