#pragma once

// Log positions of primaries that the leader of the control state passes from
// one entry VM to the others, together with leases.
//
//   points.Reset(term);                  // this VM became the leader
//   points.Record(request, now);
//   points.AddTo(vm, grant, now);
//
// The load pattern: in a large fleet each VM sends few statements to a primary.
// A read on a replica has to be proven fresh by a recent position of the
// primary, and without one it has to run on the primary. If each VM asked for
// its own, these reads alone would fill the primary.
//
// Times are compared across VMs without synchronized clocks. A grant states the
// leader's time. A VM reports a position with the time stated by a grant that
// it received before it asked the primary, so the position is at least as
// recent as that time. The receiver of a grant counts the age of a position
// back from the time at which it sent the request, which was before the leader
// took the age. Both err towards an older position.

#include "base/Types.h"
#include "wire/jaydoor.pb.h"

#include <map>
#include <vector>

namespace jaydoor {

class PrimaryPoints
{
public:
  // Forgets all positions. Reports count from now on if they refer to this
  // leader term.
  void Reset(std::uint64_t aLeaderTerm);
  // Takes over the positions that a VM reports with its lease request.
  void Record(const wire::LeaseRequest& aRequest, Time aNow);
  // Adds the leader's time, and the positions that are much newer than those
  // sent to the VM before.
  void AddTo(const VmId& aHolder, wire::LeaseGrant& aGrant, Time aNow);

private:
  struct Point
  {
    DatabaseId database_;
    LogPoint point_;
    Time askedAt_; // the primary was asked after this time
  };

  struct Holder
  {
    std::vector<Time> sentAt_; // by number: askedAt_ of the position last sent
    std::size_t next_ = 0;     // the number looked at last
  };

  std::uint64_t leaderTerm_ = 0;
  // Points are numbered, so that a grant, which looks for those that are due,
  // compares no names.
  std::vector<Point> points_;
  std::map<DatabaseId, std::size_t> numbers_;
  std::map<VmId, Holder> holders_;
};

} // namespace jaydoor
