#pragma once

// An immutable view of the fleet, which the control thread publishes to the
// traffic threads. Each change replaces the whole view.

#include "base/Types.h"
#include "control/Rules.h"
#include "wire/jaydoor.pb.h"

#include <map>
#include <memory>
#include <set>
#include <span>
#include <vector>

namespace jaydoor {

struct VmView
{
  VmId id_;
  ZoneId zone_;
  bool leaving_ = false; // finishes its statements, owns no servers any more
};

// Tells which VM owns which server, by rendezvous hashing over the VMs in the
// server's zone that are not leaving; if the zone has none, over those of all
// zones. The result does not depend on the order of the VMs.
class OwnerMap
{
public:
  OwnerMap() = default;
  explicit OwnerMap(std::span<const VmView> aVms);

  // Returns the VM that owns the server; empty if all VMs are leaving or there
  // are none.
  VmId FindOwner(const wire::Upstream& aServer) const;

private:
  struct Candidate
  {
    VmId id_;
    std::uint64_t idHash_ = 0;
  };

  std::map<ZoneId, std::vector<Candidate>> candidatesByZone_;
  std::vector<Candidate> allCandidates_;
};

struct ServerView
{
  wire::Upstream info_; // as announced
};

struct DatabaseView
{
  ServerId primary_;            // empty: none is known
  std::uint64_t term_ = 0;      // term of the primary
  std::uint64_t groupSize_ = 0; // number of servers that a majority refers to
  std::vector<ServerId> servers_;
};

struct FleetView
{
  std::uint64_t index_ = 0; // control log index up to which it is built
  std::uint64_t rulesVersion_ = 0;
  bool stateProven_ = false; // the rules are proven to be those in force
  Rules rules_;
  std::uint64_t documentVersion_ = 0; // of the operators' configuration
  std::shared_ptr<const std::string> documentBody_; // of that configuration
  std::vector<VmView> vms_;                         // live VMs, sorted by id
  OwnerMap owners_;                                 // built from vms_
  std::map<ServerId, ServerView> servers_;
  std::map<DatabaseId, DatabaseView> databases_;
  std::set<DatabaseId> changingDatabases_; // whose primary is being replaced
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

} // namespace jaydoor
