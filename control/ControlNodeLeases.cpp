// The part of ControlNode that deals with leases on primaries, and with
// replacements of primaries where an outside service performs the promotion.

#include "control/ControlNode.h"

#include <algorithm>

#include <fmt/format.h>

namespace jaydoor {
namespace {

// Without a grant for this long there may be another leader: all voters are
// asked.
constexpr Duration kGrantTimeout = 350ms;
// Of these requests. At 100 VMs the interval is still the shortest one.
constexpr Duration kVoterQueryIntervalPerVm = 1500us;
constexpr Duration kMinVoterQueryInterval = 140ms;
constexpr Duration kMaxVoterQueryInterval = 2s;
// Without a grant for this long, the interval grows with each request.
constexpr Duration kVoterQueryBackoffDelay = 2s;
constexpr Duration kLeaseHolderTimeout = 30s; // longer than any lease
// Of the list that is sent with all grants.
constexpr Duration kSuspicionListInterval = 15ms;

} // namespace

// ---- As a holder of leases, for the traffic thread of this VM

void
ControlNode::Handle(LeasesRequested& aEvent, Time aNow, ControlActions& aOut)
{
  if (raft_ && raft_->IsLeader()) {
    GrantLeases(config_.self_.id(), aEvent.request_, aNow, aOut);
    return;
  }
  wire::ControlMessage message;
  *message.mutable_lease_request() = std::move(aEvent.request_);
  const VmId leader = LeaderVm();
  const bool isLeaderKnown = !leader.empty() && membership_.IsLive(leader);
  const bool isOverdue = aNow - grantReceivedAt_ >= kGrantTimeout;
  if ((isOverdue || !isLeaderKnown) && MayAskAllVoters(aNow)) {
    DescribeToLeader(aOut);
    SendToVoters(message, aOut);
  } else if (isLeaderKnown) {
    Send(leader, std::move(message), aOut);
  }
}

// Whether a request that the leader should answer may go to all voters. The
// time between two such requests grows with the fleet and with the number of
// them: if the leader is late because it has too much to do, requests to all
// voters would add to its work.
bool
ControlNode::MayAskAllVoters(Time aNow)
{
  if (aNow < nextVoterQueryAt_) {
    return false;
  }
  const auto vms = static_cast<Duration::rep>(membership_.CountLiveVms());
  const Duration first = std::clamp(kVoterQueryIntervalPerVm * vms,
                                    kMinVoterQueryInterval,
                                    kMaxVoterQueryInterval);
  const bool isRepeated = aNow - grantReceivedAt_ >= kVoterQueryBackoffDelay;
  voterQueryInterval_ = isRepeated
                          ? std::min(2 * std::max(first, voterQueryInterval_),
                                     kMaxVoterQueryInterval)
                          : first;
  // Requests come at fixed intervals, so the jitter only ever shortens.
  const auto jitter = voterQueryInterval_.count() / 4 + 1;
  nextVoterQueryAt_ = aNow + voterQueryInterval_ -
                      Duration(static_cast<Duration::rep>(
                        random_() % static_cast<std::uint64_t>(jitter)));
  return true;
}

void
ControlNode::Handle(LeasesReleased& aEvent, Time aNow, ControlActions& aOut)
{
  leases_.HandleRelease(config_.self_.id(), aEvent.release_);
  wire::ControlMessage message;
  *message.mutable_lease_release() = std::move(aEvent.release_);
  SendToLeader(message, aOut);
  TickPromotions(aNow, aOut);
}

// ---- As the leader, which grants leases

void
ControlNode::GrantLeases(const VmId& aHolder,
                         const wire::LeaseRequest& aRequest,
                         Time aNow,
                         ControlActions& aOut)
{
  if (!CanDecideAsLeader(aNow)) {
    return; // a later leader may have replaced a primary already
  }
  ResetLeases(aNow);
  auto grant = leases_.Grant(aHolder, aRequest, state_, aNow);
  if (!grant) {
    ProposeLeaseHolder(aHolder, aNow, aOut);
    return;
  }
  if (aNow - suspicionsListedAt_ >= kSuspicionListInterval) {
    suspicionsListedAt_ = aNow;
    suspectedDatabases_ = failover_.ListDatabasesWithSuspicion(state_, aNow);
  }
  for (const auto& database : suspectedDatabases_) {
    grant->add_doubted(database);
  }
  grant->set_applied(state_.Index());
  primaryPoints_.Record(aRequest, aNow);
  primaryPoints_.AddTo(aHolder, *grant, aNow);
  limitDivider_.Answer(aHolder, aRequest, *grant, aNow);
  overloadMonitor_.Record(aRequest, aNow);
  overloadMonitor_.AddTo(*grant, aNow);
  for (const auto& change : overloadMonitor_.TakeChanges()) {
    const wire::Upstream* server = state_.FindServer(change.server_);
    aOut.push_back(LogControlEvent{
      Event::ServerOverloaded,
      fmt::format("server={} database={} overloaded={} connections_scarce={}",
                  change.server_,
                  server == nullptr ? "-" : server->database(),
                  change.isOverloaded_,
                  change.areConnectionsScarce_) });
  }
  if (aHolder == config_.self_.id()) {
    aOut.push_back(DeliverLeaseGrant{ std::move(*grant) });
    return;
  }
  wire::ControlMessage message;
  *message.mutable_lease_grant() = std::move(*grant);
  Send(aHolder, std::move(message), aOut);
}

// Resets the lease table once in each leadership. This can't be done at the
// election: the holders are known only once everything that earlier leaders
// committed is applied, which is some time later.
void
ControlNode::ResetLeases(Time aNow)
{
  if (!leasesReset_) {
    leasesReset_ = true;
    leases_.Reset(state_, raft_->Term(), aNow);
    primaryPoints_.Reset(raft_->Term());
    overloadMonitor_.Reset();
    std::vector<VmId> holders;
    for (const auto& [vm, zone] : state_.LeaseHolders()) {
      holders.push_back(vm);
    }
    limitDivider_.Reset(holders, raft_->Term(), aNow);
  }
}

// Proposes to add a live VM to the holders in the control state, so that one of
// its next lease requests can be granted.
void
ControlNode::ProposeLeaseHolder(const VmId& aHolder,
                                Time aNow,
                                ControlActions& aOut)
{
  const wire::Vm* vm = membership_.Find(aHolder);
  if (vm == nullptr || !membership_.IsLive(aHolder)) {
    return;
  }
  // An entry of this leadership stays in the log, so it need not be repeated
  // before it is applied.
  std::uint64_t& proposedIndex = holderProposedIndexes_[aHolder];
  if (proposedIndex > state_.Index()) {
    counters_.proposalsMerged_++;
    return;
  }
  wire::Change change;
  change.mutable_holder()->set_vm(aHolder);
  change.mutable_holder()->set_zone(vm->zone());
  Propose(change, aNow, aOut);
  proposedIndex = raft_->LastIndex();
}

// Proposes to remove holders that have not been live for kLeaseHolderTimeout.
void
ControlNode::TickLeaseHolders(Time aNow, ControlActions& aOut)
{
  for (const auto& [vm, zone] : state_.LeaseHolders()) {
    Time& liveAt = holderLiveAt_.try_emplace(vm, aNow).first->second;
    if (membership_.IsLive(vm)) {
      liveAt = aNow;
      continue;
    }
    AddSeedById(vm);
    if (aNow - liveAt >= kLeaseHolderTimeout) {
      liveAt = aNow;
      wire::Change change;
      change.mutable_holder()->set_vm(vm);
      change.mutable_holder()->set_gone(true);
      Propose(change, aNow, aOut);
      return; // the proposal may have changed the list that is iterated over
    }
  }
}

// Asks the VMs that hold leases on these primaries to give them back, each of
// them by one message for all revocations of the same id. Leases that an
// earlier leader granted are revoked too.
void
ControlNode::RevokeLeases(const std::vector<DatabaseId>& aDatabases,
                          Time aNow,
                          ControlActions& aOut)
{
  std::map<std::pair<VmId, std::uint64_t>, wire::LeaseRevoke> revocations;
  for (const auto& name : aDatabases) {
    const wire::Database& database = state_.Databases().at(name);
    const std::vector<VmId> holders = leases_.ListHolders(name, aNow);
    aOut.push_back(
      LogControlEvent{ Event::LeaseRevoked,
                       fmt::format("database={} server={} term={} holders={}",
                                   name,
                                   database.primary(),
                                   database.primary_term(),
                                   holders.size()) });
    const std::uint64_t id = leases_.RevocationId(name);
    for (const auto& vm : holders) {
      wire::PrimaryLease& lease = *revocations[{ vm, id }].add_leases();
      lease.set_database(name);
      lease.set_server(database.primary());
      lease.set_term(database.primary_term());
    }
  }
  for (auto& [vmAndId, revoke] : revocations) {
    const auto& [vm, id] = vmAndId;
    revoke.set_leader_term(id);
    if (vm == config_.self_.id()) {
      aOut.push_back(DeliverLeaseRevocation{ std::move(revoke) });
    } else if (membership_.IsLive(vm)) {
      wire::ControlMessage message;
      *message.mutable_lease_revoke() = std::move(revoke);
      Send(vm, std::move(message), aOut);
    }
  }
}

// Handles a message about leases. Returns false, and does nothing, if the
// message has another subject.
bool
ControlNode::HandleLeaseMessage(const wire::ControlMessage& aMessage,
                                Time aNow,
                                ControlActions& aOut)
{
  switch (aMessage.body_case()) {
    case wire::ControlMessage::kLeaseRequest:
      GrantLeases(aMessage.from(), aMessage.lease_request(), aNow, aOut);
      return true;
    case wire::ControlMessage::kLeaseRelease:
      // The next tick sees whether it was the last one: all holders answer a
      // revocation at about the same time.
      leases_.HandleRelease(aMessage.from(), aMessage.lease_release());
      return true;
    case wire::ControlMessage::kLeaseGrant:
      grantReceivedAt_ = aNow;
      RecordGrantedIndex(aMessage.lease_grant().applied(), aNow);
      aOut.push_back(DeliverLeaseGrant{ aMessage.lease_grant() });
      return true;
    case wire::ControlMessage::kLeaseRevoke:
      aOut.push_back(DeliverLeaseRevocation{ aMessage.lease_revoke() });
      return true;
    default:
      return false;
  }
}

// ---- Replacements of primaries, as the leader

void
ControlNode::Handle(ServerStatusRequestCompleted& aEvent,
                    Time aNow,
                    ControlActions& aOut)
{
  failover_.HandleServerStatus(aEvent.callId_, aEvent.status_, aNow);
  TickPromotions(aNow, aOut);
}

void
ControlNode::Handle(PromotionRequestCompleted& aEvent,
                    Time aNow,
                    ControlActions& aOut)
{
  failover_.HandlePromotionAnswer(aEvent.callId_, aEvent.answer_, aNow);
  TickPromotions(aNow, aOut);
}

void
ControlNode::TickFailover(Time aNow, ControlActions& aOut)
{
  ResetLeases(aNow);
  TickLeaseHolders(aNow, aOut);
  failover_.Tick(state_, leases_, raft_->Term(), aNow);
  RevokeLeases(failover_.TakeRevocations(), aNow, aOut);
  for (auto& call : failover_.TakeStatusRequests()) {
    aOut.push_back(std::move(call));
  }
  for (auto& promotion : failover_.TakePromotionRequests()) {
    aOut.push_back(std::move(promotion));
  }
  for (auto& logEvent : failover_.TakeLogEvents()) {
    aOut.push_back(std::move(logEvent));
  }
  for (const auto& change : failover_.TakeProposals()) {
    Propose(change, aNow, aOut);
  }
}

} // namespace jaydoor
