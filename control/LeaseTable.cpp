#include "control/LeaseTable.h"

#include <algorithm>
#include <array>
#include <utility>

#include <xxhash.h>

namespace jaydoor {
namespace {

// Of the id of a revocation; the bits above them count the fences.
constexpr unsigned kLeaderTermBits = 40;

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
  liftedFences_.clear();
  listsOutdated_ = true;
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
  const ZoneListPtr& list = FindList(known->second, aState);
  if (holder.list_ != list) {
    AddListedLeases(holder);
    for (const auto& [name, lease] : list->leases_) {
      holder.leases_[name].term_ = lease.term_;
    }
    holder.list_ = list;
  }
  holder.grantedAt_ = aNow;
  wire::LeaseGrant grant;
  grant.set_sent_us(aRequest.sent_us());
  grant.set_incarnation(aRequest.incarnation());
  grant.set_holders(static_cast<std::uint32_t>(aState.LeaseHolders().size()));
  grant.set_list_id(list->grant_.list_id());
  if (grant.list_id() == aRequest.held_list()) {
    grant.set_unchanged(true);
  } else {
    *grant.mutable_leases() = list->grant_.leases();
  }
  return grant;
}

// Returns the list for holders in the zone. It is made anew after a change of
// the state or of the fences, and replaced only if it has changed.
const LeaseTable::ZoneListPtr&
LeaseTable::FindList(const ZoneId& aZone, const ControlState& aState)
{
  if (listsOutdated_ || aState.Index() != listsIndex_) {
    listsOutdated_ = false;
    listsIndex_ = aState.Index();
    outdatedLists_ = std::exchange(lists_, {});
  }
  ZoneListPtr& current = lists_[aZone];
  if (current) {
    return current;
  }
  auto list = std::make_shared<ZoneList>();
  for (const auto& [name, database] : aState.Databases()) {
    const auto fence = fencedTerms_.find(name);
    const bool fenced =
      fence != fencedTerms_.end() && database.primary_term() <= fence->second;
    if (fenced || IsPrimaryChanging(database)) {
      continue;
    }
    const Duration duration = LeaseDuration(aZone, database, aState);
    list->leases_[name] = { database.primary_term(),
                            Time(duration + timing_.clockMargin_) };
    wire::PrimaryLease& granted = *list->grant_.add_leases();
    granted.set_database(name);
    granted.set_server(database.primary());
    granted.set_term(database.primary_term());
    granted.set_duration_us(duration.count());
  }
  list->grant_.set_list_id(HashLeases(list->grant_));
  const auto former = outdatedLists_.find(aZone);
  const bool isSame =
    former != outdatedLists_.end() && former->second &&
    former->second->grant_.list_id() == list->grant_.list_id();
  current = isSame ? former->second : std::move(list);
  return current;
}

// Moves the leases of the list that was granted last to the holder's own ones.
void
LeaseTable::AddListedLeases(Holder& aHolder)
{
  if (!aHolder.list_) {
    return;
  }
  for (const auto& [name, listed] : aHolder.list_->leases_) {
    Lease& lease = aHolder.leases_[name];
    lease.term_ = listed.term_;
    lease.until_ = std::max(
      lease.until_, aHolder.grantedAt_ + listed.until_.time_since_epoch());
  }
  aHolder.list_.reset();
}

std::optional<LeaseTable::Lease>
LeaseTable::FindLease(const Holder& aHolder, const DatabaseId& aDatabase)
{
  std::optional<Lease> lease;
  const auto own = aHolder.leases_.find(aDatabase);
  if (own != aHolder.leases_.end()) {
    lease = own->second;
  }
  if (aHolder.list_) {
    const auto listed = aHolder.list_->leases_.find(aDatabase);
    if (listed != aHolder.list_->leases_.end()) {
      const Time until =
        aHolder.grantedAt_ + listed->second.until_.time_since_epoch();
      lease = Lease{ listed->second.term_,
                     lease ? std::max(lease->until_, until) : until };
    }
  }
  return lease;
}

void
LeaseTable::HandleRelease(const VmId& aHolder,
                          const wire::LeaseRelease& aRelease)
{
  const auto holder = holders_.find(aHolder);
  if (holder == holders_.end()) {
    return;
  }
  AddListedLeases(holder->second);
  for (const auto& released : aRelease.leases()) {
    if (aRelease.leader_term() != RevocationId(released.database())) {
      continue;
    }
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
  std::uint64_t& fencedTerm = fencedTerms_[aDatabase];
  listsOutdated_ |= aTerm > fencedTerm;
  fencedTerm = std::max(fencedTerm, aTerm);
}

void
LeaseTable::LiftFence(const DatabaseId& aDatabase)
{
  if (fencedTerms_.erase(aDatabase) > 0) {
    listsOutdated_ = true;
    liftedFences_[aDatabase]++;
  }
}

std::uint64_t
LeaseTable::RevocationId(const DatabaseId& aDatabase) const
{
  const auto lifted = liftedFences_.find(aDatabase);
  return lifted == liftedFences_.end()
           ? leaderTerm_
           : lifted->second << kLeaderTermBits | leaderTerm_;
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
    const auto lease = FindLease(holder, aDatabase);
    const bool blocks =
      lease && lease->term_ <= fence->second && aNow < lease->until_;
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
