// Servers that leave the fleet: how long they get new statements.
//
// A server that leaves serves for a limited time after it has said so, and the
// VMs learn of it at different times. Each VM therefore keeps for each server
// when it was last proven to stay: a lease grant names the control log index
// that the leader had applied after the grant was requested, so a fleet view of
// that index shows every server that had left by then. The limit counts from
// there, whatever else is wrong with the server's group.

#include "gateway/Gateway.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace jaydoor {
namespace {

// Proofs that wait for a view. One is added each time the control log grows.
constexpr std::size_t kMaxViewProofs = 64;
// A refusal may rest on a view that was proven within this time. Proofs arrive
// every 150 ms; a configuration that was acknowledged 4.4 s before was once
// missing from the view of a VM that had lost touch with the leader.
constexpr Duration kMaxRecentViewAge = 2s;

} // namespace

// ---- How recent the fleet view is

// The leader had applied the grant's index after the request was sent.
void
Gateway::RecordViewProof(const wire::LeaseGrant& aGrant)
{
  const Time requestedAt{ Duration(aGrant.sent_us()) };
  if (!viewProofs_.empty() && aGrant.applied() <= viewProofs_.back().index_) {
    if (aGrant.applied() == viewProofs_.back().index_) {
      viewProofs_.back().lastAt_ =
        std::max(viewProofs_.back().lastAt_, requestedAt);
    }
  } else if (viewProofs_.size() < kMaxViewProofs) {
    viewProofs_.push_back({ aGrant.applied(), requestedAt, requestedAt });
  }
  ApplyViewProofs();
}

// Servers that are not leaving by the view were not when the newest of the
// requests was sent that the view answers.
void
Gateway::ApplyViewProofs()
{
  std::optional<Time> provenAt;
  while (view_ && !viewProofs_.empty() &&
         viewProofs_.front().index_ <= view_->index_) {
    provenAt = viewProofs_.front().lastAt_;
    viewProofs_.pop_front();
  }
  if (!provenAt) {
    return;
  }
  viewProvenAt_ = std::max(viewProvenAt_, *provenAt);
  for (auto& [id, server] : servers_) {
    if (!server.isGone_ && !server.info_.leaving()) {
      server.stayingAt_ = std::max(server.stayingAt_, *provenAt);
    }
  }
}

// Returns true if the leader has named an index of the control log for too long
// that the view has not reached: servers may have left meanwhile.
bool
Gateway::IsViewOutdated(Time aNow) const
{
  return !viewProofs_.empty() &&
         aNow - viewProofs_.front().firstAt_ >= config_.leavingServerLimit_;
}

// Returns true if the view, and the configuration with it, was the newest one a
// short time ago. What it lacks is then known not to exist.
bool
Gateway::IsViewRecent(Time aNow) const
{
  return viewProvenAt_ != Time{} && aNow - viewProvenAt_ <= kMaxRecentViewAge;
}

// ---- Which servers take new work

// Returns true if the server may be sent new statements. One that is leaving
// may for a limited time, which counts from when it was last known to stay:
// news of it may be late, and a VM that was started since does not know when it
// began.
bool
Gateway::MayTakeWork(const Server& aServer, Time aNow) const
{
  if (aServer.isGone_ || IsViewOutdated(aNow)) {
    return false;
  }
  return !aServer.info_.leaving() ||
         aNow < aServer.stayingAt_ + config_.leavingServerLimit_;
}

bool
Gateway::IsRetired(const Server& aServer, Time aNow) const
{
  return aServer.info_.leaving() && !MayTakeWork(aServer, aNow);
}

// Returns which statements the group can't run, now or soon. While its primary
// may not take work and no other is being promoted, those that need a primary:
// a change of primary takes longer than statements can wait.
Gateway::Outage
Gateway::FindOutage(const Group& aGroup, Time aNow) const
{
  const bool noServer = std::none_of(
    aGroup.servers_.begin(), aGroup.servers_.end(), [&](const ServerId& aId) {
      return MayTakeWork(servers_.at(aId), aNow);
    });
  if (noServer) {
    return Outage::Full;
  }
  const Server* primary = FindServer(aGroup.primary_);
  const bool isPrimaryRetired = primary != nullptr && !primary->isGone_ &&
                                !aGroup.changing_ && IsRetired(*primary, aNow);
  return isPrimaryRetired ? Outage::Primary : Outage::None;
}

// Closes the idle links to servers that are leaving and take no new work any
// more.
void
Gateway::TickLeavingServers(Time aNow, GatewayActions& aOut)
{
  for (auto& [id, server] : servers_) {
    const bool isRetired = IsRetired(server, aNow);
    if (isRetired && !server.wasRetired_) {
      const auto group = groups_.find(server.info_.database());
      const bool isPrimary =
        group != groups_.end() && group->second.primary_ == id;
      aOut.push_back(WriteLogEvent{
        Event::ServerRetired,
        fmt::format(
          "server={} database={} primary={} staying_ms={} links={}",
          id,
          server.info_.database(),
          isPrimary,
          server.stayingAt_ == Time{} ? -1 : CountMs(aNow - server.stayingAt_),
          server.links_.size()) });
      CloseIdleLinks(id, Time::max(), aOut);
    }
    server.wasRetired_ = isRetired;
  }
}

// Queues the first statement of a transaction again, to begin the transaction
// anew. The server on which it is open has refused the statement.
void
Gateway::RestartTransaction(WorkId aId, Time aNow, GatewayActions& aOut)
{
  Work& work = work_.at(aId);
  Session& session = sessions_.at(work.session_);
  const ServerLinkId link = std::exchange(session.txLink_, 0);
  session.txLeaseTerm_ = 0;
  session.txState_ = TxState::Begun;
  work.beginsTx_ = true;
  ReleaseLink(link, aNow, aOut);
  RetryOrFailWork(
    aId, SessionError::Overloaded, "the server is leaving", aNow, aOut);
}

} // namespace jaydoor
