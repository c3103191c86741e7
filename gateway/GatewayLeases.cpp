// Leases on primaries, on the side of the holder.
//
// While a lease is valid, no other server can have become the primary. It is
// checked when a statement is sent, and again before a write is acknowledged.
//
// When the leader revokes a lease, no new statements are sent under it, open
// transactions that run no statement are aborted, running statements have a
// short time to finish, and then the lease is released.

#include "gateway/Gateway.h"

#include <fmt/format.h>

namespace jaydoor {
namespace {

// Well below the duration of a lease.
constexpr Duration kLeaseRequestInterval = 150ms;
// While the lease on a primary is missing.
constexpr Duration kMissingLeaseRequestInterval = 50ms;
// Time in which running statements may finish after a revocation.
constexpr Duration kLeaseDrainTimeout = 250ms;
// A lease is not used in its last part: time passes between the check and the
// action that it permits.
constexpr Duration kLeaseMargin = 20ms;

} // namespace

// Returns true if this VM has a lease of this term that is valid for longer
// than the safety margin.
bool
Gateway::HoldsLease(const Group& aGroup, std::uint64_t aTerm, Time aNow) const
{
  return aTerm != 0 && aGroup.lease_.term_ == aTerm &&
         aNow + kLeaseMargin < aGroup.lease_.until_;
}

std::size_t
Gateway::CountLeases(Time aNow) const
{
  std::size_t count = 0;
  for (const auto& [name, group] : groups_) {
    count += HoldsLease(group, group.term_, aNow) ? 1U : 0U;
  }
  return count;
}

// Logs leases that have expired, releases revoked ones whose time is up, and
// requests leases from the leader at regular intervals.
void
Gateway::TickLeases(Time aNow, GatewayActions& aOut)
{
  bool leaseMissing = false;
  for (auto& [name, group] : groups_) {
    const bool isHeld = HoldsLease(group, group.term_, aNow);
    leaseMissing |= !group.servers_.empty() && !isHeld;
    if (group.heldLease_ && !isHeld && !group.changing_) {
      aOut.push_back(WriteLogEvent{ Event::LeaseLost,
                                    fmt::format("database={} server={} term={} "
                                                "granted_ms={}",
                                                name,
                                                group.lease_.server_,
                                                group.lease_.term_,
                                                CountMs(aNow - grantedAt_)) });
    }
    group.heldLease_ = isHeld;
    if (group.leaseDrainUntil_ && aNow >= *group.leaseDrainUntil_) {
      FinishRelease(name, aNow, aOut);
    }
  }
  if (aNow >= leaseRequestedAt_ + (leaseMissing ? kMissingLeaseRequestInterval
                                                : kLeaseRequestInterval)) {
    RequestLeases(aNow, aOut);
  }
}

void
Gateway::RequestLeases(Time aNow, GatewayActions& aOut)
{
  leaseRequestedAt_ = aNow;
  wire::LeaseRequest request;
  request.set_sent_us(aNow.time_since_epoch().count());
  request.set_incarnation(config_.incarnation_);
  request.set_held_list(grantedListId_);
  AddReports(request);
  ReportAvoidedServers(aNow, aOut);
  limiter_.AddReport(request, aNow);
  aOut.push_back(SendLeaseRequest{ std::move(request) });
}

void
Gateway::Handle(LeaseGrantReceived& aEvent, Time aNow, GatewayActions& aOut)
{
  wire::LeaseGrant& grant = aEvent.grant_;
  if (grant.incarnation() != config_.incarnation_) {
    return; // meant for an earlier run of this process
  }
  limiter_.ApplyGrant(grant, aNow);
  if (grant.unchanged() && grant.list_id() != grantedListId_) {
    return; // it renews a list that a later grant has replaced
  }
  if (!grant.unchanged()) {
    grantedLeases_.Swap(grant.mutable_leases());
    grantedListId_ = grant.list_id();
  }
  grantedAt_ = aNow;
  RecordViewProof(grant);
  RecordLeaderTime(grant, aNow);
  RecordOverload(grant, aNow);
  holders_ = std::max<std::size_t>(1, grant.holders());
  for (const auto& database : grant.doubted()) {
    groups_[database].doubtedAt_ = aNow;
  }
  RecordSharedPoints(grant);
  const Time requestedAt{ Duration(grant.sent_us()) };
  for (const auto& lease : grantedLeases_) {
    Group& group = groups_[lease.database()];
    // A grant that was requested before the release may still contain the
    // released lease.
    const bool isVoid =
      lease.term() <= group.releasedTerm_ && requestedAt <= group.releasedAt_;
    if (isVoid || group.leaseDrainUntil_) {
      continue;
    }
    const Time until = requestedAt + Duration(lease.duration_us());
    const bool wasMissing = !HoldsLease(group, lease.term(), aNow);
    const bool isNewer =
      lease.term() > group.lease_.term_ ||
      (lease.term() == group.lease_.term_ && until > group.lease_.until_);
    if (!isNewer) {
      continue;
    }
    group.lease_ = { lease.term(), lease.server(), until };
    if (wasMissing) {
      groupsToDispatch_.insert(lease.database());
      aOut.push_back(
        WriteLogEvent{ Event::LeaseGained,
                       fmt::format("database={} server={} term={} left_ms={}",
                                   lease.database(),
                                   lease.server(),
                                   lease.term(),
                                   CountMs(until - aNow)) });
    }
  }
}

void
Gateway::Handle(LeaseRevocationReceived& aEvent,
                Time aNow,
                GatewayActions& aOut)
{
  for (const auto& lease : aEvent.revoke_.leases()) {
    Group& group = groups_[lease.database()];
    if (lease.term() < group.term_ && lease.term() < group.lease_.term_) {
      continue; // a delayed message: that primary has been replaced
    }
    if (!group.leaseDrainUntil_) {
      aOut.push_back(WriteLogEvent{ Event::LeaseRevoked,
                                    fmt::format("database={} server={} term={}",
                                                lease.database(),
                                                lease.server(),
                                                lease.term()) });
      group.leaseDrainUntil_ = aNow + kLeaseDrainTimeout;
    }
    group.releasedTerm_ = std::max(group.releasedTerm_, lease.term());
    group.revocationId_ = aEvent.revoke_.leader_term();
    AbortLeasedTransactions(lease.database(), aNow, aOut);
    if (!IsLeaseUsed(lease.database(), group.releasedTerm_)) {
      FinishRelease(lease.database(), aNow, aOut);
    }
  }
}

// Returns true while a statement that was sent under a lease of this or an
// earlier term runs on a server.
bool
Gateway::IsLeaseUsed(const DatabaseId& aGroup, std::uint64_t aTerm) const
{
  for (const auto& [id, work] : work_) {
    const bool isInUse = work.route_.group_ == aGroup && work.leaseTerm_ != 0 &&
                         work.leaseTerm_ <= aTerm && !work.links_.empty();
    if (isInUse) {
      return true;
    }
  }
  return false;
}

// Aborts the group's transactions that run under a lease and have no statement
// under way.
void
Gateway::AbortLeasedTransactions(const DatabaseId& aGroup,
                                 Time aNow,
                                 GatewayActions& aOut)
{
  std::vector<SessionId> toAbort;
  for (const auto& [id, session] : sessions_) {
    const bool hasToAbort = session.txLink_ != 0 && session.txLeaseTerm_ != 0 &&
                            session.work_ == 0 &&
                            session.route_.group_ == aGroup;
    if (hasToAbort) {
      toAbort.push_back(id);
    }
  }
  for (const SessionId id : toAbort) {
    AbortTransaction(id, "change of primary", aNow, aOut);
  }
}

// Gives the lease back to the leader. From then on it is not used, even for
// statements that still run: their writes are answered as in doubt.
void
Gateway::FinishRelease(const DatabaseId& aGroup,
                       Time aNow,
                       GatewayActions& aOut)
{
  Group& group = groups_.at(aGroup);
  group.leaseDrainUntil_.reset();
  group.heldLease_ = false;
  group.releasedAt_ = aNow;
  wire::LeaseRelease release;
  release.set_incarnation(config_.incarnation_);
  release.set_leader_term(group.revocationId_);
  wire::PrimaryLease& lease = *release.add_leases();
  lease.set_database(aGroup);
  lease.set_server(group.lease_.server_);
  lease.set_term(group.releasedTerm_);
  if (group.lease_.term_ <= group.releasedTerm_) {
    group.lease_.until_ = Time{};
  }
  AbortLeasedTransactions(aGroup, aNow, aOut);
  aOut.push_back(
    WriteLogEvent{ Event::LeaseReleased,
                   fmt::format("database={} term={} still_running={}",
                               aGroup,
                               group.releasedTerm_,
                               IsLeaseUsed(aGroup, group.releasedTerm_)) });
  aOut.push_back(SendLeaseRelease{ std::move(release) });
}

} // namespace jaydoor
