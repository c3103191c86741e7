#pragma once

// Leases on primaries, as the leader of the control state grants them.
//
//   table.Reset(now);                        // this VM became the leader
//   auto grant = table.Grant(vm, request, state, now);
//   table.Fence(database, term);             // no new leases on that primary
//   if (table.IsFree(database, now)) ...     // nobody may use it any more
//
// A VM uses a primary only while it holds a lease on it. The lease counts from
// the moment at which the holder asked, on the holder's clock, so that it ends
// there before it ends here. A new leader does not know what the one before it
// granted, and waits for the longest lease to run out.

#include "control/ControlState.h"

#include <map>
#include <string>
#include <vector>

namespace jaydoor {

struct LeaseTiming
{
  Duration duration_ = 1500ms; // outlasts an election; a lost holder costs it
  Duration margin_ = 50ms;     // for clocks that run at different rates
  Duration contact_ = 700ms;   // a holder that asked this lately is reachable
};

class LeaseTable
{
public:
  explicit LeaseTable(LeaseTiming aTiming);

  // Forgets all: this VM has just become the leader.
  void Reset(Time aNow);
  // Grants all primaries that are not being replaced.
  wire::LeaseGrant Grant(const VmId& aHolder,
                         const wire::LeaseRequest& aRequest,
                         const ControlState& aState,
                         Time aNow);
  void Release(const VmId& aHolder, const wire::LeaseRelease& aRelease);

  // From now on nobody gets a lease on this primary.
  void Fence(const DatabaseId& aDatabase, std::uint64_t aTerm);
  // True if no VM can still use a primary of the fenced term or an earlier one.
  bool IsFree(const DatabaseId& aDatabase, Time aNow) const;
  // VMs that hold a lease that the fence has to wait for.
  std::vector<VmId> HoldersOf(const DatabaseId& aDatabase, Time aNow) const;
  // VMs that asked lately.
  std::size_t CountContacts(Time aNow) const;

private:
  struct Lease
  {
    std::uint64_t term_ = 0;
    Time until_; // the holder's lease has ended by then
  };

  // One run of one VM.
  struct Holder
  {
    VmId vm_;
    Time askedAt_;
    std::map<DatabaseId, Lease> leases_;
  };

  bool Blocks(const Lease& aLease,
              const DatabaseId& aDatabase,
              Time aNow) const;

  LeaseTiming timing_;
  Time earlierUntil_; // leases of earlier leaders have ended by then
  std::map<std::string, Holder> holders_;      // by VM and run
  std::map<DatabaseId, std::uint64_t> fenced_; // term up to which
};

} // namespace jaydoor
