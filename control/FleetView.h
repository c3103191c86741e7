#pragma once

// What the control thread tells the traffic threads: an immutable picture of
// the fleet, replaced whole at each change.

#include "base/Types.h"
#include "control/Rules.h"
#include "wire/jaydoor.pb.h"

#include <map>
#include <memory>
#include <span>
#include <vector>

namespace jaydoor {

struct VmView
{
  VmId id_;
  ZoneId zone_;
  bool leaving_ = false; // finishes what it has, owns nothing new
};

struct ServerView
{
  wire::Upstream info_; // as announced
};

struct DatabaseView
{
  ServerId primary_;            // empty: none is known
  std::uint64_t term_ = 0;      // of the primary
  std::uint64_t groupSize_ = 0; // servers that a majority is counted of
  std::vector<ServerId> servers_;
};

struct FleetView
{
  std::uint64_t index_ = 0;        // control log index that it stands for
  std::uint64_t rulesVersion_ = 0; //
  bool proven_ = false;            // rules are proven to be in force
  Rules rules_;
  std::vector<VmView> vms_; // live ones, by id
  std::map<ServerId, ServerView> servers_;
  std::map<DatabaseId, DatabaseView> databases_;
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

// The VM that owns a server: rendezvous hashing over the live VMs of the
// server's zone, over all live VMs where the zone has none. Empty if no VM
// is live. `aVms` is in any order; the result does not depend on it.
VmId
ChooseOwner(const wire::Upstream& aServer, std::span<const VmView> aVms);

} // namespace jaydoor
