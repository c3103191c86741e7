// Leases on primaries, as a holder.
//
// While a lease runs, no other server can have become the primary. It is
// checked when a statement is sent, and again before a write is acknowledged.
// When the leader wants it back, nothing new is sent, what runs may finish
// for a moment, open transactions are ended, and then it is given back.

#include "gateway/Gateway.h"

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr Duration kAskEvery = 150ms;    // far below a lease's length
constexpr Duration kAskSoon = 50ms;      // while a primary has no lease
constexpr Duration kReleaseWait = 250ms; // running statements may finish
constexpr Duration kLeaseMargin = 20ms;  // from a check to what it allows

} // namespace

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

void
Gateway::TickLeases(Time aNow, GatewayActions& aOut)
{
  bool missing = false;
  for (auto& [name, group] : groups_) {
    const bool holds = HoldsLease(group, group.term_, aNow);
    missing |= !group.servers_.empty() && !holds;
    if (group.heldLease_ && !holds && !group.changing_) {
      aOut.push_back(WriteLogEvent{ Event::LeaseLost,
                                    fmt::format("database={} server={} term={} "
                                                "granted_ms={}",
                                                name,
                                                group.lease_.server_,
                                                group.lease_.term_,
                                                CountMs(aNow - grantedAt_)) });
    }
    group.heldLease_ = holds;
    if (group.leaseDrainUntil_ && aNow >= *group.leaseDrainUntil_) {
      FinishRelease(name, aNow, aOut);
    }
  }
  if (aNow >= leaseRequestedAt_ + (missing ? kAskSoon : kAskEvery)) {
    leaseRequestedAt_ = aNow;
    wire::LeaseRequest request;
    request.set_sent_us(aNow.time_since_epoch().count());
    request.set_incarnation(config_.incarnation_);
    aOut.push_back(SendLeaseRequest{ std::move(request) });
  }
}

void
Gateway::Handle(LeaseGrantReceived& aEvent, Time aNow, GatewayActions& aOut)
{
  const wire::LeaseGrant& grant = aEvent.grant_;
  if (grant.incarnation() != config_.incarnation_) {
    return; // for a former run
  }
  grantedAt_ = aNow;
  holders_ = std::max<std::size_t>(1, grant.holders());
  for (const auto& database : grant.doubted()) {
    groups_[database].doubtedAt_ = aNow;
  }
  const Time askedAt{ Duration(grant.sent_us()) };
  for (const auto& lease : grant.leases()) {
    Group& group = groups_[lease.database()];
    // A grant that was asked for before a lease was given back is void.
    const bool isVoid =
      lease.term() <= group.releasedTerm_ && askedAt <= group.releasedAt_;
    if (isVoid || group.leaseDrainUntil_) {
      continue;
    }
    const Time until = askedAt + Duration(lease.duration_us());
    const bool gained = !HoldsLease(group, lease.term(), aNow);
    const bool newer =
      lease.term() > group.lease_.term_ ||
      (lease.term() == group.lease_.term_ && until > group.lease_.until_);
    if (!newer) {
      continue;
    }
    group.lease_ = { lease.term(), lease.server(), until };
    if (gained) {
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
      continue; // delayed: that primary is long replaced
    }
    if (!group.leaseDrainUntil_) {
      aOut.push_back(WriteLogEvent{ Event::LeaseRevoked,
                                    fmt::format("database={} server={} term={}",
                                                lease.database(),
                                                lease.server(),
                                                lease.term()) });
      group.leaseDrainUntil_ = aNow + kReleaseWait;
    }
    group.releasedTerm_ = std::max(group.releasedTerm_, lease.term());
    group.revokingLeaderTerm_ = aEvent.revoke_.leader_term();
    AbortLeasedTransactions(lease.database(), aNow, aOut);
    if (!IsLeaseUsed(lease.database(), group.releasedTerm_)) {
      FinishRelease(lease.database(), aNow, aOut);
    }
  }
}

// True while a write or a transaction that was sent under the lease runs.
bool
Gateway::IsLeaseUsed(const DatabaseId& aGroup, std::uint64_t aTerm) const
{
  for (const auto& [id, work] : work_) {
    const bool uses = work.route_.group_ == aGroup && work.leaseTerm_ != 0 &&
                      work.leaseTerm_ <= aTerm && !work.links_.empty();
    if (uses) {
      return true;
    }
  }
  return false;
}

void
Gateway::AbortLeasedTransactions(const DatabaseId& aGroup,
                                 Time aNow,
                                 GatewayActions& aOut)
{
  std::vector<SessionId> ended;
  for (const auto& [id, session] : sessions_) {
    const bool ends = session.txLink_ != 0 && session.txLeaseTerm_ != 0 &&
                      session.work_ == 0 && session.route_.group_ == aGroup;
    if (ends) {
      ended.push_back(id);
    }
  }
  for (const SessionId id : ended) {
    AbortTransaction(id, "change of primary", aNow, aOut);
  }
}

// From here on the lease counts for nothing, whatever still runs.
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
  release.set_leader_term(group.revokingLeaderTerm_);
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
