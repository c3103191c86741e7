#include "control/LeaseTable.h"

#include "base/Erase.h"

#include <set>

#include <fmt/format.h>

namespace jaydoor {
namespace {

std::string
KeyOf(const VmId& aVm, std::uint64_t aIncarnation)
{
  return fmt::format("{}/{}", aVm, aIncarnation);
}

// Replaced, or about to be.
bool
IsLeaving(const wire::Database& aDatabase)
{
  return aDatabase.primary().empty() || !aDatabase.intended_primary().empty();
}

} // namespace

LeaseTable::LeaseTable(LeaseTiming aTiming)
  : timing_(aTiming)
{
}

void
LeaseTable::Reset(Time aNow)
{
  holders_.clear();
  fenced_.clear();
  earlierUntil_ = aNow + timing_.duration_ + timing_.margin_;
}

wire::LeaseGrant
LeaseTable::Grant(const VmId& aHolder,
                  const wire::LeaseRequest& aRequest,
                  const ControlState& aState,
                  Time aNow)
{
  EraseWhere(holders_, [&](const std::string&, const Holder& aOld) {
    return aNow - aOld.askedAt_ > timing_.duration_ + timing_.margin_;
  });
  Holder& holder = holders_[KeyOf(aHolder, aRequest.incarnation())];
  holder.vm_ = aHolder;
  holder.askedAt_ = aNow;
  wire::LeaseGrant grant;
  grant.set_sent_us(aRequest.sent_us());
  grant.set_incarnation(aRequest.incarnation());
  grant.set_duration_us(timing_.duration_.count());
  for (const auto& [name, database] : aState.Databases()) {
    const auto fence = fenced_.find(name);
    const bool fenced =
      fence != fenced_.end() && database.primary_term() <= fence->second;
    if (fenced || IsLeaving(database)) {
      continue;
    }
    holder.leases_[name] = { database.primary_term(),
                             aNow + timing_.duration_ + timing_.margin_ };
    wire::PrimaryLease& lease = *grant.add_leases();
    lease.set_database(name);
    lease.set_server(database.primary());
    lease.set_term(database.primary_term());
  }
  grant.set_holders(static_cast<std::uint32_t>(CountContacts(aNow)));
  return grant;
}

void
LeaseTable::Release(const VmId& aHolder, const wire::LeaseRelease& aRelease)
{
  const auto holder = holders_.find(KeyOf(aHolder, aRelease.incarnation()));
  if (holder == holders_.end()) {
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
  fenced_[aDatabase] = std::max(fenced_[aDatabase], aTerm);
}

bool
LeaseTable::Blocks(const Lease& aLease,
                   const DatabaseId& aDatabase,
                   Time aNow) const
{
  const auto fence = fenced_.find(aDatabase);
  const bool fenced = fence != fenced_.end() && aLease.term_ <= fence->second;
  return fenced && aNow < aLease.until_;
}

bool
LeaseTable::IsFree(const DatabaseId& aDatabase, Time aNow) const
{
  return aNow >= earlierUntil_ && HoldersOf(aDatabase, aNow).empty();
}

std::vector<VmId>
LeaseTable::HoldersOf(const DatabaseId& aDatabase, Time aNow) const
{
  std::vector<VmId> holders;
  for (const auto& [key, holder] : holders_) {
    const auto lease = holder.leases_.find(aDatabase);
    if (lease != holder.leases_.end() &&
        Blocks(lease->second, aDatabase, aNow)) {
      holders.push_back(holder.vm_);
    }
  }
  return holders;
}

std::size_t
LeaseTable::CountContacts(Time aNow) const
{
  std::set<VmId> contacts;
  for (const auto& [key, holder] : holders_) {
    if (aNow - holder.askedAt_ <= timing_.contact_) {
      contacts.insert(holder.vm_);
    }
  }
  return contacts.size();
}

} // namespace jaydoor
