#include "control/LeaseTable.h"

#include <algorithm>
#include <array>

#include <xxhash.h>

namespace jaydoor {
namespace {

// True if the database has no primary, or its primary is being replaced.
bool
IsPrimaryChanging(const wire::Database& aDatabase)
{
  return aDatabase.primary().empty() || !aDatabase.intended_primary().empty();
}

// Returns a hash of the list of leases that differs from kNoLeaseList.
std::uint64_t
HashLeases(const wire::LeaseGrant& aGrant)
{
  std::uint64_t hash = 1;
  for (const auto& lease : aGrant.leases()) {
    hash = XXH3_64bits_withSeed(
      lease.database().data(), lease.database().size(), hash);
    hash =
      XXH3_64bits_withSeed(lease.server().data(), lease.server().size(), hash);
    const std::array<std::uint64_t, 2> numbers{
      lease.term(), static_cast<std::uint64_t>(lease.duration_us())
    };
    hash = XXH3_64bits_withSeed(numbers.data(), sizeof(numbers), hash);
  }
  return hash == kNoLeaseList ? 1 : hash;
}

} // namespace

LeaseTable::LeaseTable(LeaseTiming aTiming)
  : timing_(aTiming)
{
}

// A primary that is no longer known may be in any zone, so its leases get the
// longer duration.
Duration
LeaseTable::LeaseDuration(const ZoneId& aHolderZone,
                          const wire::Database& aDatabase,
                          const ControlState& aState) const
{
  const wire::Upstream* primary = aState.FindServer(aDatabase.primary());
  const bool inSameZone = primary != nullptr && primary->zone() == aHolderZone;
  return inSameZone ? timing_.inZoneDuration_ : timing_.crossZoneDuration_;
}

void
LeaseTable::Reset(const ControlState& aState, std::uint64_t aTerm, Time aNow)
{
  leaderTerm_ = aTerm;
  holders_.clear();
  fencedTerms_.clear();
  for (const auto& [vm, zone] : aState.LeaseHolders()) {
    Holder& holder = holders_[vm];
    for (const auto& [name, database] : aState.Databases()) {
      holder.leases_[name] = { database.primary_term(),
                               aNow + LeaseDuration(zone, database, aState) +
                                 timing_.clockMargin_ };
    }
  }
}

std::optional<wire::LeaseGrant>
LeaseTable::Grant(const VmId& aHolder,
                  const wire::LeaseRequest& aRequest,
                  const ControlState& aState,
                  Time aNow)
{
  const auto known = aState.LeaseHolders().find(aHolder);
  if (known == aState.LeaseHolders().end()) {
    return std::nullopt;
  }
  Holder& holder = holders_[aHolder];
  holder.requestedAt_ = aNow;
  wire::LeaseGrant grant;
  grant.set_sent_us(aRequest.sent_us());
  grant.set_incarnation(aRequest.incarnation());
  for (const auto& [name, database] : aState.Databases()) {
    const auto fence = fencedTerms_.find(name);
    const bool fenced =
      fence != fencedTerms_.end() && database.primary_term() <= fence->second;
    if (fenced || IsPrimaryChanging(database)) {
      continue;
    }
    const Duration duration = LeaseDuration(known->second, database, aState);
    Lease& lease = holder.leases_[name];
    lease.term_ = database.primary_term();
    lease.until_ =
      std::max(lease.until_, aNow + duration + timing_.clockMargin_);
    wire::PrimaryLease& granted = *grant.add_leases();
    granted.set_database(name);
    granted.set_server(database.primary());
    granted.set_term(database.primary_term());
    granted.set_duration_us(duration.count());
  }
  grant.set_holders(static_cast<std::uint32_t>(aState.LeaseHolders().size()));
  grant.set_list_id(HashLeases(grant));
  if (grant.list_id() == aRequest.held_list()) {
    grant.set_unchanged(true);
    grant.clear_leases();
  }
  return grant;
}

void
LeaseTable::HandleRelease(const VmId& aHolder,
                          const wire::LeaseRelease& aRelease)
{
  const auto holder = holders_.find(aHolder);
  if (holder == holders_.end() || aRelease.leader_term() != leaderTerm_) {
    return;
  }
  for (const auto& released : aRelease.leases()) {
    const auto lease = holder->second.leases_.find(released.database());
    const bool ends = lease != holder->second.leases_.end() &&
                      lease->second.term_ <= released.term();
    if (ends) {
      holder->second.leases_.erase(lease);
    }
  }
}

void
LeaseTable::Fence(const DatabaseId& aDatabase, std::uint64_t aTerm)
{
  fencedTerms_[aDatabase] = std::max(fencedTerms_[aDatabase], aTerm);
}

void
LeaseTable::LiftFence(const DatabaseId& aDatabase)
{
  fencedTerms_.erase(aDatabase);
}

bool
LeaseTable::HasNoHolders(const DatabaseId& aDatabase, Time aNow) const
{
  return ListHolders(aDatabase, aNow).empty();
}

std::vector<VmId>
LeaseTable::ListHolders(const DatabaseId& aDatabase, Time aNow) const
{
  std::vector<VmId> holders;
  const auto fence = fencedTerms_.find(aDatabase);
  if (fence == fencedTerms_.end()) {
    return holders;
  }
  for (const auto& [vm, holder] : holders_) {
    const auto lease = holder.leases_.find(aDatabase);
    const bool blocks = lease != holder.leases_.end() &&
                        lease->second.term_ <= fence->second &&
                        aNow < lease->second.until_;
    if (blocks) {
      holders.push_back(vm);
    }
  }
  return holders;
}

std::size_t
LeaseTable::CountReachableHolders(Time aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(holders_.begin(), holders_.end(), [&](const auto& aEntry) {
      const auto& requestedAt = aEntry.second.requestedAt_;
      return requestedAt && aNow - *requestedAt <= timing_.reachableWindow_;
    }));
}

} // namespace jaydoor
