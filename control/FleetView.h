#pragma once

// What the control thread tells the traffic threads: an immutable picture of
// the fleet, replaced whole at each change.

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
  bool leaving_ = false; // finishes what it has, owns nothing new
};

// Which VM owns which server: rendezvous hashing over the serving VMs of the
// server's zone, over all of them where the zone has none. The result does
// not depend on the order of the VMs.
class OwnerMap
{
public:
  OwnerMap() = default;
  explicit OwnerMap(std::span<const VmView> aVms);

  // Empty if no VM serves.
  VmId FindOwner(const wire::Upstream& aServer) const;

private:
  struct Candidate
  {
    VmId id_;
    std::uint64_t idHash_ = 0; // of the id
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
  std::uint64_t term_ = 0;      // of the primary
  std::uint64_t groupSize_ = 0; // servers that a majority is counted of
  std::vector<ServerId> servers_;
};

struct FleetView
{
  std::uint64_t index_ = 0;        // control log index that it stands for
  std::uint64_t rulesVersion_ = 0; //
  bool stateProven_ = false;       // rules are proven to be in force
  Rules rules_;
  std::uint64_t documentVersion_ = 0; // of the operators' configuration
  std::shared_ptr<const std::string> documentBody_; // its body
  std::vector<VmView> vms_;                         // live ones, by id
  OwnerMap owners_;                                 // of vms_
  std::map<ServerId, ServerView> servers_;
  std::map<DatabaseId, DatabaseView> databases_;
  std::set<DatabaseId> changingDatabases_; // another primary is being promoted
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

} // namespace jaydoor
