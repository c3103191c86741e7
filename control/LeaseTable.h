#pragma once

// Leases on primaries, as the leader of the control state grants them.
//
//   table.Reset(state, term, now);           // this VM became the leader
//   auto grant = table.Grant(vm, request, state, now);
//   table.Fence(database, term);             // no new leases on that primary
//   if (table.IsFree(database, now)) ...     // nobody may use it any more
//
// A VM uses a primary only while it holds a lease on it. The lease counts from
// the moment at which the holder asked, on the holder's clock, so that it ends
// there before it ends here.
//
// Only VMs that the control state names as holders are granted leases. A new
// leader takes each of them for a holder of all, until it has given them back
// or their time is over.
//
// Leases within a zone are short: a zone that is cut off keeps its primary and
// its holders together, and a change has to wait for them. Others are long: a
// holder that loses the control VMs for a while goes on, and nobody waits for
// it, since a primary that can be reached is made to step down.

#include "control/ControlState.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jaydoor {

struct LeaseTiming
{
  Duration inZoneDuration_ = 1s; // outlasts an election
  Duration crossZoneDuration_ =
    7s;                         // outlasts the usual loss of the control VMs
  Duration clockMargin_ = 50ms; // for clocks that run at different rates
  Duration reachableWindow_ =
    700ms; // a holder that asked this lately is reachable
};

class LeaseTable
{
public:
  explicit LeaseTable(LeaseTiming aTiming);

  // This VM has just become the leader of a term.
  void Reset(const ControlState& aState, std::uint64_t aTerm, Time aNow);
  // Grants all primaries that are not being replaced. None: the VM is no
  // holder in the control state yet.
  std::optional<wire::LeaseGrant> Grant(const VmId& aHolder,
                                        const wire::LeaseRequest& aRequest,
                                        const ControlState& aState,
                                        Time aNow);
  // Takes the answer to a revocation of this leader: the VM's process that
  // runs now, and so none of its former ones, uses the primaries.
  void HandleRelease(const VmId& aHolder, const wire::LeaseRelease& aRelease);

  // From now on nobody gets a lease on this primary.
  void Fence(const DatabaseId& aDatabase, std::uint64_t aTerm);
  void LiftFence(const DatabaseId& aDatabase);
  // True if no VM can still use a primary of the fenced term or an earlier one.
  bool HasNoHolders(const DatabaseId& aDatabase, Time aNow) const;
  // VMs that hold a lease that the fence has to wait for.
  std::vector<VmId> ListHolders(const DatabaseId& aDatabase, Time aNow) const;
  // VMs that asked lately.
  std::size_t CountReachableHolders(Time aNow) const;
  std::uint64_t LeaderTerm() const { return leaderTerm_; }

private:
  struct Lease
  {
    std::uint64_t term_ = 0;
    Time until_; // the holder's lease has ended by then
  };

  struct Holder
  {
    std::optional<Time> requestedAt_;
    std::map<DatabaseId, Lease> leases_;
  };

  Duration LeaseDuration(const ZoneId& aHolder,
                         const wire::Database& aDatabase,
                         const ControlState& aState) const;

  LeaseTiming timing_;
  std::uint64_t leaderTerm_ = 0;
  std::map<VmId, Holder> holders_;
  std::map<DatabaseId, std::uint64_t> fencedTerms_; // term up to which
};

} // namespace jaydoor
