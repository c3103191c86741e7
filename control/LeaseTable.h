#pragma once

// Leases on primaries. The leader of the control state grants them.
//
//   table.Reset(state, term, now);             // this VM became the leader
//   auto grant = table.Grant(vm, request, state, now);
//   table.Fence(database, term);               // no new leases on that primary
//   if (table.HasNoHolders(database, now)) ... // no VM may use it any more
//
// A VM uses a primary only while it holds a lease on it. The holder counts the
// lease from the time at which it sent the request, by its own clock, so that
// the lease ends on the holder before it ends on the leader.
//
// Only VMs that the control state lists as lease holders are granted leases. A
// new leader does not know which leases its predecessors granted. It assumes
// that each listed VM holds a lease on every primary, until the VM releases it
// or it expires.
//
// Leases on a primary in the holder's own zone are short: if the zone is cut
// off, the primary and its holders can still reach each other, and a change of
// primary has to wait until these leases expire. Leases across zones are long,
// so that a holder keeps working while it can't reach the control VMs. No
// change of primary waits for such a holder, since a primary that can be
// reached is made to step down.

#include "control/ControlState.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jaydoor {

struct LeaseTiming
{
  // Lease durations. Within a zone, longer than an election takes; across
  // zones, longer than the control VMs are usually unreachable.
  Duration inZoneDuration_ = 1s;
  Duration crossZoneDuration_ = 7s;
  // Added on the leader, for clocks that run at different rates.
  Duration clockMargin_ = 50ms;
  // A holder whose last request is no older than this counts as reachable.
  Duration reachableWindow_ = 700ms;
};

// In a lease request: the holder has no complete list of leases.
constexpr std::uint64_t kNoLeaseList = 0;

class LeaseTable
{
public:
  explicit LeaseTable(LeaseTiming aTiming);

  // Call when this VM has become the leader of a term: removes all fences and
  // assumes that each holder in the state has leases on all primaries.
  void Reset(const ControlState& aState, std::uint64_t aTerm, Time aNow);
  // Grants leases on all primaries that are not being replaced. If the request
  // shows that the holder has the list of these leases already, the grant names
  // the list and leaves it out. Returns none if the control state does not list
  // the VM as a lease holder yet.
  std::optional<wire::LeaseGrant> Grant(const VmId& aHolder,
                                        const wire::LeaseRequest& aRequest,
                                        const ControlState& aState,
                                        Time aNow);
  // Ends the leases that a VM has given back. Only answers to a revocation by
  // this leader under the present fence count: such an answer comes from the
  // process that runs on the VM now, so neither it nor an earlier process there
  // uses the primaries, and no lease was granted since. Releases can arrive
  // late and more than once.
  void HandleRelease(const VmId& aHolder, const wire::LeaseRelease& aRelease);

  // Grants no more leases on a primary of this term or an earlier one.
  void Fence(const DatabaseId& aDatabase, std::uint64_t aTerm);
  void LiftFence(const DatabaseId& aDatabase);
  // True if no VM holds a lease on a primary of the fenced term or an earlier
  // one, and also if the database is not fenced.
  bool HasNoHolders(const DatabaseId& aDatabase, Time aNow) const;
  // VMs that hold a lease on a primary of the fenced term or an earlier one;
  // empty if the database is not fenced.
  std::vector<VmId> ListHolders(const DatabaseId& aDatabase, Time aNow) const;
  // Holders whose last request is recent enough to count them as reachable.
  std::size_t CountReachableHolders(Time aNow) const;
  // Names revocations of the leases on a primary under its present fence, or
  // the next one if there is none. A release has to repeat it.
  std::uint64_t RevocationId(const DatabaseId& aDatabase) const;

private:
  struct Lease
  {
    std::uint64_t term_ = 0; // of the primary
    Time until_;             // the lease has ended on the holder by then
  };

  // The leases that are granted to all holders of one zone, until one of them
  // changes. A holder whose grants name the same list costs no work per
  // primary.
  struct ZoneList
  {
    wire::LeaseGrant grant_; // holds the leases and the id of the list
    std::map<DatabaseId, Lease> leases_; // until_: counted from a grant at 0
  };
  using ZoneListPtr = std::shared_ptr<const ZoneList>;

  struct Holder
  {
    std::optional<Time> requestedAt_; // last request to this leader
    std::map<DatabaseId, Lease> leases_;
    // The list granted last; its leases hold besides those above, counted from
    // the grant.
    ZoneListPtr list_;
    Time grantedAt_;
  };

  static void AddListedLeases(Holder& aHolder);
  static std::optional<Lease> FindLease(const Holder& aHolder,
                                        const DatabaseId& aDatabase);
  const ZoneListPtr& FindList(const ZoneId& aZone, const ControlState& aState);
  Duration LeaseDuration(const ZoneId& aHolderZone,
                         const wire::Database& aDatabase,
                         const ControlState& aState) const;

  LeaseTiming timing_;
  std::uint64_t leaderTerm_ = 0;
  std::map<VmId, Holder> holders_;
  std::map<DatabaseId, std::uint64_t> fencedTerms_;  // highest fenced term
  std::map<DatabaseId, std::uint64_t> liftedFences_; // number since the reset
  std::map<ZoneId, ZoneListPtr> lists_;         // of the state with listsIndex_
  std::map<ZoneId, ZoneListPtr> outdatedLists_; // those before
  std::uint64_t listsIndex_ = 0;
  bool listsOutdated_ = true;
};

} // namespace jaydoor
